from __future__ import annotations

import os
import socket

import pytest

from soak import kernel_sockets


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as made:
        yield made


def port_of(sock):
    return sock.getsockname()[1]


WAYS = [kernel_sockets._ask, kernel_sockets._look_up]


@pytest.mark.parametrize("look", WAYS)
def test_the_socket_that_connects_is_found(listener, look):
    with socket.create_connection(listener.getsockname()) as client:
        inode = look(port_of(client), port_of(listener))
        assert os.readlink(f"/proc/self/fd/{client.fileno()}") == f"socket:[{inode}]"


@pytest.mark.parametrize("look", WAYS)
def test_one_that_is_not_there_is_not_found(listener, look):
    with socket.create_connection(listener.getsockname()) as client:
        assert look(port_of(listener), 1) == 0
        assert look(1, port_of(client)) == 0


@pytest.mark.parametrize("look", WAYS)
def test_one_that_was_closed_belongs_to_nobody(listener, look):
    with socket.create_connection(listener.getsockname()) as client:
        ports = port_of(client), port_of(listener)
    accepted, _ = listener.accept()
    accepted.close()
    assert look(*ports) == 0


def test_a_kernel_that_cannot_be_asked_is_read_instead(listener, monkeypatch):
    def refuse(_port, _listening_port):
        raise OSError

    with socket.create_connection(listener.getsockname()) as client:
        ports = port_of(client), port_of(listener)
        found = kernel_sockets.socket_between(*ports)
        monkeypatch.setattr(kernel_sockets, "_ask", refuse)
        assert kernel_sockets.socket_between(*ports) == found != ""
