"""Clients of a gRPC listener that begin a call, send most of its message and stay."""

from __future__ import annotations

import selectors
import socket
import struct
import time

_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
_DATA, _HEADERS, _RST_STREAM, _SETTINGS, _PING, _GOAWAY, _WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
"""Types of frames (RFC 9113)."""
_ACK, _END_HEADERS = 1, 4
"""Flags of frames."""
_INITIAL_WINDOW_SIZE = 4
"""Of the settings."""
_FIRST_WINDOW_BYTES = 65_535
_FRAME_BYTES = 16_384
_STREAM = 1
_LONGEST_S = 60.0
_QUIET_S = 2.0
"""Without a window for so long, a client may send no more."""


def _frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def _literal(name: str, value: str) -> bytes:
    """Return a header as HPACK writes it without its tables (RFC 7541)."""
    return b"\x00" + b"".join(bytes([len(each)]) + each.encode() for each in (name, value))


def _call_headers(path: str) -> bytes:
    pairs = (
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "x"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    )
    return b"".join(_literal(*pair) for pair in pairs)


class _Call:
    """One connection with one call, whose message lacks its last byte."""

    def __init__(self, address: str, path: str, message_bytes: int) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=20)
        self.sock.setblocking(False)
        self._outgoing = _PREFACE + _frame(_SETTINGS, 0, 0)
        self._outgoing += _frame(_HEADERS, _END_HEADERS, _STREAM, _call_headers(path))
        self._message = struct.pack(">BI", 0, message_bytes) + b"x" * (message_bytes - 1)
        self._windows_bytes = {0: _FIRST_WINDOW_BYTES, _STREAM: _FIRST_WINDOW_BYTES}
        self._stream_window_bytes = _FIRST_WINDOW_BYTES
        self._received = b""
        self.is_over = False

    @property
    def has_more(self) -> bool:
        """Tell whether it may send something now."""
        may_send = min(self._windows_bytes.values()) > 0 and bool(self._message)
        return not self.is_over and (bool(self._outgoing) or may_send)

    @property
    def is_sent(self) -> bool:
        return not self._message and not self._outgoing

    def send(self) -> None:
        """Send as much as the other side takes."""
        size_bytes = min(_FRAME_BYTES, len(self._message), *self._windows_bytes.values())
        if not self._outgoing and size_bytes > 0:
            self._outgoing = _frame(_DATA, 0, _STREAM, self._message[:size_bytes])
            self._message = self._message[size_bytes:]
            for each in self._windows_bytes:
                self._windows_bytes[each] -= size_bytes
        self._outgoing = self._outgoing[self.sock.send(self._outgoing) :]

    def receive(self) -> None:
        """Read frames and do what they ask for."""
        data = self.sock.recv(65_536)
        self.is_over = self.is_over or not data
        self._received += data
        while len(self._received) >= 9:
            size_bytes = int.from_bytes(self._received[:3], "big")
            if len(self._received) < 9 + size_bytes:
                return
            kind, flags, stream = struct.unpack(">BBI", self._received[3:9])
            payload = self._received[9 : 9 + size_bytes]
            self._received = self._received[9 + size_bytes :]
            self._take(kind, flags, stream, payload)

    def _take(self, kind: int, flags: int, stream: int, payload: bytes) -> None:
        if kind in (_GOAWAY, _RST_STREAM):
            self.is_over = True
        elif kind == _WINDOW_UPDATE:
            self._windows_bytes[stream] += struct.unpack(">I", payload)[0]
        elif kind == _PING and not flags & _ACK:
            self._outgoing += _frame(_PING, _ACK, 0, payload)
        elif kind == _SETTINGS and not flags & _ACK:
            for start in range(0, len(payload), 6):
                name, value = struct.unpack(">HI", payload[start : start + 6])
                if name == _INITIAL_WINDOW_SIZE:
                    self._windows_bytes[_STREAM] += value - self._stream_window_bytes
                    self._stream_window_bytes = value
            self._outgoing += _frame(_SETTINGS, _ACK, 0)


class Crowd:
    """As many calls at once, each over a connection of its own."""

    def __init__(self, address: str, path: str, size: int, message_bytes: int) -> None:
        self.size = size
        self._calls = [_Call(address, path, message_bytes) for _ in range(size)]

    def send_all(self) -> None:
        """Send until every call has sent all it may, or was ended by the other side."""
        waiting = selectors.DefaultSelector()
        for each in self._calls:
            waiting.register(each.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, each)
        ends_at_s = time.monotonic() + _LONGEST_S
        quiet_from_s = time.monotonic()
        while waiting.get_map() and time.monotonic() < min(ends_at_s, quiet_from_s + _QUIET_S):
            for key, mask in waiting.select(0.1):
                call: _Call = key.data
                if self._moves(call, mask):
                    quiet_from_s = time.monotonic()
                if call.is_over or call.is_sent:
                    waiting.unregister(call.sock)
        waiting.close()

    def _moves(self, call: _Call, mask: int) -> bool:
        try:
            if mask & selectors.EVENT_READ:
                call.receive()
            if not call.has_more:
                return False
            call.send()
        except BlockingIOError:
            return False
        except OSError:
            call.is_over = True
        return True

    def close(self) -> None:
        """End every connection."""
        for each in self._calls:
            each.sock.close()
