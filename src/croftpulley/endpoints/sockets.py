"""What a socket's reads prove about a response, and how a connection ends once it is closed.

A read that broke off is never taken for the end of a response. The standard library takes a read
without data for the end of the head, and of a body that only the connection's end delimits. A read
has no data as well after a time-out of the system's, and after this process has shut the connection
down itself.

What never ends is given up: lines, heads and trailers after a number of bytes, everything after a
time. A reader that replaces the library's has to have the bounds that the library's had:
`BoundedReader` has them in every state.

A head, or the framing of a chunk, that is not exactly what RFC 9110 and 9112 allow is no part of a
response. The standard library leaves out what it cannot read, such as a length that is no number or
all lines from the first on that is no field, and frames the body by the rest.
"""

from __future__ import annotations

import functools
import http
import http.client
import io
import re
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import urllib3
import urllib3.connection

MAX_HEAD_BYTES = 65_536
"""For all heads of one response together: four times what a caller's head may have."""
MAX_INTERIM_HEADS = 8
"""Heads with a status of 1xx before the final one; few servers send more than one."""
MAX_TRAILER_BYTES = 16_384
"""After the last chunk; as much as a caller's head may have."""
MAX_LINE_BYTES = 16_384
"""Of a head, of trailers, or before a chunk; as much as a caller's head may have."""
MAX_FIELDS = 100
"""Of one head or of trailers: as many as the standard library takes. Each costs some hundred bytes
besides its own."""
RECEIVE_BUFFER_BYTES = 131_072
"""What the system may receive for one connection before it is read; it reserves twice as much. By
itself it lets a connection grow to some megabytes, and a machine counts that as the process's. At
a round trip of 10 ms a connection still carries 13 MB/s."""
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
]
"""Of each connection that this process opens."""

_LINE_LIMIT_BYTES = MAX_LINE_BYTES + 1
"""To be read of a line at most: a longer one is noticed."""
_LINE_END = b"\r\n"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n")
_FIELD = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r\n",
)
_LENGTH = re.compile(rb"[0-9]{1,18}")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_NEXT_CHUNK_LINE = re.compile(rb"\r\n([0-9A-Fa-f]{1,15})\r\n")
"""The end of a chunk and the size of the next one."""
_CONTENT_LENGTH, _TRANSFER_ENCODING = b"content-length", b"transfer-encoding"
_READ_SIZE_BYTES = 65_536
_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with timeout 0."""
_FLUSH = struct.pack("ii", 0, 0)
"""SO_LINGER off, the default."""


class ResponseBytes(io.RawIOBase):
    """The bytes that a peer sends; raises `OSError` where their end proves nothing.

    ``is_cancelled`` tells whether this process has given the response up. ``ends_at_s``, on the
    monotonic clock, ends all reading, however steadily bytes come. ``on_received`` is told how many
    bytes each read has brought.
    """

    def __init__(
        self,
        sock: socket.socket,
        raw: io.RawIOBase,
        is_cancelled: Callable[[], bool],
        ends_at_s: float | None,
        on_received: Callable[[int], None],
    ) -> None:
        super().__init__()
        self._sock = sock
        self._raw = raw
        self._is_cancelled = is_cancelled
        self._ends_at_s = ends_at_s
        self._on_received = on_received
        self._is_head_complete = False
        self._left_bytes: int | None = MAX_HEAD_BYTES
        self.received_bytes = 0

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
        self.received_bytes += size_bytes
        self._on_received(size_bytes)
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


class SpoiltResponseError(http.client.HTTPException):
    """What was received is no response, or its end cannot be told."""


class BoundedReader(io.BufferedReader):
    """Reads the lines and the bytes of a response, never without a bound, whoever asks for them."""

    _taken_bytes = 0

    def read1(self, size: int = -1, /) -> bytes:
        """Return some bytes, waiting for one; empty at the end."""
        data = super().read1(size)
        self._taken_bytes += len(data)
        return data

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line, empty at the end; raises `SpoiltResponseError` if it is too long."""
        is_limited = size is not None and 0 <= size <= MAX_LINE_BYTES
        line = super().readline(size if is_limited else MAX_LINE_BYTES + 1)
        self._taken_bytes += len(line)
        if len(line) > MAX_LINE_BYTES:
            raise SpoiltResponseError(f"a line is longer than {MAX_LINE_BYTES} bytes")
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Return so many bytes, fewer only at the end; ``size`` must be given."""
        if size is None or size < 0:
            raise ValueError("a read without a bound")
        data = super().read(size)
        self._taken_bytes += len(data)
        return data

    def buffered(self, received_bytes: int) -> bytes:
        """Return what can be read without waiting, of so many bytes received in all."""
        return self.peek() if received_bytes > self._taken_bytes else b""

    def readlines(self, hint: int = -1, /) -> list[bytes]:
        """Do not use it: nothing would bound the number of lines."""
        raise ValueError("a read without a bound")


def _match(pattern: re.Pattern[bytes], line: bytes, what: str) -> re.Match[bytes]:
    match = pattern.fullmatch(line)
    if match is None:
        raise SpoiltResponseError(f"got {line[:100]!r} for {what}")
    return match


def _is_interim(status_line: re.Match[bytes]) -> bool:
    """Tell whether another head follows the one with this status line."""
    status = int(status_line[2])
    if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
        raise SpoiltResponseError("the peer switches protocols, which nobody asked for")
    return status < http.HTTPStatus.OK


def _values(fields: list[re.Match[bytes]], name: bytes) -> list[bytes]:
    """Return the values of the header fields with a name, which is in lower case."""
    return [each[2].strip(b" \t") for each in fields if each[1].lower() == name]


def _check_framing(status_line: re.Match[bytes], fields: list[re.Match[bytes]]) -> None:
    """Raise `SpoiltResponseError` unless a head says in one way only where its response ends."""
    lengths = _values(fields, _CONTENT_LENGTH)
    encodings = _values(fields, _TRANSFER_ENCODING)
    if len(lengths) + len(encodings) > 1:
        raise SpoiltResponseError(f"got lengths {lengths!r} and transfer encodings {encodings!r}")
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise SpoiltResponseError(f"got length {lengths[0][:100]!r}")
    if encodings and (encodings[0].lower() != b"chunked" or status_line[1] == b"0"):
        raise SpoiltResponseError(f"got transfer encoding {encodings[0][:100]!r}")


def _whole_chunks(window: bytes) -> tuple[list[bytes], int]:
    """Return the chunks that begin in a window and are whole there, and how much of it they take.

    The window begins at the end of another chunk. The last chunk of a body is never among them.
    """
    chunks: list[bytes] = []
    taken_bytes = 0
    while match := _NEXT_CHUNK_LINE.match(window, taken_bytes):
        size_bytes = int(match[1], 16)
        end = match.end() + size_bytes
        if not size_bytes or end > len(window):
            break
        chunks.append(window[match.end() : end])
        taken_bytes = end
    return chunks, taken_bytes


class Response(http.client.HTTPResponse):
    """A response whose head and body are read through `ResponseBytes`."""

    def __init__(
        self,
        sock: socket.socket,
        *args: Any,
        is_cancelled: Callable[[], bool],
        ends_at_s: float | None,
        on_received: Callable[[int], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        buffered: io.BufferedReader = self.fp
        self._received = ResponseBytes(
            sock, buffered.detach(), is_cancelled, ends_at_s, on_received
        )
        self.fp = BoundedReader(self._received)

    def begin(self) -> None:
        """Read the head; raises `OSError` or `http.client.HTTPException`."""
        if self.headers is not None:
            return
        received = self.fp
        head = self._read_final_head()
        # The library reads what has been checked, and nothing else.
        self.fp = io.BufferedReader(io.BytesIO(head))
        super().begin()
        self.fp = received
        self._received.complete_head()

    def _read_final_head(self) -> bytes:
        for _ in range(1 + MAX_INTERIM_HEADS):
            status_line = _match(_STATUS_LINE, self.fp.readline(_LINE_LIMIT_BYTES), "a status line")
            is_interim = _is_interim(status_line)
            fields = self._read_fields()
            if not is_interim:
                _check_framing(status_line, fields)
                return b"".join((status_line[0], *(each[0] for each in fields), _LINE_END))
        raise SpoiltResponseError(f"more than {MAX_INTERIM_HEADS} interim heads")

    def _read_fields(self) -> list[re.Match[bytes]]:
        """Read lines up to an empty one; each is a field of a head or of trailers."""
        fields: list[re.Match[bytes]] = []
        while (line := self.fp.readline(_LINE_LIMIT_BYTES)) != _LINE_END:
            if not line:
                raise ConnectionResetError("the connection ended within the response")
            if len(fields) == MAX_FIELDS:
                raise SpoiltResponseError(f"more than {MAX_FIELDS} header fields")
            fields.append(_match(_FIELD, line, "a header field"))
        return fields

    def _read1_chunked(self, n: int) -> bytes:
        """Return some bytes of the body, with the chunks that have been received whole."""
        data: bytes = super()._read1_chunked(n)  # type: ignore[misc]
        if self.chunk_left != 0 or not data:
            return data
        reader: Any = self.fp
        window = reader.buffered(self._received.received_bytes)[: max(0, n - len(data))]
        chunks, size_bytes = _whole_chunks(window)
        if not chunks:
            return data
        self.fp.read(size_bytes)
        return b"".join((data, *chunks))

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            end = self._safe_read(len(_LINE_END))  # type: ignore[attr-defined]
            if end != _LINE_END:
                raise SpoiltResponseError(f"got {end!r} for the end of a chunk")
            self.chunk_left = None
        return super()._get_chunk_left()  # type: ignore[misc, no-any-return]

    def _read_next_chunk_size(self) -> int:
        return int(
            _match(_CHUNK_LINE, self.fp.readline(_LINE_LIMIT_BYTES), "the size of a chunk")[1], 16
        )

    def _read_and_discard_trailer(self) -> None:
        self._received.begin_trailers()
        self._read_fields()


class _StrictConnection(urllib3.connection.HTTPConnection):
    """A connection that others may be sent requests over once a response has been read.

    With a ``total_timeout_s`` each response has to be complete within that time.
    """

    def __init__(self, *args: Any, total_timeout_s: float | None = None, **options: Any) -> None:
        super().__init__(*args, **options)
        self._total_timeout_s = total_timeout_s

    def getresponse(self) -> Any:
        """Return the next response once its head has been read."""
        total_s = self._total_timeout_s
        self.response_class: Any = functools.partial(
            Response,
            is_cancelled=lambda: False,
            ends_at_s=None if total_s is None else time.monotonic() + total_s,
            on_received=lambda _size_bytes: None,
        )
        return super().getresponse()


class StrictPool(urllib3.HTTPConnectionPool):
    """Persistent connections to one address whose responses are read as `Response`."""

    ConnectionCls = _StrictConnection

    def __init__(self, host: str, port: int | None = None, **options: Any) -> None:
        super().__init__(host, port, socket_options=SOCKET_OPTIONS, **options)


def strict_pools(**options: Any) -> urllib3.PoolManager:
    """Return a manager of such pools, with options of the library's."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": StrictPool}
    return manager


def read_whole(response: urllib3.BaseHTTPResponse, max_body_bytes: int) -> bytes:
    """Return the whole body and give the connection back.

    Raises `ValueError` if it is longer than ``max_body_bytes``, and what the library raises.
    """
    body = io.BytesIO()
    try:
        while data := response.read1(_READ_SIZE_BYTES):
            if body.tell() + len(data) > max_body_bytes:
                raise ValueError(f"the body is longer than {max_body_bytes} bytes")
            body.write(data)
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return body.getvalue()


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
