"""The language of operators' programs: what it accepts and rejects, and that programs end."""

from __future__ import annotations

import contextlib
import math
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.policy import arms, language

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples" / "policies"
NAMES = ("load", "held")


@pytest.mark.parametrize(
    ("source", "load", "expected"),
    [
        ("return load", 3, 3),
        ("return -load + 2 * (load - 1) / 4", 3, -2),
        ("twice = 2 * load\nreturn max(twice, held, 1)", 3, 6),
        ("if load > 2 and not held == 1:\n    return 1\nelse:\n    return 2", 3, 1),
        ("return 1 if 0 <= load < 3 else 5", 3, 5),
        ("return load == 3", 3, 1),
        ("# a comment\n\nreturn abs(load)", -3, 3),
    ],
)
def test_arithmetic_on_the_variables(source, load, expected):
    assert language.parse(source, NAMES).run({"load": load, "held": 0}) == expected


@pytest.mark.parametrize(
    ("source", "problem"),
    [
        ("", "is empty"),
        ("return", "line 1: expected NAME = NUMBER"),
        ("return (", "cannot be read"),
        ("return loaf", "line 1: got 'loaf', known are load, held"),
        ("x = 1\nwhile 1:\n    x = 2", "line 2: is not in the language"),
        ("for x in held:\n    return x", "line 1: is not in the language"),
        ("def f():\n    return f()", "line 1: is not in the language"),
        ("import os\nreturn 1", "line 1: is not in the language"),
        ("return [0] * 10", "is not in the language"),
        ("return 'a'", "got 'a', expected a number"),
        ("return True", "got True, expected a number"),
        ("return 10 ** 10", "is not in the language"),
        ("return load % 2", "is not in the language"),
        ("return 1 << load", "is not in the language"),
        ("return load.real", "is not in the language"),
        ("return held[0]", "is not in the language"),
        ("return open(load)", "got 'open', known are min, max, abs"),
        ("return min(load, key=abs)", "is not in the language"),
        ("return min()", "is not in the language"),
        ("return max(*held)", "is not in the language"),
        ("min = 1\nreturn 1", "cannot assign to 'min'"),
        ("_x = 1\nreturn 1", "cannot assign to '_x'"),
        ("load.x = 1\nreturn 1", "expected NAME = NUMBER"),
        ("return 1e300", "got a number beyond 1e+15"),
        ("return (x := 3)", "is not in the language"),
        ("return lambda: 1", "is not in the language"),
        ("return 1" + " + 1" * 1000, "allowed are 2000"),
        ("return " + "(" * 300 + "1" + ")" * 300, "cannot be read"),
        ("return " + "-" * 900 + "1", ""),
        ("return " + "not " * 200 + "1", "nested too deep"),
    ],
)
def test_anything_else_is_rejected_with_its_line(source, problem):
    with pytest.raises(language.ProgramError) as raised:
        language.parse(source, NAMES)
    assert problem in str(raised.value)


@pytest.mark.parametrize(
    "source",
    [
        "return load / held",
        "if load > 100:\n    return 1",
        "if load > 100:\n    x = 1\nreturn x",
        "x = 1e15 * 1e15\nx = x * x * x * x\nx = x * x * x * x\nreturn x",
        "x = 1e15 * 1e15\nx = x * x * x * x\nx = x * x * x * x\nreturn x - x",
    ],
)
def test_a_result_that_is_not_a_finite_number_raises_program_error(source):
    program = language.parse(source, NAMES)
    with pytest.raises(language.ProgramError):
        program.run({"load": 1, "held": 0})


EXPRESSION = st.recursive(
    st.sampled_from(["load", "held", "0", "1", "2.5", "1000000000000000"]),
    lambda inner: st.one_of(
        st.builds("({} {} {})".format, inner, st.sampled_from("+-*/"), inner),
        st.builds("min({}, {})".format, inner, inner),
        st.builds("({} if {} < {} else {})".format, inner, inner, inner, inner),
        st.builds("(-{})".format, inner),
    ),
    max_leaves=12,
)


@given(EXPRESSION, st.floats(-1e9, 1e9), st.integers(-(10**9), 10**9))
def test_a_valid_program_returns_a_finite_number_or_raises_program_error(source, load, held):
    program = language.parse(f"x = {source}\nreturn x * x * x", NAMES)
    with contextlib.suppress(language.ProgramError):
        assert math.isfinite(program.run({"load": load, "held": held}))


@given(st.text(max_size=200))
def test_any_text_is_parsed_or_raises_program_error(source):
    with contextlib.suppress(language.ProgramError):
        language.parse(source, NAMES)


@pytest.mark.parametrize("name", ["shifa", "glenbothy"])
def test_the_example_programs_return_a_finite_number(name):
    source = (EXAMPLES / f"{name}.policy").read_text()
    values = dict.fromkeys(arms.CANDIDATE_VARIABLES, 1.0)
    assert math.isfinite(language.parse(source, arms.CANDIDATE_VARIABLES).run(values))
