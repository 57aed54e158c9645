"""Cuts an event stream at the ends of its events, so that only whole ones are passed on."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


class EventCutter:
    """Gathers bytes and gives out whole events.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), cutter.last_id
    (b'id: 1\\ndata: a\\n\\n', '1')
    >>> cutter.feed(b"ta: b\\n\\n"), cutter.last_id, cutter.is_between_events
    (b'id: 2\\ndata: b\\n\\n', '2', True)
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the whole events that are complete now."""
        self._rest += data
        ends = [match.end() for match in _EVENT_END.finditer(self._rest)]
        if not ends:
            return b""
        whole, self._rest = self._rest[: ends[-1]], self._rest[ends[-1] :]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    @property
    def is_between_events(self) -> bool:
        """Tell whether the stream may end here."""
        return not self._rest.strip()

    def drop_partial(self) -> None:
        """Forget half an event, before the stream goes on from another source."""
        self._rest = b""
