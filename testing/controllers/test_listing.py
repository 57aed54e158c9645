"""Reading the platform's list."""

from __future__ import annotations

import logging

import pytest

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, listing
from croftpulley.core import membership
from croftpulley.endpoints import lists
from croftpulley.observe import events, metrics

INVALID_ENTRY = lists.InvalidEntry(lists.Defect.FIELD_TYPE, "zone: got 7")


class Always(listing.Turn):
    """It is always this box's turn."""

    def has_come(self, now_s):
        return True


class Lists(lists.PlatformList):
    """Returns or raises what the test has set."""

    def __init__(self):
        self.reading = lists.ListSnapshot()
        self.reads = 0

    def read(self):
        self.reads += 1
        if isinstance(self.reading, errors.CroftpulleyError):
            raise self.reading
        if self.reading is None:
            raise errors.CroftpulleyError(codes.ResultCode.ENGINE_BROKE, "no list")
        return self.reading


def endpoint(born_ms):
    kind = membership.EndpointKind.WORKER
    return membership.Endpoint("w", kind, "desk", "127.0.0.1:1", "a", "w", born_ms=born_ms)


@pytest.fixture
def platform():
    return Lists()


@pytest.fixture
def counters():
    return metrics.Metrics()


@pytest.fixture
def read(platform, counters):
    """Return a function that has the controller read once and returns what it published."""
    view = actors.View(listing.Listing())
    clock = clocks.ManualClock()
    controller = listing.ListingController(platform, Always(), view, 0.5, clock, counters)

    def read_once(reading):
        platform.reading = reading
        clock.advance(0.6)
        controller.handle(actors.Tick())
        return view.get()

    return read_once


def logged(caplog, event):
    return [each for each in caplog.records if getattr(each, "event", 0) == event.value]


def test_invalid_entries_are_logged_at_each_change_and_counted_at_each_reading(
    read, counters, caplog
):
    caplog.set_level(logging.INFO)
    for spoiled in ((), (INVALID_ENTRY,), (INVALID_ENTRY,), (INVALID_ENTRY, INVALID_ENTRY), ()):
        read(lists.ListSnapshot((endpoint(1),), spoiled))
    lines = logged(caplog, events.Event.PLATFORM_ENTRIES_SPOILED)
    assert [(each.defect, each.entries) for each in lines] == [
        ("field_type", 1),
        ("field_type", 2),
        ("field_type", 0),
    ]
    assert b'croftpulley_list_entries_spoiled_total{defect="field_type"} 4.0' in counters.render()


def test_a_failed_reading_keeps_the_last_list_and_logs_its_age(read, caplog):
    known = read(lists.ListSnapshot((endpoint(1),)))
    assert read(None) is known
    (line,) = logged(caplog, events.Event.PLATFORM_LIST_FAILED)
    assert line.kept_age_s == pytest.approx(0.6)


def test_a_restart_under_the_same_id_is_a_new_incarnation(read, caplog):
    caplog.set_level(logging.INFO)
    first = read(lists.ListSnapshot((endpoint(1),))).endpoints
    second = read(lists.ListSnapshot((endpoint(2),))).endpoints
    assert first.version != second.version
    assert [each.endpoint for each in logged(caplog, events.Event.ENDPOINT_UNLISTED)] == ["w@1"]


@pytest.mark.parametrize(("asked_s", "waited_s"), [(2.0, 2.0), (0.1, 0.5), (3600.0, 5.0)])
def test_the_wait_that_a_list_asks_for_is_observed_up_to_a_limit(
    read, platform, caplog, asked_s, waited_s
):
    read(lists.RetryLaterError("429", asked_s))
    before = platform.reads
    waited = 0.6
    while platform.reads == before:
        read(lists.ListSnapshot())
        waited += 0.6
    assert waited_s <= waited - 0.6 < waited_s + 0.6
