"""Splits an event stream at event boundaries, so that only complete events are forwarded."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 65_536
"""An event holds a few tokens; what is longer without an end is none."""
_ENDS = (b"\n\n", b"\n\r\n")
_SPLIT_END_BYTES = 2
"""Of an event's end that may have come with earlier bytes."""
_ID_LINE = re.compile(rb"id: ?([^\r\n]*)")


class EventTooLongError(Exception):
    """More than `MAX_EVENT_BYTES` came without the end of an event."""


class EventSplitter:
    """Buffers bytes and returns complete events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), splitter.last_id
    (b'id: 1\\ndata: a\\n\\n', '1')
    >>> splitter.feed(b"ta: b\\n\\n"), splitter.last_id, splitter.is_between_events
    (b'id: 2\\ndata: b\\n\\n', '2', True)
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are complete now.

        Raises `EventTooLongError` if there is none and too much has come since the last one.
        """
        searched_from = max(0, len(self._buffer) - _SPLIT_END_BYTES)
        self._buffer += data
        end = _last_end(self._buffer, searched_from)
        if not end:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"{len(self._buffer)} bytes are no complete event")
            return b""
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        self.last_id = _last_id(whole, self.last_id)
        return whole

    @property
    def is_between_events(self) -> bool:
        """Tell whether the stream may end here: no partial event is buffered."""
        return not self._buffer.strip()

    def drop_partial(self) -> None:
        """Drop a partial event, before the stream continues from another source."""
        self._buffer.clear()


def _last_end(buffer: bytearray, start: int) -> int:
    """Return where the last event ends whose end is at ``start`` or after it; 0 without one."""
    found = [(buffer.rfind(each, start), len(each)) for each in _ENDS]
    return max(at + size_bytes if at >= 0 else 0 for at, size_bytes in found)


def _last_id(whole: bytes, before: str) -> str:
    """Return the last id of complete events, ``before`` if they have none."""
    match = _ID_LINE.match(whole, whole.rfind(b"\nid:") + 1)
    return match[1].decode("latin-1").strip() if match else before
