"""Callers who read slowly, or not at all: what a box holds for them, and for how long."""

from __future__ import annotations

import http.client
import socket
import threading
import time

import pytest

import site_of_routers as sites
from conftest import wait_until
from croftpulley import codes
from croftpulley.http import server, wsgi
from croftpulley.settings import schema

CHUNK = b"x" * 16_384
UNREAD_BYTES = 65_536
REQUEST = b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"


class Endless:
    """An answer without an end; ``ended`` is set once nobody asks for more of it."""

    def __init__(self):
        self.made_bytes = 0
        self.ended = threading.Event()

    def chunks(self):
        try:
            while True:
                self.made_bytes += len(CHUNK)
                yield CHUNK
        finally:
            self.ended.set()


@pytest.fixture
def endless():
    return Endless()


@pytest.fixture
def http_server(endless):
    def answer(request):
        if request.path == "/endless":
            return wsgi.Response(200, "text/plain", endless.chunks())
        return wsgi.Response(200, "text/plain", b"short")

    limits = schema.HttpLimits(unread_s=1, unread_size_bytes=UNREAD_BYTES)
    one = server.HttpServer(wsgi.Application(answer, limits.header_count), "127.0.0.1:0", 2, limits)
    one.start()
    yield one
    one.stop()


def connect(address, receive_bytes=4096):
    """Connect as a caller whose system keeps little for it."""
    host, _, port = address.rpartition(":")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    caller.settimeout(20)
    caller.connect((host, int(port)))
    return caller


def test_a_caller_who_never_reads_is_cut_and_its_answer_ended(http_server, endless):
    with connect(http_server.address) as caller:
        caller.sendall(REQUEST % b"endless")
        wait_until(endless.ended.is_set, "nobody works on for it")
        wait_until(lambda: not http_server.unread_bytes, "nothing is held for it")


def test_no_more_is_held_for_an_answer_than_is_allowed(http_server, endless):
    with connect(http_server.address) as caller:
        caller.sendall(REQUEST % b"endless")
        wait_until(lambda: http_server.unread_bytes, "it waits for its caller")
        assert http_server.unread_bytes <= UNREAD_BYTES + len(CHUNK)
        made_bytes = endless.made_bytes
        time.sleep(0.1)
        assert endless.made_bytes == made_bytes


def test_a_caller_who_reads_slowly_is_not_cut(http_server, endless):
    began_s = time.monotonic()
    with connect(http_server.address) as caller:
        caller.sendall(REQUEST % b"endless")
        # Longer than a caller may take nothing, and than its answer would be looked at.
        while time.monotonic() < began_s + 3.0:
            assert caller.recv(32_768)
            time.sleep(0.01)
        assert not endless.ended.is_set()


def test_others_are_served_beside_callers_who_do_not_read(http_server):
    with connect(http_server.address) as idle:
        idle.sendall(REQUEST % b"endless")
        wait_until(lambda: http_server.unread_bytes, "it waits for its caller")
        host, _, port = http_server.address.rpartition(":")
        other = http.client.HTTPConnection(host, int(port), timeout=20)
        other.request("GET", "/short")
        assert other.getresponse().read() == b"short"
        other.close()


def test_a_box_that_holds_too_much_refuses_and_serves_again_later(make_site):
    limits = schema.HttpLimits(unread_total_bytes=65_536)
    site = make_site(routers=1, http=limits, **sites.default_terms())
    caller_http = site.routers[0]._caller_http
    held = [65_537]
    caller_http._end_idle = None
    caller_http._server.maintenance = lambda now_s: setattr(caller_http, "_unread_bytes", held[0])
    wait_until(lambda: caller_http.unread_bytes == held[0], "it holds too much")
    refused = site.ask("POST", "/confirm/x", body=b"", request_id="full")
    assert refused.status == 503
    assert refused.headers["x-result-code"] == str(int(codes.ResultCode.BOX_FULL))
    assert site.runs() == []
    held[0] = 0
    wait_until(lambda: not caller_http.unread_bytes, "it holds nothing")
    assert site.ask("POST", "/confirm/x", body=b"", request_id="free").status == 200
