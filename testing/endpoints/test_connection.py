"""What becomes of sent data when an exchange fails, and which end of an answer proves it whole."""

from __future__ import annotations

import contextlib
import gc
import socket
import threading
import time
import weakref

import pytest

from croftpulley import cancel, codes, errors
from croftpulley.core import attempts, membership
from croftpulley.endpoints import connection
from croftpulley.forwarding import sender

SILENCE_S = 0.2


@pytest.fixture
def listener():
    """Return a listening socket whose endpoint never responds."""
    with socket.create_server(("127.0.0.1", 0)) as made:
        yield made


def address_of(listener):
    return f"127.0.0.1:{listener.getsockname()[1]}"


def exchange_with(listener, arrival_limit_s=None):
    target = connection.Target(address_of(listener), 1.0, SILENCE_S, arrival_limit_s)
    attempt = attempts.Attempt(1, "e")
    return connection.Exchange(target, attempt, cancel.CancelToken(), connection.WORKER_FAILURES)


def read_to_the_end(sock):
    while sock.recv(4096):
        pass


def test_the_ack_timeout_is_set_before_the_first_byte_is_sent(listener):
    exchange = exchange_with(listener, arrival_limit_s=1.5)
    seen_ms = []

    def on_leaving():
        sock = exchange._connection.sock
        seen_ms.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))

    request = connection.HttpRequest("GET", "/x", on_send=on_leaving)
    with pytest.raises(errors.CroftpulleyError):
        exchange.begin(request)
    exchange.close()
    # Called just before the first byte is sent, and again after the last one.
    assert seen_ms == [1500, 1500]


def test_nothing_is_sent_if_the_callback_before_sending_raises(listener):
    def forbid():
        raise errors.CroftpulleyError(codes.ResultCode.DECLINED)

    exchange = exchange_with(listener)
    request = connection.HttpRequest("POST", "/x", b"body", on_send=forbid)
    with pytest.raises(errors.CroftpulleyError, match="DECLINED"):
        exchange.begin(request)
    assert exchange._attempt.phase is attempts.Phase.UNSENT
    taken, _ = listener.accept()
    with taken:
        taken.setblocking(False)
        with pytest.raises(BlockingIOError):
            taken.recv(4096)
    exchange.close()


def test_an_attempt_without_a_response_resets_the_connection(listener):
    order = sender.OutgoingRequest(
        endpoint=membership.Endpoint(
            "e", membership.EndpointKind.WORKER, "desk", address_of(listener), "hall-a", "e"
        ),
        method="GET",
        target="/x",
        headers={},
        body=b"",
    )
    with pytest.raises(errors.CroftpulleyError):
        sender.DirectSender(1.0, SILENCE_S).send(
            order, attempts.Attempt(1, "e"), cancel.CancelToken()
        )
    taken, _ = listener.accept()
    with taken, pytest.raises(ConnectionResetError):
        read_to_the_end(taken)


UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.fixture
def answering(listener):
    """Return a function that has the endpoint send bytes once, and then close or wait."""
    kept, threads = [], []

    def serve(data, closes):
        # The test may be over before this has begun.
        with contextlib.suppress(OSError):
            sock, _ = listener.accept()
            kept.append(sock)
            sock.recv(4096)
            sock.sendall(data)
            if closes:
                sock.shutdown(socket.SHUT_WR)

    def answer(data, *, closes):
        threads.append(threading.Thread(target=serve, args=(data, closes)))
        threads[-1].start()

    yield answer
    listener.shutdown(socket.SHUT_RDWR)
    for each in kept:
        each.close()
    for each in threads:
        each.join()


def test_an_answer_without_a_length_is_whole_at_the_end_of_its_connection(listener, answering):
    answering(UNFRAMED_HEAD + b"whole", closes=True)
    exchange = exchange_with(listener)
    exchange.begin(connection.HttpRequest("GET", "/x"))
    assert exchange.read(100) == b"whole"
    assert exchange.read(100) == b""
    exchange.close()


# An answer whose end is that of its connection was told as whole after a cancellation.
def test_an_answer_without_a_length_is_not_whole_once_it_is_cancelled(listener, answering):
    answering(UNFRAMED_HEAD + b"part", closes=False)
    exchange = exchange_with(listener)
    exchange.begin(connection.HttpRequest("GET", "/x"))
    assert exchange.read(100) == b"part"
    exchange._token.cancel(codes.ResultCode.DEADLINE_PASSED)
    with pytest.raises(errors.CroftpulleyError, match="DEADLINE_PASSED"):
        exchange.read(100)
    assert exchange._attempt.phase is attempts.Phase.ANSWERING
    exchange.close()


# The same after the time limit of a read, which gives no data either.
def test_an_answer_without_a_length_is_not_whole_once_nothing_comes(listener, answering):
    answering(UNFRAMED_HEAD + b"part", closes=False)
    exchange = exchange_with(listener)
    exchange.begin(connection.HttpRequest("GET", "/x"))
    assert exchange.read(100) == b"part"
    with pytest.raises(errors.CroftpulleyError, match="WORKER_BROKE"):
        exchange.read(100)
    exchange.close()


def test_a_body_read_in_one_call_is_not_whole_once_nothing_comes(listener, answering):
    answering(UNFRAMED_HEAD + b"part", closes=False)
    target = connection.Target(address_of(listener), 1.0, SILENCE_S)
    with pytest.raises(errors.CroftpulleyError, match="WORKER_BROKE"):
        connection.send_and_read(
            target, connection.HttpRequest("GET", "/x"), connection.WORKER_FAILURES
        )


# A head that broke off was taken for a complete one, and its answer for an empty success.
@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Proof: p\r\n",
        b"HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Le",
        b"HTTP/1.1 100 Continue\r\n",
    ],
)
def test_a_head_that_breaks_off_is_no_answer(listener, answering, head, closes):
    answering(head, closes=closes)
    exchange = exchange_with(listener)
    with pytest.raises(errors.CroftpulleyError, match="WORKER_BROKE"):
        exchange.begin(connection.HttpRequest("GET", "/x"))
    exchange.close()


def endless(listener, head, unit, pause_s):
    """Have the endpoint send a head and then bytes until the other side closes."""

    def serve():
        sock, _ = listener.accept()
        with sock:
            sock.recv(4096)
            try:
                sock.sendall(head)
                while True:
                    time.sleep(pause_s)
                    sock.sendall(unit if pause_s else unit * 10_000)
            except OSError:
                # The other side has closed, which ends the test.
                return

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    return thread


# A time limit between two bytes never ends a response whose bytes keep coming.
@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize(
    ("head", "unit"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: more\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-More: ", b"more"),
        (UNFRAMED_HEAD, b"more"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"4\r\nmore\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: more\r\n"),
    ],
)
def test_bytes_without_end_are_given_up(listener, head, unit, pause_s):
    thread = endless(listener, head, unit, pause_s)
    target = connection.Target(address_of(listener), 1.0, SILENCE_S)
    with pytest.raises(errors.CroftpulleyError, match="WORKER_BROKE"):
        connection.send_and_read(
            target, connection.HttpRequest("GET", "/x"), connection.WORKER_FAILURES
        )
    thread.join(20.0)
    assert not thread.is_alive()


def test_an_exchange_that_is_closed_is_freed_at_once(listener, answering):
    answering(UNFRAMED_HEAD + b"whole", closes=True)
    exchange = exchange_with(listener)
    exchange.begin(connection.HttpRequest("GET", "/x"))
    exchange.read(100)
    exchange.close()
    freed = weakref.ref(exchange)
    gc.disable()
    try:
        del exchange
        assert freed() is None
    finally:
        gc.enable()
