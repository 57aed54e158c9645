"""Answers without a length that this router cuts: callers never get a part of one as a whole."""

from __future__ import annotations

import copy
import socket

import pytest

import cut_links
from conftest import wait_until
from croftpulley.fakes import faults
from site_of_routers import DOCUMENT

Fault = faults.Fault
TIMEOUT_MS = 400
PIECE_PAUSE_S = 0.15
"""An answer has several pieces, so that the route's timeout comes between two of them."""
PLAIN_PATHS = ["/confirm/x", "/cancel/x"]
STREAM_PATHS = ["/stream/chat/x", "/stream/note/x"]


@pytest.fixture
def make_slow_site(make_site):
    """Return a function that makes a site whose routes have a short timeout."""

    def make(**wanted):
        site = make_site(engines=1, workers=1, **wanted)
        document = copy.deepcopy(DOCUMENT)
        document["version"] = 2
        for route in document["routes"]:
            route["timeoutMs"] = TIMEOUT_MS
        wait_until(lambda: site.operator.submit(document).status == 200, "it is accepted")
        return site

    return make


def read_to_the_end(sock):
    while sock.recv(65_536):
        pass


# The router's own cut at the timeout was read as the answer's end, and a part told as a success.
@pytest.mark.parametrize("path", PLAIN_PATHS)
def test_a_plain_answer_cut_at_the_timeout_is_told_as_a_failure(make_slow_site, path):
    site = make_slow_site()
    site.workers[0].pause_s = PIECE_PAUSE_S
    site.workers[0].faults.add(Fault.UNFRAMED_SLOWLY)
    answer = site.ask("POST", path, body=b"x" * 100)
    assert answer.status == 504


@pytest.mark.parametrize("path", STREAM_PATHS)
def test_a_stream_cut_at_the_timeout_does_not_end_as_complete(make_slow_site, path):
    site = make_slow_site()
    site.engines[0].pause_s = PIECE_PAUSE_S
    site.engines[0].faults.add(Fault.UNFRAMED)
    answer = site.ask("POST", path, body=b"")
    assert (answer.status, answer.whole) == (200, False)
    assert answer.body.count(b"data:") >= 1


# A read that waits for too long gives no data either.
@pytest.mark.parametrize("path", PLAIN_PATHS)
def test_a_plain_answer_that_falls_silent_is_told_as_a_failure(make_site, path):
    site = make_site(engines=1, workers=1, silence_s=0.2)
    site.workers[0].faults.add(Fault.UNFRAMED_SILENT)
    answer = site.ask("POST", path, body=b"x" * 100)
    assert answer.status == 502


@pytest.mark.parametrize("path", STREAM_PATHS)
def test_a_stream_that_falls_silent_does_not_end_as_complete(make_site, path):
    site = make_site(engines=1, workers=1, silence_s=0.2)
    site.engines[0].faults.add(Fault.UNFRAMED_SILENT)
    answer = site.ask("POST", path, body=b"")
    assert (answer.status, answer.whole) == (200, False)


# To a caller of HTTP/1.0 only the connection's end ends a stream, so a cut must be a reset.
def test_a_stream_cut_at_the_timeout_is_reset_for_a_caller_of_http_1_0(make_slow_site):
    site = make_slow_site()
    site.engines[0].pause_s = PIECE_PAUSE_S
    site.engines[0].faults.add(Fault.UNFRAMED)
    head = "".join(f"{name}: {value}\r\n" for name, value in site.headers("r-1").items())
    link = site.connect()
    link.connect()
    link.sock.sendall(f"POST /stream/chat/x HTTP/1.0\r\n{head}\r\n".encode())
    with pytest.raises(ConnectionResetError):
        read_to_the_end(link.sock)
    link.close()


def test_a_request_that_may_be_repeated_is_served_elsewhere_after_a_cut(make_site):
    site = make_site(engines=1, workers=2, silence_s=0.2)
    site.workers[0].faults.add(*[Fault.UNFRAMED_SILENT] * 4)
    answers = [
        site.ask("POST", "/cancel/x", body=b"x" * 100, request_id=f"r-{number}")
        for number in range(4)
    ]
    assert {each.status for each in answers} == {200}
    assert {each.body for each in answers} == {b"ran POST /cancel/x " + b"x" * 100}


@pytest.mark.parametrize("path", PLAIN_PATHS + STREAM_PATHS)
def test_a_cut_at_another_box_is_told_as_a_cut_over_the_hop(make_slow_site, links, path):
    site = make_slow_site(routers=3, dialers=links)
    for router in site.routers:
        wait_until(lambda router=router: len(router._view.get().boxes) == 3, "all are known")
    links[0].cut = cut_links.Cut.REFUSED
    is_stream = path in STREAM_PATHS
    endpoint = site.engines[0] if is_stream else site.workers[0]
    endpoint.pause_s = PIECE_PAUSE_S
    endpoint.faults.add(Fault.UNFRAMED if is_stream else Fault.UNFRAMED_SLOWLY)
    answer = site.ask(
        "POST", path, address=site.routers[0].caller_address, body=b"" if is_stream else b"x" * 100
    )
    assert len(endpoint.runs) == 1
    if is_stream:
        assert (answer.status, answer.whole) == (200, False)
    else:
        assert answer.status in (502, 504)


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 100\r\n\r\npart",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n9\r\npart",
    ],
)
def test_a_request_whose_body_ends_early_is_not_run(make_site, body):
    site = make_site(engines=1, workers=1)
    head = "".join(f"{name}: {value}\r\n" for name, value in site.headers("r-1").items())
    link = site.connect()
    link.connect()
    link.sock.sendall(f"POST /cancel/x HTTP/1.1\r\n{head}".encode() + body)
    link.sock.shutdown(socket.SHUT_WR)
    read_to_the_end(link.sock)
    link.close()
    assert site.ask("GET", "/cancel/x", request_id="r-2").status == 200
    (run,) = site.workers[0].runs
    assert run.method == "GET"
