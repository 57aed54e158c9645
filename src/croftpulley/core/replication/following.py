"""How a replica follows a leader: entries and snapshots that it is sent."""

from __future__ import annotations

from croftpulley.core.replication import applying, long_texts, messages
from croftpulley.core.replication import state as states


class Following:
    """Takes what a leader sends into the log."""

    def __init__(self, state: states.State, applied: applying.Applying) -> None:
        self._state = state
        self._applying = applied
        self._incoming = long_texts.IncomingSnapshot()

    def _hear(self, term: int, leader: str, now_s: float) -> bool:
        """Follow the leader of ``term`` unless it is an old one; return whether the term is new."""
        is_new = term > self._state.term
        self._state.follow(term, leader, now_s)
        self._state.hearing.heard(now_s)
        self._state.rest(now_s)
        self._state.is_unknown_to_others = False
        return is_new

    def on_append(self, request: messages.AppendRequest, now_s: float) -> states.Effects:
        """Take entries, or say from where the leader may go on."""
        effects = states.Effects()
        if request.term < self._state.term:
            effects.reply = self._append_reply(False, 0)
            return effects
        is_new_term = self._hear(request.term, request.leader, now_s)
        matches = self._state.log.term_at(request.previous_index) == request.previous_term
        behind_snapshot = request.previous_index < self._state.log.snapshot.index
        if not matches and not behind_snapshot:
            if is_new_term:
                self._state.save(effects)
            effects.reply = self._append_reply(False, self._hint(request.previous_index))
            return effects
        self._take_entries(request, is_new_term, effects)
        last_index = request.previous_index + len(request.entries)
        self._state.commit_index = max(
            self._state.commit_index, min(request.commit_index, last_index)
        )
        effects.reply = self._append_reply(True, last_index)
        return effects

    def _take_entries(
        self, request: messages.AppendRequest, is_new_term: bool, effects: states.Effects
    ) -> None:
        first_index = request.previous_index + 1
        new_index = self._state.log.new_among(first_index, request.entries)
        if new_index is not None:
            entries = request.entries[new_index - first_index :]
            self._state.log.put(new_index, entries)
            self._state.save(effects, new_index, entries)
        elif is_new_term:
            self._state.save(effects)

    def _hint(self, previous_index: int) -> int:
        """Return an index from which the leader may go on: before the term that contradicts."""
        if previous_index > self._state.log.last_index:
            return self._state.log.last_index
        term = self._state.log.term_at(previous_index)
        index = previous_index
        while index > self._state.log.snapshot.index and self._state.log.term_at(index) == term:
            index -= 1
        return index

    def on_snapshot(self, request: messages.SnapshotRequest, now_s: float) -> states.Effects:
        """Take a part of a snapshot."""
        effects = states.Effects()
        if request.term < self._state.term:
            effects.reply = self._snapshot_reply(request, 0)
            return effects
        if self._hear(request.term, request.leader, now_s):
            self._state.save(effects)
        if request.index <= self._state.commit_index:
            effects.reply = self._snapshot_reply(request, request.length)
            return effects
        snapshot = self._incoming.take(request)
        effects.reply = self._snapshot_reply(request, self._incoming.received)
        if snapshot is not None:
            self._applying.install(snapshot)
            self._incoming.clear()
            self._state.save(effects)
        return effects

    def _snapshot_reply(
        self, request: messages.SnapshotRequest, received: int
    ) -> messages.SnapshotReply:
        return messages.SnapshotReply(
            replica=self._state.id, term=self._state.term, index=request.index, received=received
        )

    def _append_reply(self, success: bool, match_index: int) -> messages.AppendReply:
        return messages.AppendReply(
            replica=self._state.id, term=self._state.term, success=success, match_index=match_index
        )
