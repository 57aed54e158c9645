"""Delivery of committed entries to the state machine, and snapshots of its state."""

from __future__ import annotations

from croftpulley.core.replication import command_chunks, messages
from croftpulley.core.replication import state as states


class Applier:
    """Delivers committed entries, creates snapshots and installs those from the leader."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._delivered_index = state.log.snapshot.index
        self._assembler = command_chunks.CommandAssembler()
        self._installed: messages.Snapshot | None = None
        self.applied_index = state.log.snapshot.index
        """Index of the last delivered entry that leaves no command incomplete."""

    def install(self, snapshot: messages.Snapshot) -> None:
        """Replace the log by a complete snapshot received from the leader."""
        self._state.log.compact(snapshot)
        self._state.commit_index = snapshot.index
        self._delivered_index = snapshot.index
        self.applied_index = snapshot.index
        self._assembler.clear()
        self._installed = snapshot

    def take_installed(self) -> messages.Snapshot | None:
        """Return the leader's snapshot if one replaced this log since the last call, else ``None``.

        The caller must restore the state machine from it and rewrite the store before it applies
        the entries that `take_committed` returns.
        """
        installed, self._installed = self._installed, None
        return installed

    def take_committed(self) -> list[tuple[int, messages.Entry]]:
        """Return the committed entries that were not returned before, with their indexes.

        A command split over several entries is returned once, reassembled, with the index of its
        last entry.
        """
        taken: list[tuple[int, messages.Entry]] = []
        for index in range(self._delivered_index + 1, self._state.commit_index + 1):
            entry = self._assembler.add(self._state.log.entry(index))
            if entry is not None:
                taken.append((index, entry))
            if self._assembler.is_whole:
                # A snapshot must not end within a command that is split over several entries.
                self.applied_index = index
        self._delivered_index = self._state.commit_index
        return taken

    def snapshot(self, state: str) -> messages.Snapshot:
        """Compact the log and return the snapshot.

        ``state`` is the encoded state machine after all entries returned so far.
        """
        index = self.applied_index
        snapshot = messages.Snapshot(
            index=index,
            term=self._state.log.term_at(index) or 0,
            members=self._state.log.members_at(index),
            state=state,
        )
        self._state.log.compact(snapshot)
        return snapshot
