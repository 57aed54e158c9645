"""What the system receives for a connection before it is read counts as the process's memory."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
import threading

import exchanges
import pytest

from conftest import wait_until
from croftpulley.endpoints import connection, sockets
from croftpulley.http import server, wsgi
from croftpulley.settings import schema

READ_FIRST_BYTES = 50_000_000
"""Read as fast as they come, so that the system would receive more ahead."""
BLOCK = bytes(262_144)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n"
MAX_UNREAD_BYTES = 2 * sockets.RECEIVE_BUFFER_BYTES


class Flood:
    """Sends without end until its peer closes."""

    def __init__(self, sock, head):
        self.sock = sock
        self._head = head
        self.sent_bytes = 0
        self._seen_bytes = -1
        self._thread = threading.Thread(target=self._send)
        self._thread.start()

    def _send(self):
        with contextlib.suppress(OSError):
            self.sock.sendall(self._head)
            while True:
                self.sent_bytes += self.sock.send(BLOCK)

    def has_stalled(self):
        """Tell whether nothing was sent since the last look."""
        seen_bytes, self._seen_bytes = self._seen_bytes, self.sent_bytes
        return seen_bytes == self.sent_bytes

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self.sock.close()


def unread_bytes(sock):
    """Return what the system holds for a socket."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, bytes(4)))[0]


@pytest.fixture
def flooded_exchange():
    """Return an exchange that has read much of a response, and what sends that."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        exchange = exchanges.exchange_with(listener)
        floods = []
        accept = threading.Thread(target=lambda: floods.append(Flood(listener.accept()[0], HEAD)))
        accept.start()
        exchange.begin(connection.HttpRequest("GET", "/x"))
        accept.join()
        size_bytes = 0
        while size_bytes < READ_FIRST_BYTES:
            size_bytes += len(exchange.read(65_536))
        yield exchange, floods[0]
        exchange.close()
        floods[0].close()


def test_a_response_that_is_not_read_any_more_is_bounded(flooded_exchange):
    exchange, flood = flooded_exchange
    wait_until(flood.has_stalled, "its endpoint waits")
    assert 0 < unread_bytes(exchange._sock) <= MAX_UNREAD_BYTES


def test_connections_of_callers_are_bounded_too():
    made = server.HttpServer(
        wsgi.Application(lambda _request: wsgi.Response(200), 10),
        "127.0.0.1:0",
        2,
        schema.HttpLimits(),
    )
    made.start()
    host, _, port = made.address.rpartition(":")
    with socket.create_connection((host, int(port))):
        channels = made._server.active_channels
        wait_until(lambda: len(channels) == 1, "the connection is accepted")
        (channel,) = channels.values()
        kept_bytes = channel.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    made.stop()
    assert kept_bytes == MAX_UNREAD_BYTES
