"""Draws responses, spoils them, and tells by rules of its own what a caller may make of them.

The rules are those of RFC 9110 and 9112 for a response to GET, read byte by byte: nothing here
shares code with what reads responses for the system.
"""

from __future__ import annotations

import random

import attrs

_TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
_DIGITS = frozenset(b"0123456789")
_HEXADECIMAL = frozenset(b"0123456789abcdefABCDEF")
_SPOILING = b'\x00\x01\t\n\x0b\r\x1c "(),+-._0159:;=xX\x7f\x80\x85\xa0\xb2\xff'
_NAMES = (b"X-Proof", b"Date", b"x!#$%&'*+-.^_`|~9", b"Retry-After")
_VALUES = (b"", b"1", b"a\tb", b"\xe9\xff", b'"quoted, (text)"', b"x" * 40)
_BODY = b"the whole body"


@attrs.frozen
class Reading:
    """What a caller may get: a status and a whole body."""

    status: int
    body: bytes


def draw(seed: int) -> bytes:
    """Return the bytes of a response, sound or spoilt in one to three places."""
    chance = random.Random(seed)
    data = bytearray(_sound(chance))
    end = data.find(b"\r\n\r\n") + 4
    for _ in range(chance.choice((0, 1, 1, 1, 2, 3))):
        # Mostly in the head, else in what frames the body.
        place = chance.randrange(end if chance.random() < 0.8 else len(data))
        match chance.randrange(4):
            case 0:
                data[place:place] = bytes([chance.choice(_SPOILING)])
            case 1:
                data[place] = chance.choice(_SPOILING)
            case 2:
                del data[place]
            case 3:
                data[place:place] = data[place : place + chance.randrange(1, 12)]
    return bytes(data)


def _sound(chance: random.Random) -> bytes:
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" if chance.random() < 0.1 else b""
    status = chance.choice((b"200 OK", b"200", b"200 ", b"500 Broken", b"404 Not \xe9"))
    version = chance.choice((b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.0"))
    fields = [
        chance.choice(_NAMES) + b":" + chance.choice((b" ", b"", b" \t")) + chance.choice(_VALUES)
        for _ in range(chance.randrange(4))
    ]
    framing = chance.choice(("length", "length", "chunks", "end"))
    if framing == "chunks" and version == b"HTTP/1.1":
        fields.insert(chance.randrange(len(fields) + 1), b"Transfer-Encoding: chunked")
        body = b"4;a=1\r\nthe \r\n00A\r\nwhole body\r\n0\r\nX-More: 1\r\n\r\n"
    else:
        if framing == "length":
            line = chance.choice((b"Content-Length: ", b"content-length:0")) + b"%d" % len(_BODY)
            fields.insert(chance.randrange(len(fields) + 1), line)
        body = _BODY
    lines = [version + b" " + status, *fields]
    return interim + b"\r\n".join(lines) + b"\r\n\r\n" + body


def allowed(data: bytes) -> Reading | None:
    """Return what a caller may get of a response after which the connection ends, if anything."""
    while True:
        line, rest = _line(data)
        status = _status(line) if line is not None else None
        if line is None or status is None:
            return None
        fields, data = _fields(rest)
        if fields is None or status == 101:
            return None
        if status >= 200:
            return _framed(line, status, fields, data)


def _line(data: bytes) -> tuple[bytes | None, bytes]:
    """Return the first line and what follows it; ``None`` where a line is not ended as it must."""
    end = data.find(b"\r\n")
    line = data[: max(end, 0)]
    if end < 0 or b"\r" in line or b"\n" in line:
        return None, b""
    return line, data[end + 2 :]


def _is_text(value: bytes) -> bool:
    return all(byte == 9 or 32 <= byte <= 126 or byte >= 128 for byte in value)


def _status(line: bytes) -> int | None:
    version, digits, reason = line[:9], line[9:12], line[12:]
    if version not in (b"HTTP/1.0 ", b"HTTP/1.1 ") or len(digits) != 3:
        return None
    if not set(digits) <= _DIGITS or not 100 <= int(digits) <= 599:
        return None
    is_sound = reason == b"" or (reason[:1] == b" " and _is_text(reason))
    return int(digits) if is_sound else None


def _fields(data: bytes) -> tuple[list[tuple[bytes, bytes]] | None, bytes]:
    found = []
    while True:
        line, data = _line(data)
        if line == b"":
            return found, data
        if line is None:
            return None, b""
        name, colon, value = line.partition(b":")
        if not colon or not name or not set(name) <= _TOKEN or not _is_text(value):
            return None, b""
        found.append((name.lower(), value.strip(b" \t")))


def _framed(line: bytes, status: int, fields: list, data: bytes) -> Reading | None:
    lengths = [value for name, value in fields if name == b"content-length"]
    codings = [value for name, value in fields if name == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        return None
    if codings:
        is_known = codings[0].lower() == b"chunked" and line.startswith(b"HTTP/1.1")
        body = _chunked(data) if is_known else None
        return None if body is None else Reading(status, body)
    if not lengths:
        return Reading(status, b"" if status in (204, 304) else data)
    if not lengths[0] or not set(lengths[0]) <= _DIGITS:
        return None
    size_bytes = 0 if status in (204, 304) else int(lengths[0])
    return Reading(status, data[:size_bytes]) if size_bytes <= len(data) else None


def _chunked(data: bytes) -> bytes | None:
    body = b""
    while True:
        line, data = _line(data)
        if line is None or not _is_text(line):
            return None
        digits = line.partition(b";")[0].rstrip(b" \t")
        if not digits or not set(digits) <= _HEXADECIMAL:
            return None
        size_bytes = int(digits, 16)
        if size_bytes == 0:
            return None if _fields(data)[0] is None else body
        if data[size_bytes : size_bytes + 2] != b"\r\n":
            return None
        body += data[:size_bytes]
        data = data[size_bytes + 2 :]
