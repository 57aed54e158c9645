"""Announcements of control boxes: which one a box acts on, and when they are sent."""

from __future__ import annotations

import attrs
import pytest

from croftpulley.core import control_announcements as announcements

OLD = announcements.ControlAnnouncement(
    term=3, addresses=("a:1", "b:1"), leader_address="a:1", is_from_leader=True
)
NEW = announcements.ControlAnnouncement(
    term=4, addresses=("b:1", "c:1"), leader_address="c:1", is_from_leader=True
)
FOLLOWERS = attrs.evolve(NEW, addresses=("b:1",), is_from_leader=False)


@pytest.fixture
def heard():
    return announcements.HeardAnnouncements()


def test_before_the_first_announcement_there_is_nothing_to_ask(heard):
    assert (heard.newest, heard.addresses) == (None, ())


def test_the_leader_is_asked_first(heard):
    heard.hear(NEW, 0.0)
    assert heard.addresses == ("c:1", "b:1")


@pytest.mark.parametrize("late", [OLD, FOLLOWERS])
def test_an_older_set_of_control_boxes_does_not_replace_a_newer_one(heard, late):
    assert heard.hear(NEW, 0.0)
    assert not heard.hear(late, announcements.FRESH_S - 0.1)
    assert heard.newest == NEW


def test_what_nobody_repeats_gives_way_to_any_other(heard):
    heard.hear(NEW, 0.0)
    assert heard.hear(OLD, announcements.FRESH_S)
    assert heard.newest == OLD


def test_a_repeated_announcement_stays_fresh_and_is_nothing_new(heard):
    heard.hear(NEW, 0.0)
    assert not heard.hear(NEW, 4.0)
    assert not heard.hear(OLD, announcements.FRESH_S + 1.0)


def test_nothing_is_forgotten_for_age_alone(heard):
    heard.hear(OLD, 0.0)
    assert heard.addresses == ("a:1", "b:1")


@pytest.fixture
def schedule():
    return announcements.AnnouncementSchedule()


def test_each_address_gets_one_message_at_a_time(schedule):
    assert schedule.take_due(["x:1", "y:1", "x:1"], NEW, 0.0) == ["x:1", "y:1"]
    assert schedule.take_due(["x:1", "y:1"], NEW, 60.0) == []
    assert schedule.in_flight == {"x:1", "y:1"}


def test_what_was_taken_is_repeated_after_the_interval(schedule):
    schedule.take_due(["x:1"], NEW, 0.0)
    schedule.record_answer("x:1", NEW, 0.0)
    assert schedule.take_due(["x:1"], NEW, announcements.INTERVAL_S - 0.1) == []
    assert schedule.take_due(["x:1"], NEW, announcements.INTERVAL_S) == ["x:1"]


def test_a_failure_is_tried_again_soon(schedule):
    schedule.take_due(["x:1"], NEW, 0.0)
    schedule.record_failure("x:1", 0.0)
    assert schedule.take_due(["x:1"], NEW, announcements.RETRY_INTERVAL_S) == ["x:1"]


def test_a_change_is_sent_at_once(schedule):
    schedule.take_due(["x:1"], OLD, 0.0)
    schedule.record_answer("x:1", OLD, 0.0)
    assert schedule.take_due(["x:1"], NEW, 0.1) == ["x:1"]


def test_a_change_to_who_does_not_answer_waits_for_the_retry(schedule):
    schedule.take_due(["x:1"], OLD, 0.0)
    schedule.record_failure("x:1", 0.0)
    assert schedule.take_due(["x:1"], NEW, 0.1) == []


def test_many_addresses_come_in_turns(schedule):
    boxes = [f"box-{number:02}:1" for number in range(announcements.MAX_DUE + 4)]
    first = schedule.take_due(boxes, NEW, 0.0)
    for each in first:
        schedule.record_failure(each, 0.0)
    second = schedule.take_due(boxes, NEW, 10.0)
    assert len(first) == len(second) == announcements.MAX_DUE
    assert set(first) | set(second) == set(boxes)


def test_an_address_that_is_no_recipient_any_more_is_forgotten(schedule):
    schedule.take_due(["x:1"], NEW, 0.0)
    schedule.take_due([], NEW, 0.0)
    schedule.record_answer("x:1", NEW, 0.0)
    assert schedule.in_flight == set()
    assert schedule.take_due(["x:1"], NEW, 0.1) == ["x:1"]
