"""Chunks that have come together are read together, and none is waited for."""

from __future__ import annotations

import contextlib
import socket

import exchanges
import pytest

from croftpulley import errors
from croftpulley.endpoints import connection

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 65_536
BUFFER_BYTES = 8192
"""What is read from the system at a time."""


@contextlib.contextmanager
def answered(data):
    """Give an exchange whose head has come, and the connection that has sent the rest."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        exchange = exchanges.exchange_with(listener, Answering(listener, HEAD + data))
        exchange.begin(connection.HttpRequest("GET", "/x"))
        try:
            yield exchange, exchange._dialer.peer
        finally:
            exchange.close()
            exchange._dialer.peer.close()


class Answering:
    """Connects, and sends an answer before the request has come."""

    def __init__(self, listener, data):
        self._listener = listener
        self._data = data
        self.peer = None

    def dial(self, made):
        made.connect()
        self.peer, _ = self._listener.accept()
        self.peer.sendall(self._data)


def test_many_chunks_of_one_byte_are_read_in_few_pieces():
    count = 20_000
    data = b"1\r\nm\r\n" * count + b"0\r\n\r\n"
    with answered(data) as (exchange, _):
        pieces = list(iter(lambda: exchange.read(READ_BYTES), b""))
    assert b"".join(pieces) == b"m" * count
    assert len(pieces) <= 3 * len(data) // BUFFER_BYTES


def test_chunks_that_have_come_are_read_before_the_next_is_whole():
    with answered(b"1\r\na\r\n2\r\nbc\r\n5\r\nde") as (exchange, peer):
        pieces = [exchange.read(READ_BYTES) for _ in range(2)]
        peer.sendall(b"fgh\r\n1;x=y\r\ni\r\n0\r\n\r\n")
        pieces += iter(lambda: exchange.read(READ_BYTES), b"")
    assert pieces[:2] == [b"abc", b"de"]
    assert b"".join(pieces) == b"abcdefghi"


def test_no_more_is_read_than_was_asked_for():
    with answered(b"1\r\nm\r\n" * 100 + b"0\r\n\r\n") as (exchange, _):
        pieces = list(iter(lambda: exchange.read(10), b""))
    assert max(map(len, pieces)) <= 10
    assert b"".join(pieces) == b"m" * 100


@pytest.mark.parametrize("spoilt", [b"x\r\n", b"1\r\nabc\r\n", b"1\r\na\n", b"+1\r\na\r\n"])
def test_what_is_no_chunk_is_an_error_after_the_chunks_before_it(spoilt):
    with answered(b"1\r\na\r\n1\r\nb\r\n" + spoilt + b"0\r\n\r\n") as (exchange, _):
        assert exchange.read(READ_BYTES).startswith(b"ab")
        with pytest.raises(errors.CroftpulleyError):
            list(iter(lambda: exchange.read(READ_BYTES), b""))
