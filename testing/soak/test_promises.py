"""Each check of the soak finds what it is made for."""

from __future__ import annotations

import signal
import time

import attrs
import pytest

import rests
from croftpulley.core import retry_budget
from croftpulley.fakes import forwarded
from soak import crashing, fleet, processes, promises, proxy, records

End = records.End
WELL = records.Asked(
    request_id="r",
    kind="once",
    router=0,
    route_version=3,
    key_version=3,
    accepted_version=3,
    submitted_version=3,
    sent_s=0.0,
    ended_s=0.1,
    end=End.WHOLE,
    status=200,
    body=b"ran POST /v3/once/r body",
    echoed_id="r",
    has_proof=True,
)
NOTE_PATH = "/v3/note/stream/r"
EVENTS = b"".join(b"id: %d\ndata: %b %d\n\n" % (n, NOTE_PATH.encode(), n) for n in range(1, 6))
ONE_RUN = {"r": ["desk-1"]}


def found(asked, runs, **changes):
    return promises.broken(records.Book(asked=[asked], submitted_version=3, **changes), runs)


@pytest.mark.parametrize(
    ("change", "runs"),
    [
        ({}, ONE_RUN),
        ({"kind": "repeat", "body": b"ran POST /v3/repeat/r body"}, {"r": ["desk-1", "desk-2"]}),
        ({"kind": "note", "body": EVENTS}, ONE_RUN),
        ({"kind": "note", "body": EVENTS[:40], "end": End.CUT}, ONE_RUN),
        ({"status": 503, "body": b""}, {}),
        ({"status": 504, "body": b""}, ONE_RUN),
        ({"end": End.NOTHING, "status": 0}, ONE_RUN),
        ({"route_version": 1, "status": 404}, {}),
        ({"key_version": 4, "submitted_version": 4, "status": 401}, {}),
    ],
)
def test_what_is_promised_is_not_reported(change, runs):
    assert found(attrs.evolve(WELL, **change), runs) == []


@pytest.mark.parametrize(
    ("change", "runs", "line"),
    [
        ({}, {"r": ["desk-1", "desk-2"]}, "ran at ['desk-1', 'desk-2']"),
        ({"status": 503}, ONE_RUN, "was told 503 and ran"),
        ({"echoed_id": "q"}, ONE_RUN, "got the answer of 'q'"),
        ({"has_proof": False}, ONE_RUN, "without proof"),
        ({"body": b"ran POST"}, ONE_RUN, "as whole"),
        ({"kind": "note", "body": EVENTS[:-30]}, ONE_RUN, "as whole"),
        ({"kind": "note", "body": EVENTS[30:], "end": End.CUT}, ONE_RUN, "no beginning"),
        ({"key_version": 1, "status": 504}, ONE_RUN, "ran"),
        ({"route_version": 1, "end": End.NOTHING, "status": 0}, ONE_RUN, "ran"),
        ({"status": 404}, {}, "was told 404"),
        ({"status": 401}, {}, "was told 401"),
    ],
)
def test_what_is_broken_is_reported(change, runs, line):
    (reported,) = found(attrs.evolve(WELL, **change), runs)
    assert line in reported


def test_an_older_configuration_that_is_read_back_is_reported():
    book = records.Book(reads=[records.Read(accepted_version=3, version=2)])
    assert promises.broken(book, {}) == ["version 2 was read back after 3"]


@pytest.mark.parametrize(
    ("took_s", "lines"),
    [
        (19.9, []),
        (20.1, ["version 4 was not accepted and read back within 20 s (took 20.1 s)"]),
        (None, ["version 4 was not accepted and read back within 20 s (given up)"]),
    ],
)
def test_a_configuration_that_is_accepted_late_is_reported(took_s, lines):
    accepted = records.Acceptance(version=4, limit_s=20.0, took_s=took_s)
    assert promises.broken(records.Book(acceptances=[accepted]), {}) == lines


def test_a_planned_stop_that_was_cut_short_is_reported():
    assert promises.broken(records.Book(exits=[("router-1", 1), ("router-2", 0)]), {}) == [
        "router-1 ended a planned stop with 1"
    ]


def test_an_answer_that_was_lost_in_planned_work_is_reported():
    book = records.Book(asked=[attrs.evolve(WELL, end=End.NOTHING)])
    assert promises.lost(book, {}) == []
    assert promises.lost(book, ONE_RUN) == ["r (once) at router-0 ran and ended as nothing"]


TWO = retry_budget.Allowance(ratio=0.5, extra=1.0, window_s=2.0)
"""Two requests earn one repeat, and one more is free: two in a window."""


@pytest.mark.parametrize(
    ("arrived_s", "lines"),
    [
        # The first arrival of a request is no repeat, however late.
        ([0.0, 9.0], []),
        ([0.0, 0.1, 0.1], []),
        ([0.0, 0.1, 0.2, 2.3], []),
        ([0.0, 0.1, 0.2, 2.1], ["desk got 3 repeats within 2.0 s from 0.100, 2.0 are allowed"]),
    ],
)
def test_more_repeats_than_all_may_send_are_reported(arrived_s, lines):
    asked = [attrs.evolve(WELL, request_id=each, sent_s=0.0) for each in ("r", "s")]
    book = records.Book(asked=[*asked, attrs.evolve(WELL, kind="note", sent_s=0.1)])
    arrivals = {fleet.WORKER_POOL: [forwarded.Arrival("r", at_s) for at_s in arrived_s]}
    assert promises.repeats_beyond_the_budget(book, arrivals, TWO) == lines


def sent_on(arrivals_s, ends_s, is_in_touch=lambda _arrival: True):
    """Judge one crashing request by when it arrived at endpoints and when these ended."""
    request = crashing.Crashing("once", 0)
    arrived = [forwarded.Arrival("r", at_s, request.content) for at_s in arrivals_s]
    crashes = [forwarded.Arrival("r", at_s, request.content) for at_s in ends_s]
    return crashing.sent_on([request], {"desk": arrived}, crashes, is_in_touch)


@pytest.mark.parametrize(
    ("later_s", "is_broken"),
    [([5.9] * 9, False), ([6.1] * 3, False), ([6.1] * 4, True), ([100.0] * 4, True)],
)
def test_a_crashing_request_that_is_sent_on_and_on_is_reported(later_s, is_broken):
    ends_s = [1.0, 2.0, 3.0]
    assert bool(sent_on(ends_s + later_s, ends_s + later_s)) is is_broken


def test_a_request_under_which_two_endpoints_ended_may_be_sent_on():
    assert sent_on([1.0, 2.0, *[9.0] * 9], [1.0, 2.0]) == []


def test_what_a_router_sent_that_was_just_started_does_not_count():
    ends_s = [1.0, 2.0, 3.0]
    assert sent_on([*ends_s, *[6.1] * 4], ends_s, lambda arrival: arrival.at_s < 6.0) == []


class Endpoint:
    """What a stand-in writes down."""

    def __init__(self, arrivals_s, rests=(), told_leaving_s=()):
        self.arrivals = [forwarded.Arrival("r", at_s) for at_s in arrivals_s]
        self.rests = [forwarded.Rest("r", at_s, rest_s) for at_s, rest_s in rests]
        self.told_leaving = [forwarded.Arrival("r", at_s) for at_s in told_leaving_s]


def router_of(request_id):
    return {"r": "router-0"}[request_id]


@pytest.mark.parametrize(
    ("arrivals_s", "is_broken"),
    [
        ([1.0] * 9, False),
        ([1.4] * 9, False),
        ([1.6] * 2, False),
        ([1.6] * 3, True),
        ([3.9] * 3, True),
        ([4.0] * 9, False),
    ],
)
def test_a_rest_that_is_not_kept_is_reported(arrivals_s, is_broken):
    endpoint = Endpoint(arrivals_s, rests=[(1.0, 3.0)])
    assert bool(rests.broken(endpoint, router_of)) is is_broken
    assert not rests.broken(endpoint, router_of, lambda *_: True)


@pytest.mark.parametrize(("arrival_s", "is_broken"), [(0.5, False), (3.9, False), (4.1, True)])
def test_a_request_to_an_endpoint_that_said_long_ago_that_it_leaves_is_reported(
    arrival_s, is_broken
):
    endpoint = Endpoint([arrival_s], told_leaving_s=[1.0, 2.0])
    assert bool(rests.sent_to_leaving(endpoint, router_of)) is is_broken
    assert not rests.sent_to_leaving(endpoint, router_of, lambda *_: True)


def test_a_way_remembers_when_it_was_harmed():
    loop = proxy.Loop()
    way = proxy.Proxy(loop)
    before_s = time.monotonic()
    way.harm = proxy.Harm.DELAY
    assert way.was_harmed(before_s, time.monotonic())
    way.harm = proxy.Harm.CUT_TO
    way.harm = proxy.Harm.NONE
    after_s = time.monotonic()
    assert not way.was_harmed(before_s - 2.0, before_s - 1.0)
    assert not way.was_harmed(after_s + 0.1, after_s + 1.0)
    loop.stop()


def test_a_program_was_calm_where_it_was_left_alone(tmp_path):
    program = processes.Program("router", {"box": "router-0"}, tmp_path)
    program.signal(signal.SIGSTOP)
    now_s = time.monotonic()
    assert not program.was_calm(now_s - 3.0, now_s)
    assert program.was_calm(now_s + 0.1, now_s + 3.0)
