"""The language of operators' programs: arithmetic on named numbers.

A program is a few lines of Python: assignments, ``if``, ``return``, arithmetic, comparisons,
``min``, ``max`` and ``abs``. There are no loops, other calls, lists or strings, and every number is
a float. So a program's run time is bounded by its length, and it needs no memory and no
supervision while it runs (``docs/design/013-programs-of-operators.md``).
"""

from __future__ import annotations

import ast
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs

MAX_SOURCE_LENGTH = 2000
"""A program of this length takes about 6 microseconds per endpoint (docs/design/013)."""
MAX_NESTING_DEPTH = 40
"""Limits the nesting of expressions and blocks; Python's compiler fails a little above 90."""
MAX_LITERAL = 1e15
"""The largest number literal in a program; a float holds integers exactly up to it."""
_FUNCTIONS: dict[str, Callable[..., Any]] = {"min": min, "max": max, "abs": abs}
_STATEMENTS = (ast.Assign, ast.If, ast.Return)
_OPERATORS = (
    ast.Add, ast.Sub, ast.Mult, ast.Div, ast.USub, ast.Not, ast.And, ast.Or,
    ast.Lt, ast.LtE, ast.Gt, ast.GtE, ast.Eq, ast.NotEq, ast.Load, ast.Store,
)  # fmt: skip
_EXPRESSIONS = (ast.BinOp, ast.UnaryOp, ast.BoolOp, ast.Compare, ast.IfExp)


class ProgramError(Exception):
    """A program that is not valid in the language, or whose result is not a finite number."""


@attrs.frozen
class Program:
    """A checked and compiled program.

    >>> program = parse("if load > 3:\\n    return 100\\nreturn load * 2", ("load",))
    >>> program.run({"load": 2}), program.run({"load": 4})
    (4.0, 100.0)
    """

    _function: Callable[..., Any]
    _names: tuple[str, ...]

    def run(self, values: Mapping[str, float]) -> float:
        """Return the program's result; raises `ProgramError` if it is not a finite number."""
        try:
            result = self._function(*[float(values[name]) for name in self._names])
        except (ArithmeticError, UnboundLocalError) as failure:
            raise ProgramError(f"{type(failure).__name__}: {failure}") from failure
        if result is None or not math.isfinite(result):
            raise ProgramError(f"came to {result!r}, expected a finite number")
        return float(result)


def parse(source: str, names: tuple[str, ...]) -> Program:
    """Check and compile a program with the variables ``names``.

    Raises `ProgramError` with line and reason.

    >>> parse("return loaf", ("load",))
    Traceback (most recent call last):
    croftpulley.policy.language.ProgramError: line 1: got 'loaf', known are load
    """
    if len(source) > MAX_SOURCE_LENGTH:
        raise ProgramError(f"got {len(source)} characters, allowed are {MAX_SOURCE_LENGTH}")
    try:
        tree = ast.parse(source)
    except (SyntaxError, ValueError, MemoryError, RecursionError) as failure:
        raise ProgramError(f"cannot be read: {failure}") from failure
    if not tree.body:
        raise ProgramError("is empty, expected at least a return")
    _Checker(names).check_block(tree.body)
    return Program(_compile(tree, names), names)


class _Checker:
    """Walks a program's syntax tree; raises `ProgramError` for what is not in the language."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self._parameters = names
        self._defined = set(names)

    def check_block(self, statements: list[ast.stmt], depth: int = 0) -> None:
        """Check statements in order, since an assignment defines a name for those after it."""
        _require(depth <= MAX_NESTING_DEPTH, statements[0], "is nested too deep")
        for statement in statements:
            _require(isinstance(statement, _STATEMENTS), statement, "is not in the language")
            match statement:
                case ast.Assign(targets=[ast.Name(id=name)], value=value):
                    self.check_expression(value)
                    is_assignable = name not in _FUNCTIONS and not name.startswith("_")
                    _require(is_assignable, statement, f"cannot assign to {name!r}")
                    self._defined.add(name)
                case ast.Return(value=ast.expr() as value):
                    self.check_expression(value)
                case ast.If(test=test, body=body, orelse=orelse):
                    self.check_expression(test)
                    self.check_block(body, depth + 1)
                    if orelse:
                        self.check_block(orelse, depth + 1)
                case _:
                    _require(False, statement, "expected NAME = NUMBER, or return NUMBER")

    def check_expression(self, node: ast.expr, depth: int = 0) -> None:
        """Check one expression."""
        _require(depth <= MAX_NESTING_DEPTH, node, "is nested too deep")
        match node:
            case ast.Constant(value=value):
                is_number = isinstance(value, int | float) and not isinstance(value, bool)
                _require(is_number, node, f"got {value!r}, expected a number")
                _require(abs(value) <= MAX_LITERAL, node, f"got a number beyond {MAX_LITERAL:g}")  # type: ignore[arg-type]
            case ast.Name(id=name):
                known = ", ".join(self._parameters)
                _require(name in self._defined, node, f"got {name!r}, known are {known}")
            case ast.Call(func=ast.Name(id=name), args=[_, *_] as arguments, keywords=[]):
                _require(name in _FUNCTIONS, node, f"got {name!r}, known are min, max, abs")
                for each in arguments:
                    self.check_expression(each, depth + 1)
            case _:
                _require(isinstance(node, _EXPRESSIONS), node, "is not in the language")
                for child in ast.iter_child_nodes(node):
                    if isinstance(child, ast.expr):
                        self.check_expression(child, depth + 1)
                    else:
                        _require(isinstance(child, _OPERATORS), node, "is not in the language")


def _require(condition: bool, node: ast.AST, problem: str) -> None:
    if not condition:
        raise ProgramError(f"line {getattr(node, 'lineno', 0)}: {problem}")


class _FloatConstants(ast.NodeTransformer):
    """Converts every constant to a float, so that no integer can grow without bound."""

    def visit_Constant(self, node: ast.Constant) -> ast.Constant:
        return ast.copy_location(ast.Constant(float(node.value)), node)  # type: ignore[arg-type]


def _compile(tree: ast.Module, names: tuple[str, ...]) -> Callable[..., Any]:
    """Compile a checked program to a function with the parameters ``names``."""
    function = ast.parse(f"def program({', '.join(names)}): pass").body[0]
    assert isinstance(function, ast.FunctionDef)
    function.body = _FloatConstants().visit(tree).body
    module = ast.fix_missing_locations(ast.Module([function], []))
    scope: dict[str, Any] = {"__builtins__": {}, **_FUNCTIONS}
    exec(compile(module, "<policy>", "exec"), scope)
    compiled: Callable[..., Any] = scope["program"]
    return compiled
