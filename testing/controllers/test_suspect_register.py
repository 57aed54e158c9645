"""What the leading control box writes to the log about suspects, and what it answers without."""

from __future__ import annotations

import attrs
import pykka
import pytest

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, agreement, replica_standing, suspect_register, suspicion
from croftpulley.core import (
    attempts,
    crash_candidates,
    membership,
    replicated_state,
    suspect_messages,
)
from croftpulley.core.replication import state as states
from croftpulley.observe import metrics
from croftpulley.transport import box_messages

FAR_S = 1e9
NOTHING = suspect_messages.Report()
LEADS = replica_standing.ReplicaStatus(states.Role.LEADER, 1, "127.0.0.1:9", FAR_S)
NO_AUTHORITY = attrs.evolve(LEADS, authority_until_s=0.0)


class Log(agreement.CommandLog):
    """A command log that applies each command at once, or fails all with NOT_LEADER."""

    def __init__(self):
        self.state = replicated_state.ReplicatedState()
        self.proposed = []
        self.refuses = False

    def propose(self, command):
        self.proposed.append(command)
        done = pykka.ThreadingFuture()
        if self.refuses:
            failure = errors.CroftpulleyError(codes.ResultCode.NOT_LEADER)
            done.set_exception((type(failure), failure, None))
        else:
            done.set(self.state.apply(command))
        return done

    def read(self):
        return self.state


@pytest.fixture
def log():
    return Log()


@pytest.fixture
def replica_status():
    return actors.View(LEADS)


@pytest.fixture
def register(log, replica_status):
    return suspect_register.SuspectRegister(log, replica_status, clocks.ManualClock())


def test_a_crash_that_other_boxes_reported_too_counts_once():
    known = suspicion.Suspicion(clocks.ManualClock(), metrics.Metrics())
    kind = membership.EndpointKind.ENGINE
    endpoint = membership.Endpoint("e", kind, "llm", "127.0.0.1:9", "hall-a", "e")
    request = crash_candidates.RequestIdentity("f", "clinic", ("part-a",), "llm")
    attempt = attempts.Attempt(1, "e")
    known.begin(endpoint, request, attempt)
    known.end(endpoint, request, attempt, crash_candidates.Ending.GIVEN_UP)
    known.note_probe(endpoint, listens=False)
    summary = suspect_messages.SuspectSummary("part-a", 1, pools=("llm",))
    known.apply_update(suspect_messages.SuspectsUpdate(revision=1, suspects=(summary,)))
    known.mark_reported(known.pending_report())
    assert known.status("part-a").crashes == 1


def report_of(*incarnations):
    return suspect_messages.Report(
        crashes=tuple(
            suspect_messages.Crash("f", "clinic", incarnation) for incarnation in incarnations
        )
    )


def ask(register, trial, report=NOTHING):
    request = box_messages.TrialRequest(report=report, fingerprint="f", trial=trial, limit_s=5.0)
    return register.begin_trial(request).answer


def test_the_report_in_a_trial_request_counts_for_its_verdict(register):
    assert ask(register, "t1", report_of("e1")).verdict is suspect_messages.Verdict.FREE
    assert ask(register, "t1", report_of("e2")).verdict is suspect_messages.Verdict.GRANTED


def test_only_a_grant_goes_into_the_log(register, log):
    # Otherwise a caller that repeats a suspect request would fill the log.
    ask(register, "t1", report_of("e1", "e2"))
    before = len(log.proposed)
    assert ask(register, "t2").verdict is suspect_messages.Verdict.BUSY
    assert len(log.proposed) == before


def test_a_report_that_the_log_refuses_is_not_taken(register, log):
    log.refuses = True
    message = box_messages.SuspectReport(report=report_of("e1"))
    assert not register.report(message).is_taken
    assert ask(register, "t1", report_of("e1", "e2")) is None


def test_a_box_without_authority_takes_no_reports_and_grants_no_trials(
    register, log, replica_status
):
    replica_status.publish(NO_AUTHORITY)
    assert not register.report(box_messages.SuspectReport(report=report_of("e1"))).is_taken
    assert ask(register, "t1") is None
    assert log.proposed == []


def test_a_router_delays_its_next_trial_request():
    clock = clocks.ManualClock()
    known = suspicion.Suspicion(clock, metrics.Metrics())
    known.delay_trials("f")
    assert known.status("f").trial_delay_s == suspicion.TRIAL_RETRY_DELAY_S
    clock.advance(suspicion.TRIAL_RETRY_DELAY_S)
    assert known.status("f").trial_delay_s == 0.0


def test_the_reports_pending_while_no_control_box_leads_are_bounded():
    known = suspicion.Suspicion(clocks.ManualClock(), metrics.Metrics())
    for number in range(suspicion.MAX_PENDING + 10):
        known.trial_ended(suspect_messages.TrialEnd("f", f"t{number}"))
    waiting = known.pending_report().trial_ends
    assert len(waiting) == suspicion.MAX_PENDING
    assert waiting[0].trial == "t10"
