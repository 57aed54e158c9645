"""A replica's in-memory log: a snapshot and the entries after it."""

from __future__ import annotations

import attrs

from croftpulley.core.replication import messages


@attrs.define
class Log:
    """A snapshot and the entries after it.

    Entries are numbered from 1; those up to the snapshot's index are only in the snapshot.

    >>> log = Log()
    >>> log.replace_from(1, (messages.Entry(1, messages.EntryKind.START),))
    >>> log.last_index, log.term_at(1), log.term_at(2)
    (1, 1, None)
    """

    snapshot: messages.Snapshot = attrs.field(factory=messages.Snapshot)
    entries: list[messages.Entry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if it is compacted or not in the log yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def entry(self, index: int) -> messages.Entry:
        """Return an entry, which must be after the snapshot."""
        return self.entries[index - self.snapshot.index - 1]

    def entries_from(self, first_index: int, max_length: int) -> tuple[messages.Entry, ...]:
        """Return entries from ``first_index`` on with at most ``max_length`` payload characters.

        The first entry is returned even if it alone is longer.
        """
        chosen: list[messages.Entry] = []
        length = 0
        for entry in self.entries[first_index - self.snapshot.index - 1 :]:
            length += len(entry.payload)
            if chosen and length > max_length:
                break
            chosen.append(entry)
        return tuple(chosen)

    def replace_from(self, first_index: int, entries: tuple[messages.Entry, ...]) -> None:
        """Replace all entries from ``first_index`` on by ``entries``."""
        del self.entries[first_index - self.snapshot.index - 1 :]
        self.entries.extend(entries)

    def first_new_index(self, first_index: int, entries: tuple[messages.Entry, ...]) -> int | None:
        """Return the index of the first of ``entries`` that is missing here or conflicts.

        ``None`` if the log has all of them.
        """
        for position, entry in enumerate(entries):
            index = first_index + position
            if index <= self.snapshot.index:
                continue
            if self.term_at(index) != entry.term:
                return index
        return None

    def members(self) -> messages.Members:
        """Return the newest membership in the log, which is in effect as soon as it is appended."""
        for entry in reversed(self.entries):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members

    def members_index(self) -> int:
        """Return the index of the entry or snapshot with the newest membership."""
        for position in range(len(self.entries) - 1, -1, -1):
            if self.entries[position].members is not None:
                return self.snapshot.index + position + 1
        return self.snapshot.index

    def members_at(self, index: int) -> messages.Members:
        """Return the membership as of entry ``index``."""
        held = self.entries[: index - self.snapshot.index]
        for entry in reversed(held):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members

    def compact(self, snapshot: messages.Snapshot) -> None:
        """Replace the entries that ``snapshot`` covers by it.

        Entries after it are kept only if the log has the snapshot's last entry with the same term.
        A snapshot that is no newer than the log's own is ignored.
        """
        if snapshot.index <= self.snapshot.index:
            return
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.entries[snapshot.index - self.snapshot.index :]
        else:
            kept = []
        self.snapshot = snapshot
        self.entries = kept
