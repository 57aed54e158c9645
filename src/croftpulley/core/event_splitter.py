"""Splits an event stream at event boundaries, so that only complete events are forwarded."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 65_536
"""An event holds a few tokens; what is longer without an end is none."""
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


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
        self._buffer = b""
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are complete now.

        Raises `EventTooLongError` if there is none and too much has come since the last one.
        """
        self._buffer += data
        ends = [match.end() for match in _EVENT_END.finditer(self._buffer)]
        if not ends:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"{len(self._buffer)} bytes are no complete event")
            return b""
        whole, self._buffer = self._buffer[: ends[-1]], self._buffer[ends[-1] :]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    @property
    def is_between_events(self) -> bool:
        """Tell whether the stream may end here: no partial event is buffered."""
        return not self._buffer.strip()

    def drop_partial(self) -> None:
        """Drop a partial event, before the stream continues from another source."""
        self._buffer = b""
