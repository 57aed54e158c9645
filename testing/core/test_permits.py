"""Shares of a pool's capacity: their total over all boxes, and how renewals divide the rest."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import permits

CAPACITY = 40.0


def snapshot_of(owns, index, capacity=CAPACITY):
    return permits.PoolSnapshot(
        own=owns[index], total=sum(owns), capacity=capacity, boxes=len(owns), at_s=0.0
    )


@given(st.lists(st.integers(0, 60), min_size=1, max_size=80))
def test_shares_of_boxes_with_the_same_information_fit_the_capacity(owns):
    shares = [snapshot_of(owns, index).permit_share(0.1) for index in range(len(owns))]
    few = min(permits.MIN_PERMITS, max(0.0, CAPACITY - sum(owns)))
    assert sum(shares) <= CAPACITY + few * len(owns) + 1e-9


@pytest.mark.parametrize("boxes", [1, 12, 80])
@pytest.mark.parametrize("capacity", [40.0, 400.0])
def test_boxes_with_demand_use_the_capacity_within_a_few_renewals(boxes, capacity):
    owns = [0] * boxes
    owns[0] = 300
    for _ in range(12):
        snapshots = [snapshot_of(owns, index, capacity) for index in range(boxes)]
        offsets = [(index + 0.5) / boxes for index in range(boxes)]
        owns = [
            int(permits.round_permits(each.permit_share(0.1), offset))
            for each, offset in zip(snapshots, offsets, strict=True)
        ]
    # Each box may always have one request, and a few while capacity is left.
    assert (
        0.8 * capacity <= sum(owns) <= max(1.1 * capacity, permits.MIN_PERMITS * boxes + capacity)
    )
    assert max(owns) <= 2.5 * capacity / boxes + permits.MIN_PERMITS


def test_the_only_box_with_demand_gets_the_capacity_of_the_others():
    owns = [0] * 10
    for _ in range(20):
        owns[0] = int(permits.round_permits(snapshot_of(owns, 0, 100.0).permit_share(0.1), 0.5))
    assert owns[0] >= 90


@pytest.mark.parametrize("total", [0, 12])
def test_box_without_requests_gets_the_minimum_while_slots_are_idle(total):
    snapshot = permits.PoolSnapshot(own=0, total=total, capacity=30.0, boxes=80, at_s=0.0)
    assert permits.round_permits(snapshot.permit_share(0.1), 0.99) == permits.MIN_PERMITS


def test_each_of_many_boxes_gets_one_permit_in_a_full_pool():
    snapshot = permits.PoolSnapshot(own=1, total=80, capacity=30.0, boxes=80, at_s=0.0)
    assert permits.round_permits(snapshot.permit_share(0.1), 0.99) == 1


@pytest.mark.parametrize("own", [0, 5, 10**9])
@pytest.mark.parametrize("total", [0, 1, 10**12])
def test_any_reported_load_leaves_a_permit_and_never_exceeds_the_capacity(own, total):
    snapshot = permits.PoolSnapshot(own=own, total=total, capacity=CAPACITY, boxes=10, at_s=0.0)
    part = snapshot.permit_share(0.1)
    assert part <= CAPACITY
    assert permits.round_permits(part, 0.5) >= 1


def test_out_of_date_loads_leave_an_even_share():
    snapshot = permits.PoolSnapshot(own=30, total=31, capacity=CAPACITY, boxes=10, at_s=0.0)
    assert snapshot.permit_share(permits.STALE_S) == CAPACITY / 10


def test_pool_with_unknown_slots_is_unlimited():
    snapshot = permits.PoolSnapshot(
        own=3, total=9, capacity=permits.pool_capacity([6, 0], 0.25), boxes=10, at_s=0.0
    )
    assert math.isinf(permits.round_permits(snapshot.permit_share(0.1), 0.5))
