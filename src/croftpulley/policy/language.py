"""The language of operators' programs: arithmetic on numbers that are given by name.

A program is a few lines of Python: assignments, ``if``, ``return``, arithmetic, comparisons,
``min``, ``max`` and ``abs``. There are no loops, calls of its own, lists or texts, and every number
is a float. So a program takes time by its length alone and no memory, and needs no watching while
it runs (``docs/design/013-programs-of-operators.md``).
"""

from __future__ import annotations

import ast
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs

LONGEST_CHARACTERS = 2000
"""A program of this length takes about 6 microseconds an endpoint (docs/design/013)."""
DEEPEST = 40
"""How deep expressions may be nested; Python's own compiler ends a little above 90."""
LARGEST = 1e15
"""The largest number that a program may name; whole numbers are exact up to it."""
_FUNCTIONS: dict[str, Callable[..., Any]] = {"min": min, "max": max, "abs": abs}
_STATEMENTS = (ast.Assign, ast.If, ast.Return)
_OPERATORS = (
    ast.Add, ast.Sub, ast.Mult, ast.Div, ast.USub, ast.Not, ast.And, ast.Or,
    ast.Lt, ast.LtE, ast.Gt, ast.GtE, ast.Eq, ast.NotEq, ast.Load, ast.Store,
)  # fmt: skip
_EXPRESSIONS = (ast.BinOp, ast.UnaryOp, ast.BoolOp, ast.Compare, ast.IfExp)


class ProgramError(Exception):
    """A program that is not in the language, or that came to no number."""


@attrs.frozen
class Program:
    """A program that has been checked.

    >>> program = parse("if load > 3:\\n    return 100\\nreturn load * 2", ("load",))
    >>> program.run({"load": 2}), program.run({"load": 4})
    (4.0, 100.0)
    """

    _function: Callable[..., Any]
    _names: tuple[str, ...]

    def run(self, values: Mapping[str, float]) -> float:
        """Return what the program returns; raises `ProgramError` if that is no finite number."""
        try:
            result = self._function(*[float(values[name]) for name in self._names])
        except (ArithmeticError, UnboundLocalError) as failure:
            raise ProgramError(f"{type(failure).__name__}: {failure}") from failure
        if result is None or not math.isfinite(result):
            raise ProgramError(f"came to {result!r}, expected a finite number")
        return float(result)


def parse(source: str, names: tuple[str, ...]) -> Program:
    """Check a program that is given ``names``; raises `ProgramError` with line and reason.

    >>> parse("return loaf", ("load",))
    Traceback (most recent call last):
    croftpulley.policy.language.ProgramError: line 1: got 'loaf', known are load
    """
    if len(source) > LONGEST_CHARACTERS:
        raise ProgramError(f"got {len(source)} characters, allowed are {LONGEST_CHARACTERS}")
    try:
        tree = ast.parse(source)
    except (SyntaxError, ValueError, MemoryError, RecursionError) as failure:
        raise ProgramError(f"cannot be read: {failure}") from failure
    if not tree.body:
        raise ProgramError("is empty, expected at least a return")
    _Check(names).block(tree.body)
    return Program(_compiled(tree, names), names)


class _Check:
    """Walks a program and refuses what is not in the language."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self._given = names
        self._known = set(names)

    def block(self, statements: list[ast.stmt], depth: int = 0) -> None:
        """Check statements in their order."""
        _require(depth <= DEEPEST, statements[0], "is nested too deep")
        for statement in statements:
            _require(isinstance(statement, _STATEMENTS), statement, "is not in the language")
            match statement:
                case ast.Assign(targets=[ast.Name(id=name)], value=value):
                    self.expression(value)
                    own = name not in _FUNCTIONS and not name.startswith("_")
                    _require(own, statement, f"cannot assign to {name!r}")
                    self._known.add(name)
                case ast.Return(value=ast.expr() as value):
                    self.expression(value)
                case ast.If(test=test, body=body, orelse=orelse):
                    self.expression(test)
                    self.block(body, depth + 1)
                    if orelse:
                        self.block(orelse, depth + 1)
                case _:
                    _require(False, statement, "expected NAME = NUMBER, or return NUMBER")

    def expression(self, node: ast.expr, depth: int = 0) -> None:
        """Check one expression."""
        _require(depth <= DEEPEST, node, "is nested too deep")
        match node:
            case ast.Constant(value=value):
                is_number = isinstance(value, int | float) and not isinstance(value, bool)
                _require(is_number, node, f"got {value!r}, expected a number")
                _require(abs(value) <= LARGEST, node, f"got a number beyond {LARGEST:g}")  # type: ignore[arg-type]
            case ast.Name(id=name):
                known = ", ".join(self._given)
                _require(name in self._known, node, f"got {name!r}, known are {known}")
            case ast.Call(func=ast.Name(id=name), args=[_, *_] as arguments, keywords=[]):
                _require(name in _FUNCTIONS, node, f"got {name!r}, known are min, max, abs")
                for each in arguments:
                    self.expression(each, depth + 1)
            case _:
                _require(isinstance(node, _EXPRESSIONS), node, "is not in the language")
                for child in ast.iter_child_nodes(node):
                    if isinstance(child, ast.expr):
                        self.expression(child, depth + 1)
                    else:
                        _require(isinstance(child, _OPERATORS), node, "is not in the language")


def _require(holds: bool, node: ast.AST, problem: str) -> None:
    if not holds:
        raise ProgramError(f"line {getattr(node, 'lineno', 0)}: {problem}")


class _Floats(ast.NodeTransformer):
    """Makes every constant a float, so that no whole number can grow without bound."""

    def visit_Constant(self, node: ast.Constant) -> ast.Constant:
        return ast.copy_location(ast.Constant(float(node.value)), node)  # type: ignore[arg-type]


def _compiled(tree: ast.Module, names: tuple[str, ...]) -> Callable[..., Any]:
    """Make a function of a checked program."""
    function = ast.parse(f"def program({', '.join(names)}): pass").body[0]
    assert isinstance(function, ast.FunctionDef)
    function.body = _Floats().visit(tree).body
    module = ast.fix_missing_locations(ast.Module([function], []))
    scope: dict[str, Any] = {"__builtins__": {}, **_FUNCTIONS}
    exec(compile(module, "<policy>", "exec"), scope)
    made: Callable[..., Any] = scope["program"]
    return made
