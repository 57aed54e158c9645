"""Where streams began: the pool and the version of software that wrote the first event; pure.

What endpoints of two versions write does not fit together, so a stream goes on only where it began,
within one answer and where its caller takes it up. The box that begins a stream remembers that, and
tells boxes of which any other box can work out the names (`core.peers`).
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

import attrs

KEPT_S = 60.0
"""How long beyond its route's time limit a stream is remembered: callers that take one up do so
within seconds, as their own users wait."""
KEPT_WHOLE_S = 10.0
"""The same where it ended whole here, if perhaps not at its caller."""
MOST_KEPT = 30_000
"""Streams that a box remembers, about 0.3 kB each; beyond that the oldest are forgotten."""
MOST_OF_WORKSPACE = MOST_KEPT // 2
"""Those of one workspace, so that it crowds out no other."""
_MOST_ORIGINS = 2
"""Remembered of one stream: the second says that its id was used twice."""
LONGEST_ID = 128
"""Characters of an id; a stream with a longer one is not remembered."""


@attrs.frozen
class Origin:
    """The pool of the endpoint that wrote a stream's first event, and its software's version."""

    pool: str
    version: str


@attrs.frozen
class StreamId:
    """A stream by its workspace and the id of the request that brought its first event."""

    workspace: str
    request_id: str


@attrs.frozen
class Told:
    """A stream as one box tells it to another; ``kept_s`` is for how long it is to be kept."""

    stream: StreamId
    origin: Origin
    kept_s: float


@attrs.define
class Record:
    """What is remembered of a stream: one origin, or two where two streams had its id."""

    origins: tuple[Origin, ...]
    until_s: float
    is_told: bool

    @property
    def origin(self) -> Origin | None:
        """Where it began; of two neither counts."""
        return self.origins[0] if len(self.origins) == 1 else None


def _as_told(stream: StreamId, record: Record, now_s: float) -> list[Told]:
    return [Told(stream, each, record.until_s - now_s) for each in record.origins]


@attrs.define
class Origins:
    """The streams that one box remembers, the one kept for longest without a word first.

    >>> kept, stream = Origins(), StreamId("clinic", "r-1")
    >>> kept.note(Told(stream, Origin("llm", "v1"), 60.0), 0.0)
    >>> kept.find(stream, 1.0).origin, kept.find(stream, 61.0)
    (Origin(pool='llm', version='v1'), None)
    >>> kept.note(Told(stream, Origin("llm", "v2"), 60.0), 2.0)
    >>> kept.find(stream, 3.0).origin is None
    True
    """

    most: int = MOST_KEPT
    most_of_workspace: int = MOST_OF_WORKSPACE
    _records: dict[StreamId, Record] = attrs.field(factory=dict)
    _of_workspace: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _untold: dict[str, dict[StreamId, None]] = attrs.field(factory=dict)
    """By pools: the streams that began here and that no other box was told of."""

    def __len__(self) -> int:
        return len(self._records)

    def note(self, told: Told, now_s: float, *, is_told: bool = True) -> None:
        """Remember a stream; one that is not told yet stays so until `take_untold`."""
        stream = told.stream
        if len(stream.request_id) > LONGEST_ID:
            return
        known = self.find(stream, now_s)
        origins = known.origins if known is not None else ()
        if told.origin not in origins:
            origins = (*origins, told.origin)[:_MOST_ORIGINS]
        self._drop(stream)
        self._records[stream] = Record(origins, now_s + told.kept_s, is_told)
        self._of_workspace[stream.workspace] += 1
        if not is_told:
            self._untold.setdefault(told.origin.pool, {})[stream] = None
        self._bound(stream.workspace)

    def find(self, stream: StreamId, now_s: float) -> Record | None:
        """Return what is remembered of a stream."""
        record = self._records.get(stream)
        return record if record is not None and now_s < record.until_s else None

    def ended_whole(self, stream: StreamId, now_s: float) -> None:
        """Keep a stream for a moment only, as its answer has ended whole here."""
        record = self._records.get(stream)
        if record is not None:
            record.until_s = min(record.until_s, now_s + KEPT_WHOLE_S)

    def take_untold(self, pools: Iterable[str], now_s: float) -> list[Told]:
        """Return the streams of pools that are yet to be told; they count as told from now on."""
        taken: list[Told] = []
        for pool in pools:
            for stream in self._untold.pop(pool, {}):
                record = self.find(stream, now_s)
                if record is not None:
                    record.is_told = True
                    taken += _as_told(stream, record, now_s)
        return taken

    def untold_pools(self) -> tuple[str, ...]:
        """Return the pools of which streams are yet to be told."""
        return tuple(self._untold)

    def told(self, now_s: float) -> Iterator[Told]:
        """Return all streams that some box was told of, or has told."""
        for stream, record in self._records.items():
            if record.is_told and now_s < record.until_s:
                yield from _as_told(stream, record, now_s)

    def forget(self, now_s: float) -> None:
        """Drop what is kept no longer."""
        for stream in [name for name, each in self._records.items() if each.until_s <= now_s]:
            self._drop(stream)

    def _drop(self, stream: StreamId) -> None:
        record = self._records.pop(stream, None)
        if record is None:
            return
        self._of_workspace[stream.workspace] -= 1
        if not self._of_workspace[stream.workspace]:
            del self._of_workspace[stream.workspace]
        if not record.is_told:
            for streams in self._untold.values():
                streams.pop(stream, None)

    def _bound(self, workspace: str) -> None:
        """Forget the oldest where there are too many, of the workspace or at all."""
        if self._of_workspace[workspace] > self.most_of_workspace:
            self._drop(next(each for each in self._records if each.workspace == workspace))
        if len(self._records) > self.most:
            self._drop(next(iter(self._records)))
