"""Whether data sent to an endpoint can still be delivered after the exchange has failed."""

from __future__ import annotations

import socket

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
