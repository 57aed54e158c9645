"""Where the parts of prompts lie: at the engines that lately read them.

Each router notes what it sends, and the leading control box passes the notes of all routers on in
the order in which they came. A note may be wrong (an engine drops what is not used for long): then
the prompt is read once more, where it would have been read anyway.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Container, Iterable, Iterator, Mapping

import attrs

Notes = Mapping[str, tuple[str, ...]]
"""Which parts each engine was sent, by its name; the form in which boxes tell each other."""

KEPT_S = 60.0
"""An engine that has not been seen with a part for so long has likely dropped it."""
REFRESH_S = 20.0
"""How often a note that is still true is sent again."""
MOST_PARTS = 50_000
"""Bounds the memory of a router: about 10 MB."""
LEAST_TOKENS = 300
"""Shorter parts are read in less than 10 ms, by the users' sheets; nobody need look for them or
fetch them from another engine."""
NOTES_AN_ANSWER = 1000
"""About 12 KB: a box that has just started gets the rest with its next renewals, so that neither
its link nor the one box that answers all is busy with notes while nobody may serve yet."""
MOST_NOTES = 16_384
"""Notes that a control box keeps for routers that come late; older ones are soon out of date."""


@attrs.frozen
class Note:
    """A prompt with this part was sent to this engine."""

    part: str
    engine: str


@attrs.define
class Places:
    """What one router knows, oldest first.

    >>> places = Places()
    >>> places.note(Note("p", "e"), 0.0), places.note(Note("p", "e"), 1.0)
    (True, False)
    >>> places.holders("p", 1.0), places.holders("p", 100.0)
    (['e'], [])
    """

    _seen_s: collections.OrderedDict[str, dict[str, float]] = attrs.field(
        factory=collections.OrderedDict
    )

    def note(self, note: Note, now_s: float) -> bool:
        """Take a note; return whether others should have it too."""
        engines = self._seen_s.setdefault(note.part, {})
        self._seen_s.move_to_end(note.part)
        if len(self._seen_s) > MOST_PARTS:
            self._seen_s.popitem(last=False)
        is_old = now_s - engines.get(note.engine, float("-inf")) > REFRESH_S
        if is_old:
            engines[note.engine] = now_s
        return is_old

    def holders(self, part: str, now_s: float) -> list[str]:
        """Return the engines that likely hold a part."""
        engines = self._seen_s.get(part, {})
        return [engine for engine, seen_s in engines.items() if now_s - seen_s <= KEPT_S]

    def keep(self, engines: Container[str]) -> None:
        """Forget all other engines."""
        for part, seen_s in list(self._seen_s.items()):
            kept_s = {engine: at_s for engine, at_s in seen_s.items() if engine in engines}
            if not kept_s:
                del self._seen_s[part]
            elif len(kept_s) < len(seen_s):
                self._seen_s[part] = kept_s

    def engines(self) -> set[str]:
        """Return all engines of which a note is held."""
        return {engine for seen_s in self._seen_s.values() for engine in seen_s}


@attrs.frozen
class Page:
    """Some notes in the order in which they came, and the number of the first after them."""

    notes: tuple[Note, ...]
    next_number: int


@attrs.define
class Bulletin:
    """The notes of all routers, numbered in the order in which they came."""

    next_number: int = 0
    _notes: collections.deque[Note] = attrs.field(
        factory=lambda: collections.deque(maxlen=MOST_NOTES)
    )

    def post(self, notes: Iterable[Note]) -> None:
        """Add notes."""
        for note in notes:
            self._notes.append(note)
            self.next_number += 1

    def since(self, number: int, most: int = NOTES_AN_ANSWER) -> Page:
        """Return up to ``most`` notes from ``number`` on, the oldest of them first.

        For a number of another leader it begins with the first note that there is.
        """
        first = self.next_number - len(self._notes)
        if not first <= number <= self.next_number:
            number = first
        newest = itertools.islice(reversed(self._notes), self.next_number - number)
        notes = tuple(newest)[::-1][:most]
        return Page(notes, number + len(notes))


def by_engine(notes: Iterable[Note]) -> Notes:
    """Gather notes for sending.

    >>> by_engine([Note("p", "e"), Note("q", "e")])
    {'e': ('p', 'q')}
    """
    parts: dict[str, list[str]] = {}
    for note in notes:
        parts.setdefault(note.engine, []).append(note.part)
    return {engine: tuple(named) for engine, named in parts.items()}


def each_note(notes: Notes) -> Iterator[Note]:
    """Take apart what `by_engine` gathered."""
    for engine, parts in notes.items():
        for part in parts:
            yield Note(part, engine)
