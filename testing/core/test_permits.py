"""The parts of all boxes come to a pool's room, and each renewal hands out what is left."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import permits

ROOM = 40.0


def heard(owns, index, room=ROOM):
    return permits.Heard(own=owns[index], total=sum(owns), room=room, boxes=len(owns), at_s=0.0)


@given(st.lists(st.integers(0, 60), min_size=1, max_size=80))
def test_boxes_that_heard_the_same_have_no_more_than_the_room_together(owns):
    parts = [heard(owns, index).part(0.1) for index in range(len(owns))]
    few = min(permits.FEW, max(0.0, ROOM - sum(owns)))
    assert sum(parts) <= ROOM + few * len(owns) + 1e-9


@pytest.mark.parametrize("boxes", [1, 12, 80])
@pytest.mark.parametrize("room", [40.0, 400.0])
def test_all_that_want_room_use_it_whole_within_a_few_renewals(boxes, room):
    owns = [0] * boxes
    owns[0] = 300
    for _ in range(12):
        told = [heard(owns, index, room) for index in range(boxes)]
        chances = [(index + 0.5) / boxes for index in range(boxes)]
        owns = [
            int(permits.whole(each.part(0.1), chance))
            for each, chance in zip(told, chances, strict=True)
        ]
    # Each box may always have one.
    # Each box may always have one, and a few while room is left.
    assert 0.8 * room <= sum(owns) <= max(1.1 * room, permits.FEW * boxes + room)
    assert max(owns) <= 2.5 * room / boxes + permits.FEW


def test_a_box_alone_with_demand_gets_the_room_of_the_others():
    owns = [0] * 10
    for _ in range(20):
        owns[0] = int(permits.whole(heard(owns, 0, 100.0).part(0.1), 0.5))
    assert owns[0] >= 90


@pytest.mark.parametrize("total", [0, 12])
def test_callers_of_one_box_need_not_wait_for_each_other_beside_idle_slots(total):
    told = permits.Heard(own=0, total=total, room=30.0, boxes=80, at_s=0.0)
    assert permits.whole(told.part(0.1), 0.99) == permits.FEW


def test_a_full_pool_leaves_each_of_many_boxes_one():
    told = permits.Heard(own=1, total=80, room=30.0, boxes=80, at_s=0.0)
    assert permits.whole(told.part(0.1), 0.99) == 1


@pytest.mark.parametrize("own", [0, 5, 10**9])
@pytest.mark.parametrize("total", [0, 1, 10**12])
def test_whatever_was_told_a_box_has_some_permits_and_never_more_than_the_room(own, total):
    told = permits.Heard(own=own, total=total, room=ROOM, boxes=10, at_s=0.0)
    part = told.part(0.1)
    assert part <= ROOM
    assert permits.whole(part, 0.5) >= 1


def test_loads_that_are_old_leave_an_even_part():
    told = permits.Heard(own=30, total=31, room=ROOM, boxes=10, at_s=0.0)
    assert told.part(permits.STALE_S) == ROOM / 10


def test_a_pool_whose_slots_are_not_known_is_not_bounded():
    told = permits.Heard(own=3, total=9, room=permits.room([6, 0], 0.25), boxes=10, at_s=0.0)
    assert math.isinf(permits.whole(told.part(0.1), 0.5))
