"""How long a router that is stopped as planned still takes requests.

What was seen on a simulated day of rolling stops: a box was told to stop, took a chat almost 4 s
later, and was ended with it 8 s after the stop, in the middle of the answer. What happened, in
order: the box was named no more, and served on for half of its grace, since callers keep what they
were told; a chat that streams for longer than the other half came at the very end of that. The
cause: the half was taken for long enough for every answer. Users count on what they send within
3 s of a stop with a grace of 8 s, and send elsewhere whatever is refused later.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import threading
import time
from concurrent import futures

import pytest

import cut_links
import site_of_routers as sites
from conftest import wait_until
from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, streams
from croftpulley.core import calls
from croftpulley.fakes import forwarded
from croftpulley.forwarding import base, rules
from croftpulley.observe import events, metrics
from croftpulley.settings import fleet

GRACE_S = 2.0
SERVED_SHARE = 3 / 8
"""Of the grace: what users send later is not to be taken and cut."""
LARGE_BYTES = 1_000_000
"""More than the system holds for a caller."""
ROUTE = fleet.Route(
    name="save",
    host="clinic.example",
    path_prefix="/",
    kind=fleet.RouteKind.ONCE,
    shares=(fleet.Share(pool="desk"),),
    time_limit_ms=10_000,
)


@pytest.mark.parametrize("grace_s", [8.0, 30.0])
def test_a_router_takes_requests_for_so_long_that_their_answers_can_end(
    make_site, monkeypatch, grace_s
):
    site = make_site(grace_s=grace_s, entry_ttl_s=5.0)
    waited_s = []
    monkeypatch.setattr(
        actors.View, "wait_for", lambda _view, _holds, timeout_s: waited_s.append(timeout_s)
    )
    site.routers[0].drain()
    assert waited_s[0] <= SERVED_SHARE * grace_s
    assert site.ask("GET", "/cancel/x").status == 503


# Whatever came while the main thread did not run was taken, and cut by the end of the grace.
def test_requests_are_refused_in_time_however_late_the_main_thread_runs(make_site, monkeypatch):
    site = make_site(grace_s=GRACE_S)
    may_go_on = threading.Event()
    monkeypatch.setattr(actors.View, "wait_for", lambda _view, _holds, _timeout_s: may_go_on.wait())
    stopping = threading.Thread(target=site.routers[0].drain)
    stopping.start()
    try:
        wait_until(lambda: site.ask("GET", "/cancel/x").status == 503, "it is refused")
    finally:
        may_go_on.set()
        stopping.join()


class SlowCaller:
    """Asks for a large answer, and takes of it when told and as much as told."""

    _PIECE_BYTES = 16_384
    _PAUSE_S = 0.01

    def __init__(self, site):
        connection = site.connect()
        connection.connect()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * self._PIECE_BYTES)
        connection.request("GET", "/cancel/x", headers=site.headers("request-1"))
        self._connection = connection
        self._response = connection.getresponse()
        self.announced_bytes = self._response.length
        self.received_bytes = 0
        self._thread = threading.Thread(target=self._read)

    def start(self):
        self._thread.start()

    def join(self):
        self._thread.join()
        self._connection.close()

    def _read(self):
        with contextlib.suppress(OSError):
            while data := self._response.read1(self._PIECE_BYTES):
                self.received_bytes += len(data)
                time.sleep(self._PAUSE_S)


@pytest.fixture
def stop_at_once(monkeypatch):
    """Have endpoints answer at length, and a planned stop take no further requests."""
    monkeypatch.setattr(forwarded, "body_of", lambda _request: bytes(LARGE_BYTES))
    monkeypatch.setattr(actors.View, "wait_for", lambda _view, _holds, _timeout_s: None)


# What waited in the router for its caller was dropped, long before the end of the grace.
@pytest.mark.usefixtures("stop_at_once")
def test_a_planned_stop_waits_for_callers_that_read_their_answers(make_site):
    site = make_site(grace_s=60.0)
    caller = SlowCaller(site)
    caller.start()
    assert site.routers[0].drain()
    site.routers[0].stop()
    caller.join()
    assert caller.received_bytes == caller.announced_bytes == LARGE_BYTES


@pytest.mark.usefixtures("stop_at_once")
def test_a_planned_stop_does_not_wait_for_callers_that_read_nothing(make_site, caplog):
    site = make_site(grace_s=600.0)
    caller = SlowCaller(site)
    assert site.routers[0].drain()
    site.routers[0].stop()
    caller.start()
    caller.join()
    assert caller.received_bytes < caller.announced_bytes
    assert events.Event.CALLER_CUT in [getattr(each, "event", None) for each in caplog.records]


class Caller:
    """Sends one request and keeps what it is told, nothing if its connection ends without."""

    def __init__(self, site, method, path, *, address=""):
        self.answer = None
        self._connection = site.connect(address)
        self._connection.request(method, path, b"save", site.headers("request-1"))
        self._thread = threading.Thread(target=self._read)
        self._thread.start()

    def join(self):
        self._thread.join()
        return self.answer

    def _read(self):
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.answer = sites.read(self._connection.getresponse())
        self._connection.close()


def stop_by_plan(daemon):
    ended = daemon.drain()
    daemon.stop()
    return ended


# Its connection was closed without an answer, though it may run only once.
@pytest.mark.parametrize("path", ["/confirm/x", "/stream/chat/x"])
def test_requests_that_outlast_the_grace_are_told_that_they_may_have_run(make_site, path):
    site = make_site(grace_s=GRACE_S)
    for each in site.endpoints:
        each.pause_s = 10 * GRACE_S
    caller = Caller(site, "POST", path)
    wait_until(site.runs, "it runs")
    assert not stop_by_plan(site.routers[0])
    answer = caller.join()
    assert answer is not None
    assert (answer.status, answer.whole) == (504, True)
    assert json.loads(answer.body)["error"]["run_state"] == "unknown"


# What either box cut at the end of its grace had no answer.
@pytest.mark.parametrize(
    "stopped", [(0,), (1,), (0, 1)], ids=["the_first_box", "the_box_behind", "both"]
)
def test_requests_by_way_of_another_box_are_told_when_either_stops(make_site, links, stopped):
    site = make_site(routers=2, dialers=links[:2], grace_s=GRACE_S)
    for each in site.routers:
        wait_until(lambda each=each: len(each._view.get().boxes) == 2, "both are known")
    for each in site.endpoints:
        each.pause_s = 10 * GRACE_S
    links[0].cut = cut_links.Cut.REFUSED
    caller = Caller(site, "POST", "/confirm/x", address=site.routers[0].caller_address)
    wait_until(site.runs, "it runs")
    with futures.ThreadPoolExecutor() as pool:
        list(pool.map(stop_by_plan, [site.routers[each] for each in stopped]))
    answer = caller.join()
    assert answer is not None
    assert (answer.status, answer.whole) == (504, True)
    assert json.loads(answer.body)["error"]["run_state"] == "unknown"


def wait_for_an_endpoint(exchange):
    """Do as a step that waits with a request until it is cancelled."""
    wait_until(lambda: exchange.token.reason is not None, "it is cancelled")
    exchange.token.check()
    raise AssertionError


# They were cut like all others, though asking again elsewhere would have been safe.
def test_requests_that_no_endpoint_has_at_the_end_of_the_grace_are_told_so():
    counters = metrics.Metrics()
    in_flight = streams.Streams(1, clocks.SystemClock(), counters)
    request = base.ForwardRequest(method="POST", target="/x", headers={}, body=b"", arrived_s=0.0)
    exchange = base.Exchange(
        request=request,
        facts=calls.CallFacts(request_id="r"),
        state=router_state.RouterState(),
        route=ROUTE,
    )
    in_flight.stop()
    with pytest.raises(errors.CroftpulleyError, match="DRAINING") as raised:
        rules.LimitTime(in_flight).handle(exchange, wait_for_an_endpoint)
    assert raised.value.run_state is codes.RunState.NOT_RUN
