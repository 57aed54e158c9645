"""Making connections to endpoints, and whether anybody listens at their addresses."""

from __future__ import annotations

import abc
import socket

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
