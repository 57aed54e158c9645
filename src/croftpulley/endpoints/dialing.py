"""Making connections to endpoints, and whether anybody listens at their addresses."""

from __future__ import annotations

import abc
import queue
import socket
import threading
from collections.abc import Callable, Sequence
from typing import TypeVar

import urllib3.connection

Tried = TypeVar("Tried")


class Dialer(abc.ABC):
    """The links of this box to endpoints."""

    @abc.abstractmethod
    def dial(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Make a connection within its timeout; raises as the library does."""

    @abc.abstractmethod
    def listens(self, address: str, timeout_s: float) -> bool | None:
        """Connect and close; return ``None`` where nothing comes back, which tells nothing.

        A process that has ended leaves nobody who listens. One that is frozen, busy or behind a cut
        link refuses no connection.
        """

    def first_to_listen(self, addresses: Sequence[str], timeout_s: float) -> str | None:
        """Try addresses all at once; return the first where somebody listens, if any does."""
        return first_that(lambda address: bool(self.listens(address, timeout_s)), addresses)


class DirectDialer(Dialer):
    """Connects straight to addresses."""

    def dial(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Make a connection."""
        connection.connect()

    def listens(self, address: str, timeout_s: float) -> bool | None:
        """Connect and close."""
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout_s).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return None
        return True


DIRECT = DirectDialer()


def first_that(holds: Callable[[Tried], bool], tried: Sequence[Tried]) -> Tried | None:
    """Try all at once, each in a thread; return the first for which ``holds``, if any."""
    found: queue.SimpleQueue[Tried | None] = queue.SimpleQueue()

    def look(each: Tried) -> None:
        found.put(each if holds(each) else None)

    for each in tried:
        threading.Thread(target=look, args=(each,), name="look", daemon=True).start()
    answers = (found.get() for _ in tried)
    return next((each for each in answers if each is not None), None)
