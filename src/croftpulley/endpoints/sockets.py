"""What a socket's reads prove about a response, and how a connection ends once it is closed.

A read that broke off is never taken for the end of a response. The standard library takes a read
without data for the end of the head, and of a body that only the connection's end delimits. A read
has no data as well after a time-out of the system's, and after this process has shut the connection
down itself.

What never ends is given up: heads and trailers after a number of bytes, everything after a time.
"""

from __future__ import annotations

import http.client
import io
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

MAX_HEAD_BYTES = 65_536
"""For all heads of one response together: four times what a caller's head may have."""
MAX_INTERIM_HEADS = 8
"""Heads with a status of 1xx before the final one; few servers send more than one."""
MAX_TRAILER_BYTES = 16_384
"""After the last chunk; as much as a caller's head may have."""

_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with timeout 0."""
_FLUSH = struct.pack("ii", 0, 0)
"""SO_LINGER off, the default."""


class ResponseBytes(io.RawIOBase):
    """The bytes that a peer sends; raises `OSError` where their end proves nothing.

    ``is_cancelled`` tells whether this process has given the response up. ``ends_at_s``, on the
    monotonic clock, ends all reading, however steadily bytes come.
    """

    def __init__(
        self,
        sock: socket.socket,
        raw: io.RawIOBase,
        is_cancelled: Callable[[], bool],
        ends_at_s: float | None,
    ) -> None:
        super().__init__()
        self._sock = sock
        self._raw = raw
        self._is_cancelled = is_cancelled
        self._ends_at_s = ends_at_s
        self._is_head_complete = False
        self._left_bytes: int | None = MAX_HEAD_BYTES

    def readable(self) -> bool:
        """Tell that it can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read some bytes, 0 at the end of the response; raises `OSError`."""
        self._check_cancelled()
        self._limit_wait()
        size_bytes: int | None = self._raw.readinto(buffer)
        if size_bytes is None:
            raise TimeoutError("nothing was received within the time limit")
        if size_bytes == 0:
            self._check_cancelled()
            if not self._is_head_complete:
                raise ConnectionResetError("the connection ended within the response's head")
        self._count(size_bytes)
        return size_bytes

    def complete_head(self) -> None:
        """Note that the head has been read: the body is bounded by whoever reads it."""
        self._is_head_complete = True
        self._left_bytes = None

    def begin_trailers(self) -> None:
        """Note that the body has been read."""
        self._left_bytes = MAX_TRAILER_BYTES

    def close(self) -> None:
        """Close the connection's file."""
        self._raw.close()
        super().close()

    def _check_cancelled(self) -> None:
        if self._is_cancelled():
            raise ConnectionAbortedError("the response was given up")

    def _limit_wait(self) -> None:
        """Have the next read wait no longer than the response may take."""
        if self._ends_at_s is None:
            return
        left_s = self._ends_at_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the response is not complete within the time limit")
        set_timeout(self._sock, socket.SO_RCVTIMEO, left_s)

    def _count(self, size_bytes: int) -> None:
        if self._left_bytes is None:
            return
        self._left_bytes -= size_bytes
        if self._left_bytes < 0:
            part = "trailers" if self._is_head_complete else "head"
            raise ConnectionAbortedError(f"the response's {part} is longer than the limit")


class Response(http.client.HTTPResponse):
    """A response whose head and body are read through `ResponseBytes`."""

    def __init__(
        self,
        sock: socket.socket,
        *args: Any,
        is_cancelled: Callable[[], bool],
        ends_at_s: float | None,
        **kwargs: Any,
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        buffered: io.BufferedReader = self.fp
        self._received = ResponseBytes(sock, buffered.detach(), is_cancelled, ends_at_s)
        self.fp = io.BufferedReader(self._received)
        self._heads = 0

    def begin(self) -> None:
        """Read the head; raises `OSError` or `http.client.HTTPException`."""
        super().begin()
        self._received.complete_head()

    def _read_status(self) -> tuple[str, int, str]:
        self._heads += 1
        if self._heads > 1 + MAX_INTERIM_HEADS:
            raise http.client.HTTPException(f"more than {MAX_INTERIM_HEADS} interim heads")
        return super()._read_status()  # type: ignore[misc, no-any-return]

    def _read_and_discard_trailer(self) -> None:
        self._received.begin_trailers()
        super()._read_and_discard_trailer()  # type: ignore[misc]


def set_timeout(sock: socket.socket, option: int, timeout_s: float) -> None:
    """Set the system's time limit for reads or writes; raises `OSError`."""
    whole_s = int(timeout_s)
    # A limit of 0 would be none.
    limit_us = max(1, int((timeout_s - whole_s) * 1_000_000))
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", whole_s, limit_us))


def reset_on_close(sock: socket.socket) -> None:
    """Have a close reset the connection and drop undelivered data; raises `OSError`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def flush_after_close(sock: socket.socket) -> None:
    """Have the system deliver pending data after a close; raises `OSError`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _FLUSH)
