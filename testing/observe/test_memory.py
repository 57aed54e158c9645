"""Memory that grows is told before it ends a process, with what takes it."""

from __future__ import annotations

import logging

import pytest

from conftest import wait_until
from croftpulley import cancel, codes
from croftpulley import clock as clocks
from croftpulley.controllers import streams
from croftpulley.fakes import faults
from croftpulley.forwarding import sender
from croftpulley.observe import events, memory, metrics


class Resident(memory.MemoryWatch):
    """A watch of a process whose size the test sets."""

    size_bytes = 0

    def resident_bytes(self):
        return self.size_bytes


@pytest.fixture
def watch():
    watch = Resident(lambda: {"streams": 3})
    yield watch
    watch.close()


def logged(caplog):
    """Return what the watch has logged; threads of the test before may still log something."""
    return [each for each in caplog.records if each.name == memory.__name__]


def logged_bytes(caplog):
    return [
        each.resident_bytes for each in logged(caplog) if each.event == events.Event.MEMORY_GROWN
    ]


def test_each_step_of_growth_is_logged_once_with_what_takes_it(watch, caplog):
    steps = (1, 1, 2, 5, 5, 4)
    with caplog.at_level(logging.WARNING):
        for each in steps:
            watch.size_bytes = each * memory.STEP_BYTES
            watch.look()
    assert logged_bytes(caplog) == [each * memory.STEP_BYTES for each in (1, 2, 5)]
    assert {each.streams for each in logged(caplog)} == {3}


def test_growth_after_a_shrink_is_logged_again(watch, caplog):
    with caplog.at_level(logging.WARNING):
        for each in (5, 1, 5):
            watch.size_bytes = each * memory.STEP_BYTES
            watch.look()
    assert logged_bytes(caplog) == [5 * memory.STEP_BYTES] * 2


def test_the_size_is_that_of_this_process():
    watch = memory.MemoryWatch(dict)
    before_bytes = watch.resident_bytes()
    block = b"x" * (2 * memory.STEP_BYTES)
    assert watch.resident_bytes() >= before_bytes + memory.STEP_BYTES
    del block
    watch.close()


def test_a_failed_attempt_is_logged_with_what_its_endpoint_sent(make_site, caplog):
    site = make_site(engines=1, workers=1)
    site.workers[0].faults.add(faults.Fault.ENDLESS_LENGTH)
    with caplog.at_level(logging.WARNING):
        assert site.ask("POST", "/confirm/x", body=b"x").status == 502
    failed = [
        each
        for each in caplog.records
        if getattr(each, "event", None) == events.Event.ENGINE_ATTEMPT_FAILED
    ]
    assert [each.received_bytes > sender.MAX_BUFFERED_RESPONSE_BYTES for each in failed] == [True]


def test_requests_are_named_by_what_endpoints_have_sent_for_them(make_site):
    site = make_site(engines=1, workers=1)
    site.workers[0].pause_s = 0.05
    site.workers[0].faults.add(faults.Fault.ENDLESS_CHUNKS)
    streams = site.routers[0]._streams
    caller = site.connect()
    caller.request("GET", "/cancel/x", headers=site.headers("r-1"))
    wait_until(
        lambda: any(each.received_bytes for each in streams.largest()),
        "its endpoint has sent something",
    )
    described = streams.largest()[0].describe()
    caller.close()
    assert described["request_id"] == "r-1"
    assert len(described["engines"]) == 1


@pytest.fixture
def limited():
    watch = Resident(lambda: {"streams": 3}, 10 * memory.STEP_BYTES)
    yield watch
    watch.close()


def test_memory_is_short_from_four_fifths_of_the_limit_until_well_below(limited, caplog):
    short = []
    with caplog.at_level(logging.INFO):
        for each in (7.9, 8.1, 7.5, 6.9, 7.5):
            limited.size_bytes = int(each * memory.STEP_BYTES)
            limited.look()
            short.append(limited.is_short)
    assert short == [False, True, True, False, False]
    told = [each.event for each in logged(caplog) if each.event != events.Event.MEMORY_GROWN]
    assert told == [events.Event.MEMORY_SHORT, events.Event.MEMORY_SUFFICES]


def test_a_limit_below_what_a_program_takes_at_rest_leaves_it_a_step():
    watch = memory.MemoryWatch(dict, 1)
    watch.look()
    assert not watch.is_short
    watch.close()


def test_while_memory_is_short_the_largest_requests_end_and_small_ones_go_on(watch):
    watched = []
    in_flight = streams.Streams(8, clocks.ManualClock(), metrics.Metrics())
    for size_bytes in (10, 10_000_000, 20_000_000):
        each = streams.WatchedRequest(cancel.CancelToken(), float("inf"), lambda: False)
        each.attempts.begin("endpoint").count_received(size_bytes)
        in_flight.watch(each)
        watched.append(each)
    in_flight.end_largest()
    ended = [each.token.reason for each in watched]
    assert ended == [None, codes.ResultCode.WORKER_BROKE, codes.ResultCode.WORKER_BROKE]


def test_the_highest_value_is_among_the_metrics():
    rendered = metrics.Metrics().render().decode()
    (line,) = [
        each for each in rendered.splitlines() if each.startswith("croftpulley_memory_peak_bytes ")
    ]
    assert float(line.split()[1]) > 10_000_000
