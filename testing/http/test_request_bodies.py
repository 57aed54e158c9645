"""Bodies of requests that are large, come in pieces or never come: what is read, and refused."""

from __future__ import annotations

import http.client
import socket

import pytest

from conftest import wait_until
from croftpulley.core import request_room
from croftpulley.http import channel, server, wsgi
from croftpulley.settings import schema

LIMIT_BYTES = 200_000
ROOM_BYTES = 1_048_576
HEADER_COUNT = 10
POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


class Served:
    """A server that tells how many bytes it got, and clients of it."""

    def __init__(self):
        limits = schema.HttpLimits(
            body_size_bytes=LIMIT_BYTES, header_count=HEADER_COUNT, idle_connection_s=600
        )
        self.room = request_room.RequestRoom(ROOM_BYTES)
        self.bodies = []
        application = wsgi.Application(self._answer, limits.header_count)
        self.server = server.HttpServer(application, "127.0.0.1:0", 4, limits, room=self.room)
        self.server.start()
        self._clients = []

    def _answer(self, request):
        if request.path == "/raises":
            raise RuntimeError("for a test")
        self.bodies.append(request.body)
        return wsgi.Response(200, "text/plain", b"%d" % len(request.body))

    def connect(self):
        host, _, port = self.server.address.rpartition(":")
        client = socket.create_connection((host, int(port)), timeout=20)
        self._clients.append(client)
        return client

    def send(self, data):
        client = self.connect()
        client.sendall(data)
        return client

    def ask(self, data):
        return read_answer(self.send(data))

    def keeps(self, client):
        channels = list(self.server._server.active_channels.values())
        return client.getsockname() in [each.addr for each in channels]

    def stop(self):
        for each in self._clients:
            each.close()
        self.server.stop()


def read_answer(client):
    response = http.client.HTTPResponse(client)
    response.begin()
    return response.status, response.headers, response.read()


@pytest.fixture
def served():
    made = Served()
    yield made
    made.stop()


def chunks(body, size_bytes):
    pieces = (body[start : start + size_bytes] for start in range(0, len(body), size_bytes))
    return b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in pieces) + b"0\r\n\r\n"


def short_of_its_end(size_bytes):
    return POST + b"Content-Length: %d\r\n\r\n" % size_bytes + b"b" * (size_bytes - 1)


# What framed the chunks counted against the limit on bodies: this got a 413.
@pytest.mark.parametrize("size_bytes", [1, 2, 100, LIMIT_BYTES])
def test_a_body_of_the_largest_legal_size_may_come_in_chunks_of_any_size(served, size_bytes):
    body = bytes(range(250)) * (LIMIT_BYTES // 250)
    status, _, answer = served.ask(CHUNKED + chunks(body, size_bytes))
    assert (status, answer) == (200, b"%d" % LIMIT_BYTES)
    assert served.bodies == [body]


@pytest.mark.parametrize("size_bytes", [1, 100, LIMIT_BYTES + 1])
def test_a_body_beyond_the_limit_in_chunks_is_refused(served, size_bytes):
    status, headers, _ = served.ask(CHUNKED + chunks(b"b" * (LIMIT_BYTES + 1), size_bytes))
    assert (status, headers["X-Run-State"]) == (413, "not_run")
    assert served.bodies == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"1;" + b"a" * 2000, 400),
        (b"0" * 2000, 400),
        (b"1\r\nb\r\n0\r\n" + b"X-More: more\r\n" * 4000, 431),
        (b"1;" + b"a" * 900 + b"\r\nb\r\n", 413),
    ],
    ids=["line", "size", "trailers", "framing"],
)
def test_what_frames_chunks_has_limits_of_its_own(served, data, status):
    client = served.send(CHUNKED)
    try:
        # The last of the cases is refused by all of its chunks together.
        for _ in range(10 * LIMIT_BYTES // len(data) if status == 413 else 1):
            client.sendall(data)
    except ConnectionError:
        # It is refused while it is still sent.
        pass
    assert read_answer(client)[0] == status
    assert served.bodies == []


def test_a_request_that_stops_short_gives_way_to_others(served):
    staying = [served.send(short_of_its_end(LIMIT_BYTES)) for _ in range(20)]
    answers = [read_answer(client)[0] for client in staying[:4]]
    assert answers == [503] * 4
    assert served.ask(POST + b"Content-Length: 8\r\n\r\nordinary")[0] == 200


def test_a_request_that_gives_way_is_told_so_and_when_to_come_back(served):
    staying = [served.send(short_of_its_end(LIMIT_BYTES)) for _ in range(20)]
    status, headers, body = read_answer(staying[0])
    assert (status, headers["X-Run-State"]) == (503, "not_run")
    assert int(headers["Retry-After"]) >= 1
    assert b"box_full" in body
    assert served.bodies == []


def test_the_memory_of_requests_that_are_over_is_given_back(served):
    staying = [served.send(short_of_its_end(LIMIT_BYTES)) for _ in range(3)]
    wait_until(lambda: served.room.held_bytes > 3 * LIMIT_BYTES - 10, "all is read")
    staying[0].close()
    staying[1].sendall(b"b")
    assert read_answer(staying[1])[0] == 200
    assert served.ask(POST + b"Content-Length: 999999\r\n\r\n")[0] == 413
    wait_until(lambda: served.room.held_bytes < LIMIT_BYTES + 100, "it is given back")


def test_a_request_with_far_too_many_header_lines_is_refused_before_its_body(served):
    lines = b"".join(b"X-%d: 1\r\n" % number for number in range(50))
    status, headers, body = served.ask(POST + lines + b"Content-Length: 5\r\n\r\n")
    assert (status, headers["X-Run-State"]) == (431, "not_run")
    assert b"too_many_headers" in body


# The connection was closed with unread data, which resets it: the client never saw the refusal.
def test_a_client_that_goes_on_sending_gets_its_refusal(served):
    client = served.send(POST + b"Content-Length: 99999999\r\n\r\n")
    wait_until(lambda: bool(client.recv(1, socket.MSG_PEEK)), "it is refused")
    client.sendall(b"b" * 100_000)
    assert read_answer(client)[0] == 413


# It was kept for seconds, a descriptor more for each client of a crowd.
@pytest.mark.parametrize("size_bytes", [LIMIT_BYTES, LIMIT_BYTES + 1])
def test_a_refused_client_is_not_kept_once_its_whole_request_has_come(
    served, monkeypatch, size_bytes
):
    monkeypatch.setattr(channel, "_LINGER_S", 600.0)
    # Of the legal ones the first give way, before their last byte.
    client, *_ = [served.send(short_of_its_end(size_bytes)) for _ in range(20)]
    status, headers, _ = read_answer(client)
    assert (status, headers["X-Run-State"]) == (
        503 if size_bytes == LIMIT_BYTES else 413,
        "not_run",
    )
    assert served.keeps(client)
    client.sendall(b"b")
    wait_until(lambda: not served.keeps(client), "it is not kept")
    assert served.bodies == []


def test_a_client_that_sends_more_than_its_refused_request_gets_its_refusal(served):
    body = b"b" * (LIMIT_BYTES + 1)
    data = POST + b"Content-Length: %d\r\n\r\n" % len(body) + body + b"more"
    assert served.ask(data)[0] == 413
    assert served.bodies == []


def test_what_follows_a_refused_request_is_no_request(served):
    follows = POST + b"Content-Length: 5\r\n\r\nhello"
    client = served.send(POST + b"Content-Length: 99999999\r\n\r\n" + follows)
    assert read_answer(client)[0] == 413
    client.sendall(follows)
    assert client.recv(1) == b""
    assert served.bodies == []


# It was asked for the whole of a body that was then refused.
def test_a_client_that_asks_first_is_refused_at_once(served):
    data = POST + b"Content-Length: 99999999\r\nExpect: 100-continue\r\n\r\n"
    with served.send(data) as client:
        assert client.recv(12) == b"HTTP/1.1 413"


# It waited for a body that never came, and took the next request for a part of this one.
def test_a_client_that_asks_first_and_has_no_body_is_answered(served):
    request = POST + b"Expect: 100-continue\r\n\r\n"
    assert served.ask(request)[0] == 200


def test_a_client_that_asks_first_is_told_to_go_on(served):
    client = served.send(POST + b"Content-Length: 5\r\nExpect: 100-continue\r\n\r\n")
    asked = b"HTTP/1.1 100 Continue\r\n\r\n"
    assert client.recv(len(asked), socket.MSG_WAITALL) == asked
    client.sendall(b"hello")
    assert read_answer(client)[2] == b"5"


def test_a_connection_beyond_the_limit_takes_the_place_of_one_that_rests(served):
    served.server._server.adj.connection_limit = 10
    for _ in range(30):
        served.send(short_of_its_end(100))
    assert served.ask(POST + b"Content-Length: 5\r\n\r\nhello")[0] == 200


def test_no_memory_is_counted_once_every_request_is_over(served):
    request = POST + b"Content-Length: 5\r\n\r\nhello"
    ways = (
        request,
        request * 2,
        request + short_of_its_end(LIMIT_BYTES),
        CHUNKED + chunks(b"hello", 1),
        CHUNKED + b"5\r\nhell",
        CHUNKED + b"no size\r\n",
        POST + b"Content-Length: 99999999\r\n\r\nhello",
        POST + b"X-Big: " + b"a" * 100_000,
        POST,
        b"no request\r\n\r\n",
        short_of_its_end(LIMIT_BYTES),
        short_of_its_end(100),
        request.replace(b"POST /", b"POST /raises"),
    )
    for number in range(25 * len(ways)):
        client = served.connect()
        try:
            client.sendall(ways[number % len(ways)])
            if number % 2:
                client.settimeout(0.1)
                client.recv(10)
        except (ConnectionError, TimeoutError):
            # It was refused while it was still sent, or waits for its rest.
            pass
        finally:
            client.close()
    wait_until(lambda: served.room.held_bytes == 0, "all of it is given back")
    assert served.ask(request)[0] == 200


INNER = b"POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"


# The body of the first request was taken for another one, or its target was passed on as it came.
@pytest.mark.parametrize(
    "head",
    [
        POST.replace(b"1.1", b"1.0") + b"Transfer-Encoding: chunked\r\n",
        POST.replace(b"1.1", b"1.2") + b"Transfer-Encoding: chunked\r\n",
        POST.replace(b"1.1", b"2.0") + b"Content-Length: 0\r\n",
        POST.replace(b" HTTP/1.1", b"") + b"Content-Length: 0\r\n",
        POST + b"Transfer-Encoding:\r\n",
        POST + b"Transfer-Encoding: ,\r\n",
        POST + b"Transfer-Encoding: chunked, chunked\r\n",
        POST + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        POST + b"Content-Length: " + b"9" * 5000 + b"\r\n",
        POST + b"Content-Length: " + b"0" * 5000 + b"\r\n",
        POST.replace(b"/ ", b"/a\x01b ") + b"Content-Length: 0\r\n",
        POST.replace(b"/ ", b"/a\tb ") + b"Content-Length: 0\r\n",
        POST.replace(b"/ ", b"/a\x7fb ") + b"Content-Length: 0\r\n",
    ],
)
def test_a_head_that_could_be_read_in_two_ways_is_refused(served, head):
    client = served.send(
        head.replace(b"\r\nHost", b"\r\nConnection: keep-alive\r\nHost") + b"\r\n" + INNER
    )
    status, headers, _ = read_answer(client)
    assert (status, headers["X-Run-State"]) == (400, "not_run")
    assert client.recv(1) == b""
    assert served.bodies == []


# Each was counted for good, with its connection: the library forgets an empty request unclosed.
@pytest.mark.parametrize("beginning", [b"\r\n", b" ", b" " * 8000])
def test_blank_lines_in_pieces_leave_nothing_behind(served, beginning):
    client = served.connect()
    for _ in range(10):
        client.sendall(beginning)
        client.sendall(b"\r\n\r\n")
    client.sendall(POST + b"Content-Length: 5\r\n\r\nhello")
    assert read_answer(client)[0] == 200
    client.close()
    wait_until(lambda: served.room.held_bytes == 0, "nothing is counted")


def test_blank_lines_before_requests_are_no_requests(served, monkeypatch):
    made = []
    make = channel.Channel.parser_class
    monkeypatch.setattr(
        channel.Channel, "parser_class", lambda *arguments: made.append(1) or make(*arguments)
    )
    request = POST + b"Content-Length: 5\r\n\r\nhello"
    assert served.ask(b"\r\n" * 10_000 + request)[0] == 200
    # Two thousand for each read of 8,192 bytes before.
    assert len(made) <= 20_000 // 100


def test_blank_lines_do_not_keep_a_connection(served):
    served.server._idle_s = 1.0
    client = served.connect()
    wait_until(lambda: not sends(client, b"\r\n"), "the connection is closed")


def sends(client, data):
    """Send bytes; false once the connection is closed."""
    try:
        client.sendall(data)
    except OSError:
        return False
    return True
