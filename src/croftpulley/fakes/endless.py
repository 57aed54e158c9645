"""The parts of a response, by its grammar, each as something that never ends."""

from __future__ import annotations

import attrs

from croftpulley.fakes import faults

_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_STREAM = b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
BLOCK_BYTES = 262_144


@attrs.frozen
class Part:
    """What follows the first line and headers of a response, and what then comes without end.

    Without ``has_head`` it takes the place of the first line.
    """

    framing: bytes
    unit: bytes
    has_head: bool = True

    @property
    def is_framed(self) -> bool:
        """Tell whether the end of the connection is no end of the response."""
        return b"Connection: close" not in self.framing

    def block(self, *, is_slow: bool) -> bytes:
        """Return what is sent at a time."""
        return self.unit if is_slow else self.unit * (BLOCK_BYTES // len(self.unit))


PARTS = {
    faults.Fault.ENDLESS_STATUS_LINE: Part(b"HTTP/1.1 200 ", b"O", has_head=False),
    faults.Fault.ENDLESS_INTERIM_HEADS: Part(b"", b"HTTP/1.1 100 Continue\r\n\r\n", has_head=False),
    faults.Fault.ENDLESS_INTERIM_FIELDS: Part(
        b"HTTP/1.1 103 Early Hints\r\n", b"X-More: more\r\n", has_head=False
    ),
    faults.Fault.ENDLESS_FIELD_NAME: Part(b"", b"X"),
    faults.Fault.ENDLESS_FIELD_VALUE: Part(b"X-More: ", b"more"),
    faults.Fault.ENDLESS_HEADERS: Part(b"", b"X-More: more\r\n"),
    faults.Fault.ENDLESS_SHORT_HEADERS: Part(b"", b"X:\r\n"),
    faults.Fault.ENDLESS_BODY: Part(b"Connection: close\r\n\r\n", b"more"),
    faults.Fault.ENDLESS_LENGTH: Part(b"Content-Length: 999999999999999999\r\n\r\n", b"more"),
    faults.Fault.ENDLESS_CHUNKS: Part(_CHUNKED, b"1000\r\n%b\r\n" % bytes(4096)),
    faults.Fault.ENDLESS_SMALL_CHUNKS: Part(_CHUNKED, b"1\r\nm\r\n"),
    faults.Fault.ENDLESS_CHUNK: Part(_CHUNKED + b"fffffffffffffff\r\n", b"more"),
    faults.Fault.ENDLESS_CHUNK_SIZE: Part(_CHUNKED, b"0"),
    faults.Fault.ENDLESS_CHUNK_EXTENSION: Part(_CHUNKED + b"5;", b"more"),
    faults.Fault.ENDLESS_CHUNK_END: Part(_CHUNKED + b"5\r\nwhole", b"more"),
    faults.Fault.ENDLESS_TRAILERS: Part(_CHUNKED + b"5\r\nwhole\r\n0\r\n", b"X-More: more\r\n"),
    faults.Fault.ENDLESS_TRAILER: Part(_CHUNKED + b"5\r\nwhole\r\n0\r\nX-More: ", b"more"),
    faults.Fault.ENDLESS_LINES: Part(_STREAM, b"data: more\n"),
    faults.Fault.ENDLESS_EVENT_LINE: Part(_STREAM + b"data: ", b"more"),
    faults.Fault.ENDLESS_EVENTS: Part(_STREAM, b"data: m\n\n"),
    faults.Fault.ENDLESS_COMMENTS: Part(_STREAM, b":m\n\n"),
    faults.Fault.ENDLESS_EMPTY_LINES: Part(_STREAM, b"\n"),
}
