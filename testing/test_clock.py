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

from croftpulley import clock as clocks
from croftpulley.core import leases

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


def test_a_lease_ends_while_its_holder_is_suspended(suspend):
    clock = clocks.SystemClock()
    lease = leases.HeldLease(margin_s=0.1)
    lease.renewed(clock.monotonic_s(), 3.0)
    assert lease.holds(clock.monotonic_s())
    suspend()
    assert not lease.holds(clock.monotonic_s())
