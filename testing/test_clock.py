"""Tests of leases, deadlines and other times after a suspension of the machine.

Users reported that a box may be suspended for seconds, which its monotonic clock doesn't count.
Leases and leader leases were checked with that clock. A box that woke up would treat its lease as
still valid, use a replaced configuration and accept keys that were removed after the others had
waited for its lease to expire; a control box would believe that it still leads.
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
    """Return a function that advances only the clock that counts time spent suspended."""
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


def test_a_lease_expires_while_its_holder_is_suspended(suspend, clock):
    lease = leases.HeldLease(margin_s=0.1)
    lease.record_renewal(clock.monotonic_s(), 3.0)
    assert lease.is_valid(clock.monotonic_s())
    suspend()
    assert not lease.is_valid(clock.monotonic_s())


def test_a_leader_lease_expires_in_a_suspension(suspend, clock):
    status = replica_standing.ReplicaStatus(authority_until_s=clock.monotonic_s() + 0.4)
    assert status.has_authority(clock.monotonic_s())
    suspend()
    assert not status.has_authority(clock.monotonic_s())


def test_a_share_of_extra_retries_expires_in_a_suspension(suspend, clock):
    now_s = clock.monotonic_s()
    share = retry_budget.ExtraShare(boxes=2, from_s=now_s, until_s=now_s + 3.0)
    assert share.fraction(clock.monotonic_s()) == 0.5
    suspend()
    assert share.fraction(clock.monotonic_s()) == 0.0


def test_the_refusal_of_a_suspect_expires_in_a_suspension(suspend, clock):
    known = suspicion.Suspicion(clock, metrics.Metrics())
    summary = suspect_messages.SuspectSummary("f", 3, refused_for_s=SUSPENDED_S)
    known.apply_update(suspect_messages.SuspectsUpdate(revision=1, suspects=(summary,)))
    assert known.status("f").refused_for_s == pytest.approx(SUSPENDED_S)
    suspend()
    assert known.status("f").refused_for_s == 0.0


def test_a_deadline_passes_in_a_suspension(suspend, clock):
    watched_streams = streams.Streams(1, clock, metrics.Metrics())
    token = cancel.CancelToken()
    watched_streams.watch(streams.WatchedRequest(token, clock.monotonic_s() + 5.0, lambda: False))
    watched_streams.sweep()
    assert token.reason is None
    suspend()
    watched_streams.sweep()
    assert token.reason is codes.ResultCode.DEADLINE_PASSED


class _OneBoxClock(clocks.SystemClock):
    """The clock of a box that is suspended while other boxes are not."""

    suspended_s = 0.0

    def monotonic_s(self):
        return super().monotonic_s() + self.suspended_s


def test_a_router_with_an_expired_lease_refuses_requests_after_a_suspension(make_site):
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
