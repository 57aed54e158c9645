"""Index of the engines that have recently processed each prompt part, and so likely cache it.

Each router records where it sends prompt parts, and the leading control box distributes the notes
of all routers in the order in which they arrived. A note may be wrong, because an engine evicts
parts that aren't used for long. The prompt is then prefilled again, as it would have been without
the note.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Container, Iterable, Iterator, Mapping

import attrs

NotesByEngine = Mapping[str, tuple[str, ...]]
"""The part ids that were sent to each engine, by engine name: the form in which boxes exchange
notes."""

NOTE_TTL_S = 60.0
"""How long a note is valid. An engine that didn't get a part for this long has likely evicted
it."""
NOTE_REFRESH_S = 20.0
"""How often a note that is still valid is sent again."""
MAX_PARTS = 50_000
"""Limits the memory of a router to about 10 MB."""
MIN_PART_TOKENS = 300
"""Minimum size of a part to look for or to fetch. By the users' data sheets, shorter parts are
prefilled in less than 10 ms, which isn't worth a transfer from another engine."""
MAX_NOTES_PER_RESPONSE = 1000
"""Limits a response to about 12 KB of notes. A box that has just started gets the rest with its
next renewals, so that notes keep neither its link nor the one box that answers all renewals busy
while no box may serve yet."""
MAX_NOTES = 16_384
"""Notes that a control box keeps for routers that fall behind; older ones are soon out of date."""


@attrs.frozen
class Note:
    """Records that a prompt with this part was sent to this engine."""

    part_id: str
    engine: str


@attrs.define
class PromptPartIndex:
    """The engines that likely cache each prompt part, as one router knows them.

    The least recently noted part is evicted first.

    >>> index = PromptPartIndex()
    >>> index.record(Note("p", "e"), 0.0), index.record(Note("p", "e"), 1.0)
    (True, False)
    >>> index.holders("p", 1.0), index.holders("p", 100.0)
    (['e'], [])
    """

    _last_seen_s: collections.OrderedDict[str, dict[str, float]] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(self, note: Note, now_s: float) -> bool:
        """Record a note. Return whether it should be passed on to other routers."""
        engines = self._last_seen_s.setdefault(note.part_id, {})
        self._last_seen_s.move_to_end(note.part_id)
        if len(self._last_seen_s) > MAX_PARTS:
            self._last_seen_s.popitem(last=False)
        is_old = now_s - engines.get(note.engine, float("-inf")) > NOTE_REFRESH_S
        if is_old:
            engines[note.engine] = now_s
        return is_old

    def holders(self, part: str, now_s: float) -> list[str]:
        """Return the engines that likely cache a part."""
        engines = self._last_seen_s.get(part, {})
        return [engine for engine, seen_s in engines.items() if now_s - seen_s <= NOTE_TTL_S]

    def retain_engines(self, engines: Container[str]) -> None:
        """Drop all engines other than ``engines``."""
        for part, seen_s in list(self._last_seen_s.items()):
            kept_s = {engine: at_s for engine, at_s in seen_s.items() if engine in engines}
            if not kept_s:
                del self._last_seen_s[part]
            elif len(kept_s) < len(seen_s):
                self._last_seen_s[part] = kept_s

    def engines(self) -> set[str]:
        """Return the names of all engines that appear in the index."""
        return {engine for seen_s in self._last_seen_s.values() for engine in seen_s}


@attrs.frozen
class Page:
    """Consecutive notes of a log, and the number of the note that follows them."""

    notes: tuple[Note, ...]
    next_number: int


@attrs.define
class NoteLog:
    """The most recent notes of all routers, numbered in the order of their arrival."""

    next_number: int = 0
    _notes: collections.deque[Note] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_NOTES)
    )

    def append(self, notes: Iterable[Note]) -> None:
        """Append notes."""
        for note in notes:
            self._notes.append(note)
            self.next_number += 1

    def read_from(self, number: int, most: int = MAX_NOTES_PER_RESPONSE) -> Page:
        """Return up to ``most`` notes, oldest first, starting with note ``number``.

        If the log doesn't have that number, as with numbers of another leader, start with the
        oldest note.
        """
        first = self.next_number - len(self._notes)
        if not first <= number <= self.next_number:
            number = first
        newest = itertools.islice(reversed(self._notes), self.next_number - number)
        notes = tuple(newest)[::-1][:most]
        return Page(notes, number + len(notes))


def group_by_engine(notes: Iterable[Note]) -> NotesByEngine:
    """Group notes by engine for sending.

    >>> group_by_engine([Note("p", "e"), Note("q", "e")])
    {'e': ('p', 'q')}
    """
    parts: dict[str, list[str]] = {}
    for note in notes:
        parts.setdefault(note.engine, []).append(note.part_id)
    return {engine: tuple(named) for engine, named in parts.items()}


def iterate_notes(notes: NotesByEngine) -> Iterator[Note]:
    """Yield the notes that `group_by_engine` grouped."""
    for engine, parts in notes.items():
        for part in parts:
            yield Note(part, engine)
