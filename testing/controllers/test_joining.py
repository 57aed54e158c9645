from __future__ import annotations

import random

import pytest

from croftpulley.controllers import joining


@pytest.fixture
def asks():
    return joining.Joining("own:1", ("own:1", "a:1"), heard_at_s=0.0)


def next_address(asks, now_s, must_join=False):
    return asks.next_address(now_s, random.Random(1), must_join=must_join)


def test_a_replica_that_hears_others_asks_nobody(asks):
    assert next_address(asks, joining.LOST_AFTER_S) == ""


def test_one_that_is_no_member_or_has_lost_the_others_asks_any_but_itself(asks):
    assert next_address(asks, 0.0, must_join=True) == "a:1"
    assert next_address(asks, joining.LOST_AFTER_S + 0.1) == "a:1"


def test_the_leader_that_a_box_told_is_asked_next_and_once(asks):
    asks.told_leader("leader:1")
    asked = [next_address(asks, number, must_join=True) for number in range(2)]
    assert asked == ["leader:1", "a:1"]


def test_a_box_that_names_the_asker_as_leader_is_not_believed(asks):
    asks.told_leader("own:1")
    assert next_address(asks, 0.0, must_join=True) == "a:1"


def test_asks_keep_their_interval(asks):
    assert next_address(asks, 0.0, must_join=True) == "a:1"
    assert next_address(asks, 0.1, must_join=True) == ""
