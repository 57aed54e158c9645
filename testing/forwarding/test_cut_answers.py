"""Answers without a length that this router cuts: callers never get a part of one as a whole."""

from __future__ import annotations

import copy

import pytest

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
