"""What a socket's reads prove about a response, and how a connection ends once it is closed.

A read that broke off is never taken for the end of a response.
The standard library takes a read without data for the end of the head, and of a body that only the
connection's end delimits. A read has no data as well after a time-out of the system's, and after
this process has shut the connection down itself.
"""

from __future__ import annotations

import http.client
import io
import socket
import struct
from collections.abc import Callable
from typing import Any

_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with timeout 0."""
_FLUSH = struct.pack("ii", 0, 0)
"""SO_LINGER off, the default."""


class ResponseBytes(io.RawIOBase):
    """The bytes that a peer sends; raises `OSError` where their end proves nothing.

    ``is_cancelled`` tells whether this process has given the response up.
    """

    def __init__(self, raw: io.RawIOBase, is_cancelled: Callable[[], bool]) -> None:
        super().__init__()
        self._raw = raw
        self._is_cancelled = is_cancelled
        self._is_head_complete = False

    def readable(self) -> bool:
        """Tell that it can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read some bytes, 0 at the end of the response; raises `OSError`."""
        self._check_cancelled()
        size_bytes: int | None = self._raw.readinto(buffer)
        if size_bytes is None:
            raise TimeoutError("nothing was received within the time limit")
        if size_bytes == 0:
            self._check_cancelled()
            if not self._is_head_complete:
                raise ConnectionResetError("the connection ended within the response's head")
        return size_bytes

    def complete_head(self) -> None:
        """Note that the head has been read: only the end of a body is left to come."""
        self._is_head_complete = True

    def close(self) -> None:
        """Close the connection's file."""
        self._raw.close()
        super().close()

    def _check_cancelled(self) -> None:
        if self._is_cancelled():
            raise ConnectionAbortedError("the response was given up")


class Response(http.client.HTTPResponse):
    """A response whose head and body are read through `ResponseBytes`."""

    def __init__(
        self, sock: socket.socket, *args: Any, is_cancelled: Callable[[], bool], **kwargs: Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        buffered: io.BufferedReader = self.fp
        self._received = ResponseBytes(buffered.detach(), is_cancelled)
        self.fp = io.BufferedReader(self._received)

    def begin(self) -> None:
        """Read the head; raises `OSError` or `http.client.HTTPException`."""
        super().begin()
        self._received.complete_head()


def reset_on_close(sock: socket.socket) -> None:
    """Have a close reset the connection and drop undelivered data; raises `OSError`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def flush_after_close(sock: socket.socket) -> None:
    """Have the system deliver pending data after a close; raises `OSError`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _FLUSH)
