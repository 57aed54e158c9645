"""Making connections to endpoints, and whether anybody listens at their addresses."""

from __future__ import annotations

import abc
import queue
import socket
import threading
from collections.abc import Sequence

import urllib3.connection


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
        found: queue.SimpleQueue[str | None] = queue.SimpleQueue()

        def look(address: str) -> None:
            found.put(address if self.listens(address, timeout_s) else None)

        for address in addresses:
            threading.Thread(target=look, args=(address,), name="look", daemon=True).start()
        for _ in addresses:
            listening = found.get()
            if listening is not None:
                return listening
        return None


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
