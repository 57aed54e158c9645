"""Shares of a pool's capacity: their total over all boxes, and how renewals divide the rest."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import permits

CAPACITY = 40.0


def snapshot_of(owns, index, capacity=CAPACITY):
    return permits.Heard(own=owns[index], total=sum(owns), room=capacity, boxes=len(owns), at_s=0.0)


@given(st.lists(st.integers(0, 60), min_size=1, max_size=80))
def test_shares_of_boxes_with_the_same_information_fit_the_capacity(owns):
    shares = [snapshot_of(owns, index).part(0.1) for index in range(len(owns))]
    few = min(permits.FEW, max(0.0, CAPACITY - sum(owns)))
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
            int(permits.whole(each.part(0.1), offset))
            for each, offset in zip(snapshots, offsets, strict=True)
        ]
    # Each box may always have one request, and a few while capacity is left.
    assert 0.8 * capacity <= sum(owns) <= max(1.1 * capacity, permits.FEW * boxes + capacity)
    assert max(owns) <= 2.5 * capacity / boxes + permits.FEW


def test_the_only_box_with_demand_gets_the_capacity_of_the_others():
    owns = [0] * 10
    for _ in range(20):
        owns[0] = int(permits.whole(snapshot_of(owns, 0, 100.0).part(0.1), 0.5))
    assert owns[0] >= 90


@pytest.mark.parametrize("total", [0, 12])
def test_box_without_requests_gets_the_minimum_while_slots_are_idle(total):
    snapshot = permits.Heard(own=0, total=total, room=30.0, boxes=80, at_s=0.0)
    assert permits.whole(snapshot.part(0.1), 0.99) == permits.FEW


def test_each_of_many_boxes_gets_one_permit_in_a_full_pool():
    snapshot = permits.Heard(own=1, total=80, room=30.0, boxes=80, at_s=0.0)
    assert permits.whole(snapshot.part(0.1), 0.99) == 1


@pytest.mark.parametrize("own", [0, 5, 10**9])
@pytest.mark.parametrize("total", [0, 1, 10**12])
def test_any_reported_load_leaves_a_permit_and_never_exceeds_the_capacity(own, total):
    snapshot = permits.Heard(own=own, total=total, room=CAPACITY, boxes=10, at_s=0.0)
    part = snapshot.part(0.1)
    assert part <= CAPACITY
    assert permits.whole(part, 0.5) >= 1


def test_out_of_date_loads_leave_an_even_share():
    snapshot = permits.Heard(own=30, total=31, room=CAPACITY, boxes=10, at_s=0.0)
    assert snapshot.part(permits.STALE_S) == CAPACITY / 10


def test_pool_with_unknown_slots_is_unlimited():
    snapshot = permits.Heard(own=3, total=9, room=permits.room([6, 0], 0.25), boxes=10, at_s=0.0)
    assert math.isinf(permits.whole(snapshot.part(0.1), 0.5))
