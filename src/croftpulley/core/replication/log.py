"""The part of the log that a replica holds in memory: a snapshot and the entries after it."""

from __future__ import annotations

import attrs

from croftpulley.core.replication import messages


@attrs.define
class Log:
    """Entries are numbered from 1; those up to the snapshot's index are only in the snapshot.

    >>> log = Log()
    >>> log.put(1, (messages.Entry(1, messages.EntryKind.START),))
    >>> log.last_index, log.term_at(1), log.term_at(2)
    (1, 1, None)
    """

    snapshot: messages.Snapshot = attrs.field(factory=messages.Snapshot)
    entries: list[messages.Entry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """The number of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if it is not known here."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def entry(self, index: int) -> messages.Entry:
        """Return an entry that is held."""
        return self.entries[index - self.snapshot.index - 1]

    def slice(self, first_index: int, length_limit: int) -> tuple[messages.Entry, ...]:
        """Return entries from ``first_index`` on: at least one, then as many as fit.

        ``length_limit`` counts the characters of their payloads.
        """
        chosen: list[messages.Entry] = []
        length = 0
        for entry in self.entries[first_index - self.snapshot.index - 1 :]:
            length += len(entry.payload)
            if chosen and length > length_limit:
                break
            chosen.append(entry)
        return tuple(chosen)

    def put(self, first_index: int, entries: tuple[messages.Entry, ...]) -> None:
        """Replace everything from ``first_index`` on."""
        del self.entries[first_index - self.snapshot.index - 1 :]
        self.entries.extend(entries)

    def new_among(self, first_index: int, entries: tuple[messages.Entry, ...]) -> int | None:
        """Return the index of the first of ``entries`` that the log lacks or contradicts."""
        for position, entry in enumerate(entries):
            index = first_index + position
            if index <= self.snapshot.index:
                continue
            if self.term_at(index) != entry.term:
                return index
        return None

    def members(self) -> messages.Members:
        """Return the newest set of replicas in the log; it counts from when it was appended."""
        for entry in reversed(self.entries):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members

    def members_index(self) -> int:
        """Return the index of the newest set of replicas."""
        for position in range(len(self.entries) - 1, -1, -1):
            if self.entries[position].members is not None:
                return self.snapshot.index + position + 1
        return self.snapshot.index

    def members_at(self, index: int) -> messages.Members:
        """Return the set of replicas as of entry ``index``."""
        held = self.entries[: index - self.snapshot.index]
        for entry in reversed(held):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members

    def compact(self, snapshot: messages.Snapshot) -> None:
        """Drop the entries that ``snapshot`` stands for; keep those after it if they fit."""
        if snapshot.index <= self.snapshot.index:
            return
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.entries[snapshot.index - self.snapshot.index :]
        else:
            kept = []
        self.snapshot = snapshot
        self.entries = kept
