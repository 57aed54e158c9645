"""Connecting to endpoints, and probing whether a process listens at their addresses."""

from __future__ import annotations

import abc
import queue
import socket
import threading
from collections.abc import Callable, Sequence
from typing import TypeVar

import urllib3.connection

Item = TypeVar("Item")


class Dialer(abc.ABC):
    """Opens this box's connections to endpoints."""

    @abc.abstractmethod
    def dial(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Connect within the connection's timeout; raises urllib3's exceptions."""

    @abc.abstractmethod
    def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Probe an address by connecting and closing.

        Return ``False`` if the connection is refused: the process has ended. Any other failure
        gives ``None``, unknown: a process that is frozen, busy or behind a cut link refuses no
        connection.
        """

    def first_listening(self, addresses: Sequence[str], timeout_s: float) -> str | None:
        """Probe all addresses at once; return the first at which a process listens, if any."""
        return first_matching(
            lambda address: bool(self.is_listening(address, timeout_s)), addresses
        )


class DirectDialer(Dialer):
    """Connects directly to addresses."""

    def dial(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Connect."""
        connection.connect()

    def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Probe an address by connecting and closing."""
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout_s).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return None
        return True


DIRECT = DirectDialer()


def first_matching(predicate: Callable[[Item], bool], items: Sequence[Item]) -> Item | None:
    """Evaluate all items at once, each in a thread; return the first that matches, if any.

    Waits for the others only until one matches.
    """
    results: queue.SimpleQueue[Item | None] = queue.SimpleQueue()

    def evaluate(each: Item) -> None:
        results.put(each if predicate(each) else None)

    for each in items:
        threading.Thread(target=evaluate, args=(each,), name="look", daemon=True).start()
    answers = (results.get() for _ in items)
    return next((each for each in answers if each is not None), None)
