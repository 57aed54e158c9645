"""Origins of streams: the pool and software version that wrote a stream's first event; pure.

The outputs of endpoints of two versions do not fit together, so a stream continues only at its
origin, both within one answer and where the caller resumes it. The box at which a stream begins
remembers its origin and announces it to other boxes, chosen so that any box can compute which these
are (`core.peers`).
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

import attrs

RETENTION_S = 60.0
"""How long beyond its route's time limit a stream is remembered. Callers resume a stream within
seconds, as their own users wait."""
COMPLETED_RETENTION_S = 10.0
"""How long a stream is remembered whose answer this box sent completely, though the caller may not
have received all of it."""
MAX_STREAMS = 30_000
"""Maximum number of streams that a box remembers, about 0.3 kB each; beyond it the oldest are
forgotten."""
MAX_STREAMS_PER_WORKSPACE = MAX_STREAMS // 2
"""Maximum number of streams of one workspace, so that it cannot displace those of all others."""
_MAX_ORIGINS_PER_STREAM = 2
"""A second origin of one stream shows that its id was used twice; more need not be stored."""
MAX_REQUEST_ID_LENGTH = 128
"""Maximum length of a request id in characters; streams with longer ids are not remembered."""


@attrs.frozen
class Origin:
    """The pool and the software version of the endpoint that wrote a stream's first event."""

    pool: str
    version: str


@attrs.frozen
class StreamId:
    """A stream's workspace and the id of the request that got its first event."""

    workspace: str
    request_id: str


@attrs.frozen
class OriginAnnouncement:
    """The origin of a stream, as boxes announce it; the recipient keeps it for ``kept_s``."""

    stream: StreamId
    origin: Origin
    kept_s: float


@attrs.define
class StreamRecord:
    """What is remembered of a stream; two origins if two streams had the same id."""

    origins: tuple[Origin, ...]
    expires_at_s: float
    is_announced: bool

    @property
    def origin(self) -> Origin | None:
        """The origin, or ``None`` if there are two: neither can be relied on."""
        return self.origins[0] if len(self.origins) == 1 else None


def _announcements(
    stream: StreamId, record: StreamRecord, now_s: float
) -> list[OriginAnnouncement]:
    return [
        OriginAnnouncement(stream, each, record.expires_at_s - now_s) for each in record.origins
    ]


@attrs.define
class OriginTable:
    """The streams that one box remembers, the least recently noted first.

    >>> table, stream = OriginTable(), StreamId("clinic", "r-1")
    >>> table.remember(OriginAnnouncement(stream, Origin("llm", "v1"), 60.0), 0.0)
    >>> table.find(stream, 1.0).origin, table.find(stream, 61.0)
    (Origin(pool='llm', version='v1'), None)
    >>> table.remember(OriginAnnouncement(stream, Origin("llm", "v2"), 60.0), 2.0)
    >>> table.find(stream, 3.0).origin is None
    True
    """

    max_streams: int = MAX_STREAMS
    max_streams_per_workspace: int = MAX_STREAMS_PER_WORKSPACE
    _records: dict[StreamId, StreamRecord] = attrs.field(factory=dict)
    _count_by_workspace: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _unannounced: dict[str, dict[StreamId, None]] = attrs.field(factory=dict)
    """Streams that began here and are not announced to other boxes yet, by pool."""

    def __len__(self) -> int:
        return len(self._records)

    def remember(
        self, announcement: OriginAnnouncement, now_s: float, *, is_announced: bool = True
    ) -> None:
        """Remember a stream, or extend how long it is remembered.

        With ``is_announced`` false the stream is announced by the next `take_unannounced`. A stream
        with too long an id is ignored.
        """
        stream = announcement.stream
        if len(stream.request_id) > MAX_REQUEST_ID_LENGTH:
            return
        known = self.find(stream, now_s)
        origins = known.origins if known is not None else ()
        if announcement.origin not in origins:
            origins = (*origins, announcement.origin)[:_MAX_ORIGINS_PER_STREAM]
        self._drop(stream)
        self._records[stream] = StreamRecord(origins, now_s + announcement.kept_s, is_announced)
        self._count_by_workspace[stream.workspace] += 1
        if not is_announced:
            self._unannounced.setdefault(announcement.origin.pool, {})[stream] = None
        self._enforce_limits(stream.workspace)

    def find(self, stream: StreamId, now_s: float) -> StreamRecord | None:
        """Return what is remembered of a stream, ``None`` if it is unknown or has expired."""
        record = self._records.get(stream)
        return record if record is not None and now_s < record.expires_at_s else None

    def mark_completed(self, stream: StreamId, now_s: float) -> None:
        """Shorten how long a stream is remembered, as this box sent its complete answer."""
        record = self._records.get(stream)
        if record is not None:
            record.expires_at_s = min(record.expires_at_s, now_s + COMPLETED_RETENTION_S)

    def take_unannounced(self, pools: Iterable[str], now_s: float) -> list[OriginAnnouncement]:
        """Return the unannounced streams of pools and mark them as announced."""
        taken: list[OriginAnnouncement] = []
        for pool in pools:
            for stream in self._unannounced.pop(pool, {}):
                record = self.find(stream, now_s)
                if record is not None:
                    record.is_announced = True
                    taken += _announcements(stream, record, now_s)
        return taken

    def pools_with_unannounced(self) -> tuple[str, ...]:
        """Return the pools with unannounced streams."""
        return tuple(self._unannounced)

    def announced(self, now_s: float) -> Iterator[OriginAnnouncement]:
        """Yield all streams that were announced by this box or to it."""
        for stream, record in self._records.items():
            if record.is_announced and now_s < record.expires_at_s:
                yield from _announcements(stream, record, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Remove expired streams."""
        for stream in [name for name, each in self._records.items() if each.expires_at_s <= now_s]:
            self._drop(stream)

    def _drop(self, stream: StreamId) -> None:
        record = self._records.pop(stream, None)
        if record is None:
            return
        self._count_by_workspace[stream.workspace] -= 1
        if not self._count_by_workspace[stream.workspace]:
            del self._count_by_workspace[stream.workspace]
        if not record.is_announced:
            for streams in self._unannounced.values():
                streams.pop(stream, None)

    def _enforce_limits(self, workspace: str) -> None:
        """Forget the oldest stream beyond the limit of the workspace, then beyond the total one."""
        if self._count_by_workspace[workspace] > self.max_streams_per_workspace:
            self._drop(next(each for each in self._records if each.workspace == workspace))
        if len(self._records) > self.max_streams:
            self._drop(next(iter(self._records)))
