"""Which requests are crash candidates when an endpoint ends."""

from __future__ import annotations

import pytest

from croftpulley.core import attempts, crash_candidates

REQUEST = crash_candidates.RequestIdentity("f", "clinic")
OTHER = crash_candidates.RequestIdentity("g", "clinic")
Ending = crash_candidates.Ending


@pytest.fixture
def candidates():
    made = crash_candidates.CrashCandidates()
    made.update_listed({"e": False, "other": False}, 0.0)
    return made


def begin(candidates, request, incarnation="e", phase=attempts.Phase.SENT):
    """Start an attempt in the given phase and return it."""
    attempt = attempts.Attempt(1, incarnation, phase)
    candidates.begin(incarnation, request, attempt)
    return attempt


def run_to_end(candidates, request, ending, at_s, incarnation="e"):
    """Start an attempt and end it."""
    candidates.end(incarnation, request, begin(candidates, request, incarnation), ending, at_s)


def test_requests_under_way_when_an_endpoint_ends_are_candidates(candidates):
    begin(candidates, REQUEST)
    begin(candidates, OTHER, "other")
    assert candidates.conclude_ended("e", 1.0) == (REQUEST,)


@pytest.mark.parametrize("phase", [attempts.Phase.UNSENT, attempts.Phase.REFUSED])
def test_requests_not_running_when_an_endpoint_ends_are_no_candidates(candidates, phase):
    begin(candidates, OTHER, phase=phase)
    begin(candidates, REQUEST)
    assert candidates.conclude_ended("e", 1.0) == (REQUEST,)


@pytest.mark.parametrize(
    ("ending", "expected"),
    [
        (Ending.BROKE, (REQUEST,)),
        (Ending.GIVEN_UP, (REQUEST,)),
        (Ending.SURVIVED, ()),
        (Ending.UNCLEAR, ()),
    ],
)
def test_a_request_that_ended_just_before_is_a_candidate_unless_it_was_harmless(
    candidates, ending, expected
):
    # The endpoint may have started to run a request whose caller gave up.
    run_to_end(candidates, REQUEST, ending, 1.0)
    assert candidates.conclude_ended("e", 1.1) == expected


def test_a_request_that_ended_long_before_is_no_candidate(candidates):
    run_to_end(candidates, REQUEST, Ending.BROKE, 1.0)
    assert candidates.conclude_ended("e", 1.1 + crash_candidates.RECENT_CANDIDATE_S) == ()


def test_an_endpoint_ends_only_once(candidates):
    attempt = begin(candidates, REQUEST)
    candidates.conclude_ended("e", 1.0)
    candidates.end("e", REQUEST, attempt, Ending.BROKE, 1.1)
    assert candidates.conclude_ended("e", 1.2) == ()
    assert candidates.update_listed({"other": False}, 2.0) == {}


def test_an_incarnation_that_disappears_from_the_list_has_ended(candidates):
    run_to_end(candidates, REQUEST, Ending.BROKE, 1.0)
    run_to_end(candidates, OTHER, Ending.GIVEN_UP, 1.0)
    assert candidates.update_listed({"other": False}, 4.0) == {"e": (REQUEST, OTHER)}


def test_a_success_clears_requests_that_ended_well_before_it(candidates):
    run_to_end(candidates, REQUEST, Ending.BROKE, 1.0)
    run_to_end(candidates, OTHER, Ending.SURVIVED, 1.0 + crash_candidates.RECENT_CANDIDATE_S)
    assert candidates.update_listed({"other": False}, 4.0) == {}


def test_an_incarnation_that_was_shutting_down_has_no_candidates(candidates):
    begin(candidates, REQUEST)
    candidates.update_listed({"e": True, "other": False}, 1.0)
    assert candidates.update_listed({"other": False}, 2.0) == {}


def test_a_success_from_an_incarnation_revokes_its_end(candidates):
    # A cut link may refuse connections while the endpoint still runs.
    attempt = begin(candidates, OTHER)
    candidates.conclude_ended("e", 1.0)
    candidates.end("e", OTHER, attempt, Ending.SURVIVED, 1.1)
    run_to_end(candidates, REQUEST, Ending.BROKE, 2.0)
    assert candidates.conclude_ended("e", 2.1) == (REQUEST,)


def test_a_broken_attempt_is_unexplained_until_the_address_was_checked(candidates):
    run_to_end(candidates, REQUEST, Ending.BROKE, 1.0)
    run_to_end(candidates, REQUEST, Ending.BROKE, 1.0, incarnation="other")
    assert candidates.unexplained_breaks("f", 1.1) == ("e", "other")
    candidates.note_reachable("e", 1.1)
    candidates.conclude_ended("other", 1.1)
    assert candidates.unexplained_breaks("f", 1.2) == ()


def test_old_attempts_and_ends_are_forgotten(candidates):
    run_to_end(candidates, REQUEST, Ending.BROKE, 1.0)
    candidates.conclude_ended("other", 1.0)
    candidates.forget(100.0)
    assert candidates.unexplained_breaks("f", 1.0) == ()
    assert not candidates.has_ended("other")
