"""What of the log has been committed, taken and applied, whole commands only."""

from __future__ import annotations

from croftpulley.core.replication import long_texts, messages
from croftpulley.core.replication import state as states


class Applying:
    """Hands out committed entries, and makes and takes snapshots."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._taken_index = state.log.snapshot.index
        self._assembly = long_texts.Assembly()
        self._installed: messages.Snapshot | None = None
        self.applied_index = state.log.snapshot.index
        """Up to which entry the caller has taken all commands whole."""

    def install(self, snapshot: messages.Snapshot) -> None:
        """Begin the log anew from a snapshot that has arrived whole."""
        self._state.log.compact(snapshot)
        self._state.commit_index = snapshot.index
        self._taken_index = snapshot.index
        self.applied_index = snapshot.index
        self._assembly.clear()
        self._installed = snapshot

    def take_installed(self) -> messages.Snapshot | None:
        """Return the leader's snapshot if one replaced this log since the last call.

        The caller restores the agreed state from it and writes the disk anew, before it applies
        what `take_committed` returns.
        """
        installed, self._installed = self._installed, None
        return installed

    def take_committed(self) -> list[tuple[int, messages.Entry]]:
        """Return the committed entries that were not taken yet, with their indexes.

        A command in several entries is returned whole, at the index of the last of them.
        """
        taken: list[tuple[int, messages.Entry]] = []
        for index in range(self._taken_index + 1, self._state.commit_index + 1):
            entry = self._assembly.take(self._state.log.entry(index))
            if entry is not None:
                taken.append((index, entry))
            if self._assembly.is_whole:
                # A snapshot must not stand for a part of a command.
                self.applied_index = index
        self._taken_index = self._state.commit_index
        return taken

    def snapshot(self, state: str) -> messages.Snapshot:
        """Compact the log; ``state`` is the agreed state after all entries taken so far."""
        index = self.applied_index
        snapshot = messages.Snapshot(
            index=index,
            term=self._state.log.term_at(index) or 0,
            members=self._state.log.members_at(index),
            state=state,
        )
        self._state.log.compact(snapshot)
        return snapshot
