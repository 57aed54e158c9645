from __future__ import annotations

import pytest

from croftpulley import codes
from croftpulley.core import attempts


@pytest.mark.parametrize(
    ("path", "state"),
    [
        ((), codes.RunState.NOT_RUN),
        (("SENT",), codes.RunState.UNKNOWN),
        (("SENT", "REFUSED"), codes.RunState.NOT_RUN),
        (("SENT", "ANSWERING"), codes.RunState.RAN),
        (("SENT", "ANSWERING", "DONE"), codes.RunState.RAN),
    ],
)
def test_the_run_state_follows_from_the_phase(path, state):
    attempt = attempts.Attempt(1, "engine")
    for phase in path:
        attempt.enter(attempts.Phase[phase])
    assert attempt.run_state is state


def test_a_phase_never_reverts():
    attempt = attempts.Attempt(1, "engine")
    attempt.enter(attempts.Phase.SENT)
    attempt.enter(attempts.Phase.ANSWERING)
    with pytest.raises(ValueError, match="cannot go from ANSWERING to SENT"):
        attempt.enter(attempts.Phase.SENT)
    attempt.set_reported_phase(attempts.Phase.SENT)
    assert attempt.phase is attempts.Phase.ANSWERING


def test_the_phase_reported_by_the_forwarding_box_replaces_sent():
    # Without this the caller got "unknown" when the engine refused the connection of the owner box.
    attempt = attempts.Attempt(1, "engine")
    attempt.enter(attempts.Phase.SENT)
    attempt.set_reported_phase(attempts.Phase.UNSENT)
    assert attempt.run_state is codes.RunState.NOT_RUN


def test_the_run_state_of_a_request_is_unknown_if_one_attempt_may_have_run():
    log = attempts.AttemptLog()
    log.begin("a")
    log.begin("b").enter(attempts.Phase.SENT)
    log.begin("c")
    assert log.run_state is codes.RunState.UNKNOWN
    assert log.failed_count == 1
