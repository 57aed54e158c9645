"""What a router remembers of each endpoint from its own requests, by the endpoint's life.

This is the one place for it: when a life ends, all that is remembered of it goes at once, and what
is still heard of it (an answer to a request sent before, a note on its way) changes nothing. Only
what an endpoint said of itself is kept while the list lacks it: a list may lack an endpoint that
goes on, and show it again as if it had said nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set

import attrs

from croftpulley.core import outcomes, places, told_load, trust, window, withdrawal


@attrs.define
class Record:
    """One life: requests in flight, prompt tokens still to be read, how requests ended, and what
    the endpoint said of itself.
    """

    in_flight: int = 0
    reading_tokens: int = 0
    trust: trust.Trust = attrs.field(factory=trust.Trust)
    ended_well: int = 0
    ended_badly: int = 0
    withdrawal: withdrawal.Withdrawal = attrs.field(factory=withdrawal.Withdrawal)
    window: window.Window = attrs.field(factory=window.Window)
    told: told_load.ToldLoad | None = None
    told_at_s: float = float("-inf")

    def told_present(self, now_s: float) -> int:
        """Return how many requests the endpoint told that it has, 0 once that says nothing more."""
        if self.told is None or now_s >= self.told_at_s + told_load.FRESH_S:
            return 0
        return self.told.present

    @property
    def is_blank(self) -> bool:
        """Tell whether it says no more than a new one would."""
        counted = self.in_flight or self.reading_tokens or self.ended_well or self.ended_badly
        spoken = not (self.withdrawal.is_blank and self.window.is_blank)
        return not counted and self.trust.is_blank and not spoken and self.told is None

    @property
    def is_full(self) -> bool:
        """Tell whether the endpoint should get no more than it has of this box."""
        return not self.window.admits(self.in_flight)


@attrs.define
class Records:
    """All records of a router, and where the parts of prompts lie.

    Before the first list (`keep`) every key is taken for a life; after it only those listed are.

    >>> records = Records()
    >>> records.change("w@1", lambda record: record.trust.failed(0.0))
    >>> records.keep({"w@2"}, 1.0)
    >>> records.change("w@1", lambda record: record.trust.failed(9.0))
    >>> records.get("w@1") is None, records.note(places.Note("part", "w@1"), 9.0)
    (True, False)
    """

    _records: dict[str, Record] = attrs.field(factory=dict)
    _places: places.Places = attrs.field(factory=places.Places)
    _new_notes: list[places.Note] = attrs.field(factory=list)
    _listed: frozenset[str] | None = None

    def keep(self, listed: Iterable[str], now_s: float) -> None:
        """Take the keys of all lives that are listed; forget what the others did."""
        keys = frozenset(listed)
        ended = (self._listed or frozenset()) - keys
        if self._listed is not None and not ended:
            self._listed = keys
            return
        self._listed = keys
        self._records = {
            key: each if key in keys else Record(withdrawal=each.withdrawal)
            for key, each in self._records.items()
            if key in keys or each.withdrawal.outlasts_list(now_s)
        }
        self._places.keep(keys)
        self._new_notes = [note for note in self._new_notes if note.engine in keys]

    def is_life(self, key: str) -> bool:
        """Tell whether a key may name a life that goes on."""
        return self._listed is None or key in self._listed

    def get(self, key: str) -> Record | None:
        """Return the record of a life, ``None`` where there is nothing to say of it."""
        return self._records.get(key)

    def change(self, key: str, change: Callable[[Record], None]) -> None:
        """Change the record of a life that goes on; one that becomes blank is dropped."""
        if not self.is_life(key):
            return
        record = self._records.setdefault(key, Record())
        change(record)
        if record.is_blank:
            del self._records[key]

    def in_flight(self) -> dict[str, int]:
        """Return what is not 0 of requests in flight."""
        return {key: each.in_flight for key, each in self._records.items() if each.in_flight}

    def reading_tokens(self) -> dict[str, int]:
        """Return what is not 0 of prompt tokens still to be read."""
        told = self._records.items()
        return {key: each.reading_tokens for key, each in told if each.reading_tokens}

    def take_outcomes(self) -> outcomes.Counts:
        """Return how requests ended since the last call, well and badly."""
        taken: dict[str, tuple[int, int]] = {}
        for key, record in list(self._records.items()):
            if not (record.ended_well or record.ended_badly):
                continue
            taken[key] = (record.ended_well, record.ended_badly)
            record.ended_well = record.ended_badly = 0
            if record.is_blank:
                del self._records[key]
        return taken

    def hear(self, key: str, notice: withdrawal.Notice, now_s: float) -> withdrawal.Heard:
        """Take what an endpoint says of itself, listed or not; return what of it is news."""
        record = self._records.setdefault(key, Record())
        if notice.rest_s and not record.withdrawal.binds(now_s):
            record.window.turned_away(record.in_flight, now_s)
        return record.withdrawal.hear(notice, now_s)

    def hear_load(self, key: str, told: told_load.ToldLoad, now_s: float) -> None:
        """Take what an endpoint tells of its load."""
        if self.is_life(key):
            record = self._records.setdefault(key, Record())
            record.told = told
            record.told_at_s = now_s

    def sent(self, key: str, now_s: float) -> None:
        """Note that a request has left for an endpoint."""
        record = self._records.get(key)
        if record is not None and record.withdrawal.binds(now_s):
            record.withdrawal.sent_since += 1

    def end_rests(self, now_s: float) -> list[withdrawal.Ended]:
        """Forget the rests that are over and return them, and old bounds."""
        over = []
        for key, record in list(self._records.items()):
            record.window.forget(now_s)
            if now_s >= record.told_at_s + told_load.FRESH_S:
                record.told = None
            ended = record.withdrawal.end_rest(now_s)
            if ended is not None:
                over.append(withdrawal.Ended(key, *ended))
            is_kept = self.is_life(key) or record.withdrawal.outlasts_list(now_s)
            if record.is_blank or not is_kept:
                del self._records[key]
        return over

    def withdrawn(self, now_s: float) -> dict[str, withdrawal.Withdrawal]:
        """Return copies of what those said that want no requests now."""
        return {
            key: attrs.evolve(each.withdrawal)
            for key, each in self._records.items()
            if each.withdrawal.binds(now_s)
        }

    def resting_s(self, now_s: float) -> dict[str, float]:
        """Return for how long endpoints want no requests that asked for rest."""
        left = {key: each.withdrawal.rest_until_s - now_s for key, each in self._records.items()}
        return {key: round(left_s, 1) for key, left_s in left.items() if left_s > 0}

    def said_leaving(self) -> set[str]:
        """Return the lives that said that they leave."""
        return {key for key, each in self._records.items() if each.withdrawal.leaves}

    def note(self, note: places.Note, now_s: float) -> bool:
        """Take a note on where a part lies; return whether others should have it too."""
        return self.is_life(note.engine) and self._places.note(note, now_s)

    def note_own(self, note: places.Note, now_s: float) -> None:
        """Take a note of one's own, which others get if it is news."""
        if self.note(note, now_s):
            self._new_notes.append(note)

    def take_notes(self) -> places.Notes:
        """Return the notes of one's own since the last call."""
        taken, self._new_notes = self._new_notes, []
        return places.by_engine(taken)

    def give_back_notes(self, notes: places.Notes) -> None:
        """Take back notes that reached nobody, but for those of lives that have ended."""
        returned = [note for note in places.each_note(notes) if self.is_life(note.engine)]
        self._new_notes = [*returned, *self._new_notes]

    def holders(self, part: str, now_s: float) -> list[str]:
        """Return the engines that likely hold a part."""
        return self._places.holders(part, now_s)

    def present(self) -> Set[str]:
        """Return the keys of the lives that have a record."""
        return self._records.keys()

    def keys(self) -> set[str]:
        """Return every key of which anything is remembered."""
        noted = self._places.engines() | {note.engine for note in self._new_notes}
        return noted | set(self._records)
