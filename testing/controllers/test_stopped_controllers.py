"""Request threads that are still running after the controllers of their box have stopped."""

from __future__ import annotations

import pytest

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, replica, router_state, suspicion, suspicion_reports
from croftpulley.core import attempts, crash_candidates, membership, replicated_state
from croftpulley.observe import metrics

ENDPOINT = membership.Endpoint(
    name="e",
    kind=membership.EndpointKind.ENGINE,
    pool="llm",
    address="127.0.0.1:9",
    hall="hall-a",
    incarnation="e",
)
REQUEST = crash_candidates.RequestIdentity("f", "clinic", ("part-a",), "llm")


@pytest.fixture
def suspicions():
    """Return a router's suspicion state after its controller has stopped."""
    counters = metrics.Metrics()
    made = suspicion.Suspicion(clocks.ManualClock(), counters)
    view = actors.View(router_state.RouterState())
    controller = suspicion_reports.SuspicionController.start(made, view, 0.1, 0.1, counters)
    controller.stop()
    return made


def test_broken_connection_after_the_stop_raises_nothing(suspicions):
    attempt = attempts.Attempt(1, "e")
    suspicions.begin(ENDPOINT, REQUEST, attempt)
    suspicions.end(ENDPOINT, REQUEST, attempt, crash_candidates.Ending.BROKE)


def test_crashes_seen_after_the_stop_are_recorded(suspicions):
    attempt = attempts.Attempt(1, "e")
    suspicions.begin(ENDPOINT, REQUEST, attempt)
    suspicions.end(ENDPOINT, REQUEST, attempt, crash_candidates.Ending.GIVEN_UP)
    suspicions.note_probe(ENDPOINT, listens=False)
    assert {each.fingerprint for each in suspicions.pending_report().crashes} == {"f", "part-a"}


def test_command_proposed_after_the_stop_fails_as_not_run():
    stopped = actors.Controller.start()
    stopped.stop()
    log = replica.ReplicatedLog(stopped, replicated_state.ReplicatedState())
    with pytest.raises(errors.CroftpulleyError, match="NOT_LEADER") as raised:
        log.propose(replicated_state.ForgetBox("a")).get(timeout=1)
    assert raised.value.run_state is codes.RunState.NOT_RUN
