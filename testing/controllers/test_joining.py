from __future__ import annotations

import random

import pytest

from croftpulley.controllers import joining


@pytest.fixture
def schedule():
    return joining.JoinSchedule("own:1", ("own:1", "a:1"), last_contact_s=0.0)


def next_address(schedule, now_s, must_join=False):
    return schedule.next_address(now_s, random.Random(1), must_join=must_join)


def test_replica_in_contact_with_others_sends_no_join_request(schedule):
    assert next_address(schedule, joining.ISOLATED_AFTER_S) == ""


def test_non_member_or_isolated_replica_asks_a_seed_other_than_itself(schedule):
    assert next_address(schedule, 0.0, must_join=True) == "a:1"
    assert next_address(schedule, joining.ISOLATED_AFTER_S + 0.1) == "a:1"


def test_leader_hint_is_used_for_the_next_request_only(schedule):
    schedule.set_leader_hint("leader:1")
    asked = [next_address(schedule, number, must_join=True) for number in range(2)]
    assert asked == ["leader:1", "a:1"]


def test_leader_hint_that_names_this_replica_is_ignored(schedule):
    schedule.set_leader_hint("own:1")
    assert next_address(schedule, 0.0, must_join=True) == "a:1"


def test_requests_keep_the_retry_interval(schedule):
    assert next_address(schedule, 0.0, must_join=True) == "a:1"
    assert next_address(schedule, 0.1, must_join=True) == ""
