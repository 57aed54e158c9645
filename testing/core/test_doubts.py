"""Which requests are in doubt at an endpoint that ended."""

from __future__ import annotations

import pytest

from croftpulley.core import attempts, doubts

REQUEST = doubts.Named("f", "clinic")
OTHER = doubts.Named("g", "clinic")
Ending = doubts.Ending


@pytest.fixture
def known():
    made = doubts.Doubts()
    made.keep({"e": False, "other": False}, 0.0)
    return made


def begin(known, request, life="e", phase=attempts.Phase.SENT):
    """Have a request under way; return its attempt."""
    attempt = attempts.Attempt(1, life, phase)
    known.begin(life, request, attempt)
    return attempt


def leave(known, request, ending, at_s, life="e"):
    """Have an attempt come to an end."""
    known.end(life, request, begin(known, request, life), ending, at_s)


def test_what_is_under_way_when_an_endpoint_ends_is_in_doubt(known):
    begin(known, REQUEST)
    begin(known, OTHER, "other")
    assert known.ended("e", 1.0) == (REQUEST,)


@pytest.mark.parametrize("phase", [attempts.Phase.UNSENT, attempts.Phase.REFUSED])
def test_what_only_waits_for_its_connection_then_is_not(known, phase):
    begin(known, OTHER, phase=phase)
    begin(known, REQUEST)
    assert known.ended("e", 1.0) == (REQUEST,)


@pytest.mark.parametrize(
    ("ending", "in_doubt"),
    [
        (Ending.BROKE, (REQUEST,)),
        (Ending.GIVEN_UP, (REQUEST,)),
        (Ending.SURVIVED, ()),
        (Ending.UNCLEAR, ()),
    ],
)
def test_what_left_it_without_an_answer_just_before_is_in_doubt_too(known, ending, in_doubt):
    # A caller that gives up does not keep the endpoint from having begun to run its request.
    leave(known, REQUEST, ending, 1.0)
    assert known.ended("e", 1.1) == in_doubt


def test_what_left_it_long_before_is_not(known):
    leave(known, REQUEST, Ending.BROKE, 1.0)
    assert known.ended("e", 1.1 + doubts.RECENT_S) == ()


def test_an_end_is_found_once(known):
    attempt = begin(known, REQUEST)
    known.ended("e", 1.0)
    known.end("e", REQUEST, attempt, Ending.BROKE, 1.1)
    assert known.ended("e", 1.2) == ()
    assert known.keep({"other": False}, 2.0) == {}


def test_a_life_that_vanishes_from_the_list_has_ended_with_what_left_it_in_doubt(known):
    leave(known, REQUEST, Ending.BROKE, 1.0)
    leave(known, OTHER, Ending.GIVEN_UP, 1.0)
    assert known.keep({"other": False}, 4.0) == {"e": (REQUEST, OTHER)}


def test_what_left_an_endpoint_well_before_a_success_came_from_it_is_in_doubt_no_more(known):
    leave(known, REQUEST, Ending.BROKE, 1.0)
    leave(known, OTHER, Ending.SURVIVED, 1.0 + doubts.RECENT_S)
    assert known.keep({"other": False}, 4.0) == {}


def test_a_life_that_was_leaving_ended_as_it_was_meant_to(known):
    begin(known, REQUEST)
    known.keep({"e": True, "other": False}, 1.0)
    assert known.keep({"other": False}, 2.0) == {}


def test_a_life_that_answers_after_all_has_not_ended(known):
    # A cut link may refuse connections while the endpoint goes on.
    attempt = begin(known, OTHER)
    known.ended("e", 1.0)
    known.end("e", OTHER, attempt, Ending.SURVIVED, 1.1)
    leave(known, REQUEST, Ending.BROKE, 2.0)
    assert known.ended("e", 2.1) == (REQUEST,)


def test_where_it_broke_off_is_unclear_until_somebody_has_looked(known):
    leave(known, REQUEST, Ending.BROKE, 1.0)
    leave(known, REQUEST, Ending.BROKE, 1.0, life="other")
    assert known.broke_lately("f", 1.1) == ("e", "other")
    known.answers("e", 1.1)
    known.ended("other", 1.1)
    assert known.broke_lately("f", 1.2) == ()


def test_nothing_is_remembered_for_good(known):
    leave(known, REQUEST, Ending.BROKE, 1.0)
    known.ended("other", 1.0)
    known.forget(100.0)
    assert known.broke_lately("f", 1.0) == ()
    assert not known.has_ended("other")
