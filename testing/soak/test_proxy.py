"""The proxies slow down what they are asked to, and nothing else."""

from __future__ import annotations

import os
import socket
import threading
import time

import pytest

from soak import kernel_sockets, proxy

SIZE_BYTES = 50_000
RATE_BYTES_PER_S = 200_000.0


class Sink:
    """A server that reads to the end of two connections and notes when the last one ended."""

    def __init__(self) -> None:
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listening.getsockname()[1]}"
        self.received_bytes = 0

    def read(self) -> None:
        """Read one connection to its end."""
        with self._listening.accept()[0] as connection:
            while data := connection.recv(65_536):
                self.received_bytes += len(data)

    def close(self) -> None:
        """Stop listening."""
        self._listening.close()


@pytest.fixture
def sink():
    made = Sink()
    yield made
    made.close()


@pytest.fixture
def loop():
    made = proxy.Loop()
    yield made
    made.stop()


def connected(address):
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


def time_for_two(way, sink):
    began_s = time.monotonic()
    readers = [threading.Thread(target=sink.read) for _ in range(2)]
    for each in readers:
        each.start()
        with connected(way.address) as connection:
            connection.sendall(bytes(SIZE_BYTES))
    for each in readers:
        each.join()
    assert sink.received_bytes == 2 * SIZE_BYTES
    return time.monotonic() - began_s


def test_connections_of_one_process_share_its_link(loop, sink):
    lane = proxy.Lane(RATE_BYTES_PER_S)
    way = proxy.Proxy(loop, sink.address, lane_of=lambda _port, _listening_port: lane)
    assert time_for_two(way, sink) >= 2 * SIZE_BYTES / RATE_BYTES_PER_S


def test_what_goes_to_a_process_is_not_slowed_by_its_own_link(loop, sink):
    way = proxy.Proxy(loop, sink.address, lane=proxy.Lane(RATE_BYTES_PER_S))
    assert time_for_two(way, sink) < 2 * SIZE_BYTES / RATE_BYTES_PER_S


def test_the_socket_of_a_connection_is_found_by_its_ports(sink):
    with connected(sink.address) as connection:
        listening_port = int(sink.address.rpartition(":")[2])
        name = kernel_sockets.socket_between(connection.getsockname()[1], listening_port)
        assert name == os.readlink(f"/proc/self/fd/{connection.fileno()}")
