"""Responses of an endpoint in trouble: what is not exactly a response is never told as one.

Callers got as complete what the standard library makes of a head that it can't read: a length that
is no number is no length, and from the first line on that is no field all others are left out. The
body then ends with the connection, with whatever came until then.
"""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from croftpulley import cancel, errors
from croftpulley.cli import ctl
from croftpulley.core import attempts
from croftpulley.endpoints import connection
from croftpulley.observe import metrics
from croftpulley.transport import links

OK = b"HTTP/1.1 200 OK\r\n"
SOUND = OK + b"X-Proof: p\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKED = SOUND + b"Transfer-Encoding: chunked\r\n\r\n"
BODY = b"whole"

SPOILT_LENGTHS = (
    b"Content-Length: 5x",
    b"Content-Length: +5",
    b"Content-Length: -5",
    b"Content-Length: 0_5",
    b"Content-Length: 0x5",
    b"Content-Length: 5.0",
    b"Content-Length: 5 5",
    b"Content-Length: 5, 5",
    b"Content-Length: 5, 3",
    b"Content-Length:",
    b"Content-Length: \xa05",
    b"Content-Length: \xb25",
    b"Content-Length: 5\x00",
    b"Content-Length: 5\x0b",
    b"Content-Length: 5\r\nContent-Length: 5",
    b"Content-Length: 5\r\nContent-Length: 3",
    b"Content-Length: 5\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: chunke",
    b"Transfer-Encoding: chunked\x0b",
    b"Transfer-Encoding: xchunked",
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding:",
)
NO_FIELDS = (
    b"garbage",
    b"Content-Length 5",
    b" X-Folded: 1",
    b"\tX-Folded: 1",
    b"\x00",
    b"HTTP/1.1 200 OK",
    b": 1",
    b"X-A: a\nX-B: b",
    b"X-A: a\rX-B: b",
    b"X-A: a\x00b",
    b"X-A: a\x1fb",
    b"X-A: a\x7fb",
)
SPOILT_NAMES = (
    b"Content-Length : 5",
    b"Content-Length\t: 5",
    b"Content -Length: 5",
    b"Content-\x01Length: 5",
    b"\x00Content-Length: 5",
    b"Content-Length\x7f: 5",
    b"Content-Length\x0b: 5",
    b"X-\xe9: 1",
    b"X-\x85: 1",
    b"X(A): 1",
    b"X,A: 1",
    b'"X-A": 1',
)
SPOILT_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 2\x0000 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 101 Switching",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.12 200 OK",
    b"HTTP/1.x 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2 200 OK",
    b"http/1.1 200 OK",
    b"XTTP/1.1 200 OK",
    b"",
)


@pytest.fixture
def peer():
    """Return a function that listens as a box does and answers requests of one client with bytes.

    It ends the connection then, or stays until the end of the test.
    """
    listeners, kept, threads = [], [], []

    def serve(listener, answers, closes):
        # The test may be over before this has begun, or have all that it wants before this ends.
        with contextlib.suppress(OSError):
            sock, _ = listener.accept()
            kept.append(sock)
            for each in answers:
                sock.recv(4096)
                sock.sendall(each)
            if closes:
                sock.close()

    def listen(*answers, closes=True):
        listeners.append(socket.create_server(("127.0.0.1", 0)))
        arguments = (listeners[-1], answers, closes)
        threads.append(threading.Thread(target=serve, args=arguments))
        threads[-1].start()
        return f"127.0.0.1:{listeners[-1].getsockname()[1]}"

    yield listen
    for each in (*listeners, *kept):
        # Some connections have ended.
        with contextlib.suppress(OSError):
            each.shutdown(socket.SHUT_RDWR)
        each.close()
    for each in threads:
        each.join()


@pytest.fixture
def exchange_with(peer):
    """Return a function that exchanges a request for given bytes with an endpoint that stays."""
    kept = []

    def exchange(data, *, closes=True):
        target = connection.Target(peer(data, closes=closes), 1.0, 0.3)
        attempt = attempts.Attempt(1, "e")
        made = connection.Exchange(
            target, attempt, cancel.CancelToken(), connection.WORKER_FAILURES
        )
        kept.append(made)
        return made

    yield exchange
    for each in reversed(kept):
        each.close()


def read_all(exchange):
    response = exchange.begin(connection.HttpRequest("GET", "/x"))
    return response.status, exchange.read_all(1000)


def assert_is_no_response(exchange):
    with pytest.raises(errors.CroftpulleyError, match="WORKER_BROKE"):
        read_all(exchange)


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("line", [*SPOILT_LENGTHS, *NO_FIELDS, *SPOILT_NAMES])
def test_a_spoilt_line_of_a_head_spoils_the_response(exchange_with, line, closes):
    for head in (SOUND + line + b"\r\n" + LENGTH, SOUND + line + b"\r\n", OK + line + b"\r\n"):
        assert_is_no_response(exchange_with(head + b"\r\n" + BODY, closes=closes))


@pytest.mark.parametrize("line", SPOILT_STATUS_LINES)
def test_a_spoilt_status_line_spoils_the_response(exchange_with, line):
    data = line + b"\r\nX-Proof: p\r\n" + LENGTH + b"\r\n" + BODY
    assert_is_no_response(exchange_with(data))


@pytest.mark.parametrize("line", [*NO_FIELDS, *SPOILT_NAMES])
def test_a_spoilt_line_of_an_interim_head_spoils_the_response(exchange_with, line):
    interim = b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n\r\n"
    assert_is_no_response(exchange_with(interim + SOUND + LENGTH + b"\r\n" + BODY))


@pytest.mark.parametrize("end", [b"\n", b"\r"])
def test_lines_with_other_ends_are_no_head(exchange_with, end):
    head = (SOUND + LENGTH + b"\r\n").replace(b"\r\n", end)
    assert_is_no_response(exchange_with(head + BODY))


def test_a_response_of_the_older_version_has_no_chunks(exchange_with):
    chunked = CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0")
    assert_is_no_response(exchange_with(chunked + b"5\r\nwhole\r\n0\r\n\r\n"))


@pytest.mark.parametrize(
    "chunks",
    [
        b"5x\r\nwhole\r\n0\r\n\r\n",
        b"+5\r\nwhole\r\n0\r\n\r\n",
        b"-5\r\nwhole\r\n0\r\n\r\n",
        b"0x5\r\nwhole\r\n0\r\n\r\n",
        b"0_5\r\nwhole\r\n0\r\n\r\n",
        b" 5\r\nwhole\r\n0\r\n\r\n",
        b"5\x00\r\nwhole\r\n0\r\n\r\n",
        b"5;a\x00\r\nwhole\r\n0\r\n\r\n",
        b"5\nwhole\r\n0\r\n\r\n",
        b"\r\nwhole\r\n0\r\n\r\n",
        b"4\r\nwhole\r\n0\r\n\r\n",
        b"5\r\nwhole0\r\n\r\n",
        b"5\r\nwhole\n\n0\r\n\r\n",
        b"5\r\nwholexx0\r\n\r\n",
        b"5\r\nwhole\r\n",
        b"5\r\nwhole\r\n0",
        b"5\r\nwhole\r\n00",
        b"5\r\nwhole\r\n0\r\n",
        b"5\r\nwhole\r\n0\r\nX-More: 1\r\n",
        b"5\r\nwhole\r\n0\r\nno field\r\n\r\n",
    ],
)
def test_spoilt_chunks_are_no_whole_body(exchange_with, chunks):
    assert_is_no_response(exchange_with(CHUNKED + chunks))


@pytest.mark.parametrize(
    "data",
    [
        SOUND + LENGTH + b"\r\n" + BODY,
        SOUND + b"content-length:5\r\n\r\n" + BODY,
        SOUND + b"Content-Length: \t 5 \t\r\n\r\n" + BODY,
        SOUND + b"Content-Length: 05\r\n\r\n" + BODY,
        SOUND + b"X-Empty:\r\nX-Bytes: \xe9\xa0\tx\r\n" + LENGTH + b"\r\n" + BODY,
        SOUND + b"X-Twice: 1\r\nX-Twice: 2\r\n" + LENGTH + b"\r\n" + BODY,
        b"HTTP/1.1 200\r\nX-Proof: p\r\n" + LENGTH + b"\r\n" + BODY,
        b"HTTP/1.1 200 \r\nX-Proof: p\r\n" + LENGTH + b"\r\n" + BODY,
        b"HTTP/1.0 200 OK\r\nX-Proof: p\r\n" + LENGTH + b"\r\n" + BODY,
        SOUND + b"Connection: close\r\n\r\n" + BODY,
        CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n",
        CHUNKED + b"05;a=1\r\nwhole\r\n000\r\nX-More: 1\r\n\r\n",
        CHUNKED.replace(b"chunked", b"Chunked") + b"1\r\nw\r\n4 \r\nhole\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + SOUND + LENGTH + b"\r\n" + BODY,
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + SOUND + LENGTH + b"\r\n" + BODY,
    ],
)
def test_a_sound_response_is_whole(exchange_with, data):
    assert read_all(exchange_with(data)) == (200, BODY)


def test_a_response_without_a_body_may_tell_a_length(exchange_with):
    exchange = exchange_with(b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\n", closes=False)
    assert read_all(exchange) == (304, b"")


# What boxes say to each other, and to operators, was read as laxly as what endpoints say.
@pytest.mark.parametrize("line", [b"Content-Length: 5x", b"Content-Length : 5", b"no field"])
def test_a_box_takes_no_spoilt_response_of_another(peer, line):
    address = peer(OK + line + b"\r\n" + LENGTH + b"\r\n" + BODY)
    link = links.Link(address, 0.5, metrics.Metrics())
    with pytest.raises(errors.CroftpulleyError, match="CONTROL_UNREACHABLE"):
        link.post("/x", b"")


def test_a_link_reads_one_sound_response_after_the_other(peer):
    sound = SOUND + LENGTH + b"\r\n" + BODY
    link = links.Link(peer(sound, sound), 0.5, metrics.Metrics())
    assert [link.post("/x", b"") for _ in range(2)] == [BODY, BODY]


def test_the_command_line_takes_no_spoilt_response(peer):
    address = peer(OK + b"Content-Length: 2x\r\n\r\n{}")
    operator = ctl.Operator((address,), None, as_json=True)
    with pytest.raises(errors.CroftpulleyError, match="CONTROL_UNREACHABLE"):
        operator.ask("GET", "/v1/status")
