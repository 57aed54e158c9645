"""What a box believes of time after it was suspended.

What users told: a box may be suspended for seconds, and its steady clock doesn't count them. What
would happen then: a box that wakes up finds its lease as fresh as when it was suspended, serves by
a configuration that has been replaced and honours keys that were taken away after the others had
waited its lease out; a control box believes that it still leads. The cause: leases and authority
were read from a clock that stands still in a suspension.
"""

from __future__ import annotations

import time

import pytest

from conftest import wait_until
from croftpulley import cancel, codes
from croftpulley import clock as clocks
from croftpulley.controllers import replica_standing, streams, suspicion
from croftpulley.core import leases, retry_budget, suspect_messages
from croftpulley.observe import metrics

SUSPENDED_S = 30.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function after which all has stood still but the clocks that count a suspension."""
    started = time.clock_gettime(time.CLOCK_MONOTONIC)
    passed = {time.CLOCK_BOOTTIME: 0.0}
    monkeypatch.setattr(time, "monotonic", lambda: started)
    monkeypatch.setattr(time, "clock_gettime", lambda clock_id: started + passed.get(clock_id, 0.0))

    def advance():
        passed[time.CLOCK_BOOTTIME] += SUSPENDED_S

    return advance


@pytest.fixture
def clock(suspend):
    return clocks.SystemClock()


def test_a_lease_ends_while_its_holder_is_suspended(suspend, clock):
    lease = leases.HeldLease(margin_s=0.1)
    lease.record_renewal(clock.monotonic_s(), 3.0)
    assert lease.is_valid(clock.monotonic_s())
    suspend()
    assert not lease.is_valid(clock.monotonic_s())


def test_a_leader_has_no_authority_after_a_suspension(suspend, clock):
    standing = replica_standing.ReplicaStatus(authority_until_s=clock.monotonic_s() + 0.4)
    assert standing.has_authority(clock.monotonic_s())
    suspend()
    assert not standing.has_authority(clock.monotonic_s())


def test_a_router_uses_no_share_of_the_extra_after_a_suspension(suspend, clock):
    now_s = clock.monotonic_s()
    share = retry_budget.ExtraShare(boxes=2, from_s=now_s, until_s=now_s + 3.0)
    assert share.fraction(clock.monotonic_s()) == 0.5
    suspend()
    assert share.fraction(clock.monotonic_s()) == 0.0


def test_a_refusal_of_a_suspect_goes_on_running_in_a_suspension(suspend, clock):
    known = suspicion.Suspicion(clock, metrics.Metrics())
    told = suspect_messages.SuspectSummary("f", 3, refused_for_s=SUSPENDED_S)
    known.learn(suspect_messages.SuspectsUpdate(revision=1, suspects=(told,)))
    assert known.standing("f").refused_for_s == pytest.approx(SUSPENDED_S)
    suspend()
    assert known.standing("f").refused_for_s == 0.0


def test_a_deadline_passes_in_a_suspension(suspend, clock):
    watch = streams.Streams(1, clock, metrics.Metrics())
    token = cancel.CancelToken()
    watch.watch(streams.Watched(token, clock.monotonic_s() + 5.0, lambda: False))
    watch.sweep()
    assert token.reason is None
    suspend()
    watch.sweep()
    assert token.reason is codes.ResultCode.DEADLINE_PASSED


class _OneBoxClock(clocks.SystemClock):
    """The clock of one box among others that are not suspended."""

    suspended_s = 0.0

    def monotonic_s(self):
        return super().monotonic_s() + self.suspended_s


def test_a_router_that_wakes_up_serves_no_key_before_it_has_renewed(make_site):
    site = make_site()
    clock = _OneBoxClock()
    site.routers[0].stop()
    site.routers = [site.start_router("router-0", clock)]
    wait_until(site.is_ready, "it is ready")
    assert site.ask("GET", "/cancel/x").status == 200
    site.stop_control(0)
    clock.suspended_s = SUSPENDED_S
    refused = site.ask("GET", "/cancel/x", request_id="request-2")
    assert refused.status == 503
    assert refused.headers["x-run-state"] == "not_run"
