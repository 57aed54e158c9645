"""What request threads meet while their box stops: its controllers end before they do."""

from __future__ import annotations

import pytest

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, replica, router_state, suspicion, suspicion_reports
from croftpulley.core import agreed, attempts, doubts, membership
from croftpulley.observe import metrics

ENDPOINT = membership.Endpoint(
    name="e",
    kind=membership.EndpointKind.ENGINE,
    pool="llm",
    address="127.0.0.1:9",
    hall="hall-a",
    incarnation="e",
)
REQUEST = doubts.Named("f", "clinic", ("part-a",), "llm")


@pytest.fixture
def known():
    """Return what a router knows whose controller of it has stopped."""
    counters = metrics.Metrics()
    made = suspicion.Suspicion(clocks.ManualClock(), counters)
    view = actors.View(router_state.RouterState())
    controller = suspicion_reports.SuspicionController.start(made, view, 0.1, 0.1, counters)
    controller.stop()
    return made


def test_a_connection_that_breaks_off_then_fails_no_request(known):
    attempt = attempts.Attempt(1, "e")
    known.begin(ENDPOINT, REQUEST, attempt)
    known.end(ENDPOINT, REQUEST, attempt, doubts.Ending.BROKE)


def test_what_is_met_then_is_kept(known):
    attempt = attempts.Attempt(1, "e")
    known.begin(ENDPOINT, REQUEST, attempt)
    known.end(ENDPOINT, REQUEST, attempt, doubts.Ending.GIVEN_UP)
    known.looked(ENDPOINT, listens=False)
    assert {each.fingerprint for each in known.news().crashes} == {"f", "part-a"}


def test_a_command_for_the_log_of_a_box_that_has_stopped_fails_and_has_not_counted():
    stopped = actors.Controller.start()
    stopped.stop()
    log = replica.ReplicatedLog(stopped, agreed.AgreedState())
    with pytest.raises(errors.CroftpulleyError, match="NOT_LEADER") as raised:
        log.propose(agreed.ForgetBox("a")).get(timeout=1)
    assert raised.value.run_state is codes.RunState.NOT_RUN
