"""The parts of a request, by its grammar, each as something that never ends."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs

_LINE = b"POST /v1/config/submissions HTTP/1.1\r\n"
_HEAD = _LINE + b"Host: clinic.example\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BLOCK_BYTES = 65_536


SENT_BYTES = 4_000_000
_DEAR_BYTES = 200_000


@attrs.frozen
class Part:
    """How a request begins, what then comes without end, and how much of it a client sends.

    Less is sent of what takes long to read.
    """

    beginning: bytes
    unit: bytes
    sent_bytes: int = SENT_BYTES

    def pieces(self) -> Iterator[bytes]:
        """Yield what is sent at a time."""
        block = self.unit * (_BLOCK_BYTES // len(self.unit))
        blocks = -(-self.sent_bytes // len(block))
        return itertools.chain([self.beginning + block], itertools.repeat(block, blocks - 1))


PARTS = {
    "blank lines": Part(b"", b"\r\n", _DEAR_BYTES),
    "blanks": Part(b"", b" "),
    "method": Part(b"", b"X"),
    "target": Part(b"POST /", b"x"),
    "version": Part(b"POST / HTTP/1.", b"1"),
    "field name": Part(_HEAD, b"X"),
    "field value": Part(_HEAD + b"X-More: ", b"more"),
    "folded value": Part(_HEAD + b"X-More: more\r\n", b" more\r\n"),
    "fields": Part(_HEAD, b"X-More: more\r\n"),
    "short fields": Part(_HEAD, b"X:\r\n"),
    "length": Part(_HEAD + b"Content-Length: ", b"0"),
    "body": Part(_HEAD + b"Content-Length: 999999999999999999\r\n\r\n", b"more"),
    "chunks": Part(_CHUNKED, b"1000\r\n%b\r\n" % bytes(4096)),
    "small chunks": Part(_CHUNKED, b"1\r\nm\r\n", _DEAR_BYTES),
    "chunk": Part(_CHUNKED + b"fffffffffffffff\r\n", b"more"),
    "chunk size": Part(_CHUNKED, b"0"),
    "chunk extension": Part(_CHUNKED + b"5;", b"more"),
    "chunk end": Part(_CHUNKED + b"5\r\nwhole", b"more"),
    "trailers": Part(_CHUNKED + b"5\r\nwhole\r\n0\r\n", b"X-More: more\r\n"),
    "trailer": Part(_CHUNKED + b"5\r\nwhole\r\n0\r\nX-More: ", b"more"),
}
