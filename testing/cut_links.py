"""The links of one router to endpoints, which a test can cut in several ways."""

from __future__ import annotations

import enum
import socket
import threading

import urllib3.connection
import urllib3.exceptions

from croftpulley.endpoints import dialing


class Cut(enum.Enum):
    """What becomes of new connections."""

    NONE = "none"
    REFUSED = "refused"
    HANGING = "hanging"
    """Nothing comes back."""
    MUTE = "mute"
    """They are made, and whatever is sent is never answered."""


class Links(dialing.Dialer):
    """Links that pass connections on until they are cut.

    ``spared`` are addresses to which they pass all the same, ``answers`` those where somebody is
    taken to listen whatever is there, and ``down`` those that are cut by themselves.
    """

    def __init__(self) -> None:
        self.cut = Cut.NONE
        self.spared: set[str] = set()
        self.answers: set[str] = set()
        self.down: dict[str, Cut] = {}
        self.dialled: list[str] = []
        """The address of every connection that was asked for."""
        self.open: list[socket.socket] = []
        self._sink = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self._mended = threading.Event()

    def dial(self, connection: urllib3.connection.HTTPConnection) -> None:
        address = f"{connection.host}:{connection.port}"
        self.dialled.append(address)
        cut = self._cut_to(address)
        if cut is Cut.REFUSED:
            raise urllib3.exceptions.NewConnectionError(connection, "refused")
        if cut is Cut.HANGING:
            self._mended.wait(connection.timeout)
            raise urllib3.exceptions.ConnectTimeoutError(connection, "timed out")
        if cut is Cut.MUTE:
            connection.host, connection.port = self._sink.getsockname()
        connection.connect()
        self.open.append(connection.sock)

    def is_listening(self, address: str, timeout_s: float) -> bool | None:
        if address in self.answers:
            return True
        cut = self._cut_to(address)
        if cut is Cut.NONE:
            return dialing.DIRECT.is_listening(address, timeout_s)
        if cut is Cut.HANGING:
            self._mended.wait(timeout_s)
        return {Cut.REFUSED: False, Cut.HANGING: None, Cut.MUTE: True}[cut]

    def _cut_to(self, address: str) -> Cut:
        if address in self.spared:
            return Cut.NONE
        return self.cut if self.cut is not Cut.NONE else self.down.get(address, Cut.NONE)

    def reset(self) -> None:
        """End every connection that is open."""
        for sock in self.open:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It has ended already.
                continue

    def stop(self) -> None:
        """Let go of who waits, and stop listening."""
        self._mended.set()
        self._sink.close()
