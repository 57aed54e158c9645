"""Request threads that are still running after the controllers of their box have stopped."""

from __future__ import annotations

import threading

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
LIMIT_S = 20.0
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


class Stuck(actors.Controller):
    """Handles a tick until it is told to go on."""

    def __init__(self, has_begun, may_go_on):
        super().__init__()
        self._has_begun = has_begun
        self._may_go_on = may_go_on

    def handle(self, _message):
        self._has_begun.set()
        self._may_go_on.wait()


@pytest.fixture
def stuck_router(make_site):
    """Return a router one of whose controllers is in a tick that does not end by itself."""
    site = make_site()
    has_begun, may_go_on = threading.Event(), threading.Event()
    daemon = site.routers[0]
    controller = Stuck.start(has_begun, may_go_on)
    daemon._controllers.append(controller)
    daemon._tickers.insert(0, actors.Ticker(controller, 0.01))
    assert has_begun.wait(LIMIT_S)
    yield daemon
    may_go_on.set()


# The process was there until it was killed, after all its requests had ended.
def test_a_tick_that_does_not_end_does_not_keep_a_router(stuck_router):
    stopping = threading.Thread(target=stuck_router.stop, daemon=True)
    stopping.start()
    stopping.join(LIMIT_S)
    assert not stopping.is_alive()
