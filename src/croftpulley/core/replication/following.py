"""Follower side of replication: entries and snapshots received from the leader."""

from __future__ import annotations

from croftpulley.core.replication import applying, command_chunks, messages
from croftpulley.core.replication import state as states


class Follower:
    """Handles the leader's append and snapshot requests."""

    def __init__(self, state: states.State, applier: applying.Applier) -> None:
        self._state = state
        self._applier = applier
        self._incoming = command_chunks.IncomingSnapshot()

    def _accept_leader(self, term: int, leader: str, now_s: float) -> bool:
        """Follow the leader of ``term``; return whether the term is newer than this replica's.

        The caller has rejected requests of older terms.
        """
        is_new = term > self._state.term
        self._state.become_follower(term, leader, now_s)
        self._state.leader_contact.record_contact(now_s)
        self._state.reset_election_timer(now_s)
        self._state.is_unknown_to_others = False
        return is_new

    def on_append(self, request: messages.AppendRequest, now_s: float) -> states.Effects:
        """Append the entries, or refuse them with an index from which the leader may retry."""
        effects = states.Effects()
        if request.term < self._state.term:
            effects.reply = self._append_reply(False, 0)
            return effects
        is_new_term = self._accept_leader(request.term, request.leader, now_s)
        matches = self._state.log.term_at(request.previous_index) == request.previous_term
        precedes_snapshot = request.previous_index < self._state.log.snapshot.index
        if not matches and not precedes_snapshot:
            if is_new_term:
                self._state.add_write(effects)
            effects.reply = self._append_reply(False, self._next_index_hint(request.previous_index))
            return effects
        self._store_entries(request, is_new_term, effects)
        last_index = request.previous_index + len(request.entries)
        self._state.commit_index = max(
            self._state.commit_index, min(request.commit_index, last_index)
        )
        effects.reply = self._append_reply(True, last_index)
        return effects

    def _store_entries(
        self, request: messages.AppendRequest, is_new_term: bool, effects: states.Effects
    ) -> None:
        first_index = request.previous_index + 1
        new_index = self._state.log.first_new_index(first_index, request.entries)
        if new_index is not None:
            entries = request.entries[new_index - first_index :]
            self._state.log.replace_from(new_index, entries)
            self._state.add_write(effects, new_index, entries)
        elif is_new_term:
            self._state.add_write(effects)

    def _next_index_hint(self, previous_index: int) -> int:
        """Return an index after which the leader may retry.

        That is the end of a log that is too short, else the last entry before the conflicting term.
        """
        if previous_index > self._state.log.last_index:
            return self._state.log.last_index
        term = self._state.log.term_at(previous_index)
        index = previous_index
        while index > self._state.log.snapshot.index and self._state.log.term_at(index) == term:
            index -= 1
        return index

    def on_snapshot(self, request: messages.SnapshotRequest, now_s: float) -> states.Effects:
        """Store a chunk of a snapshot; install the snapshot once it is complete."""
        effects = states.Effects()
        if request.term < self._state.term:
            effects.reply = self._snapshot_reply(request, 0)
            return effects
        if self._accept_leader(request.term, request.leader, now_s):
            self._state.add_write(effects)
        if request.index <= self._state.commit_index:
            effects.reply = self._snapshot_reply(request, request.length)
            return effects
        snapshot = self._incoming.add(request)
        effects.reply = self._snapshot_reply(request, self._incoming.received)
        if snapshot is not None:
            self._applier.install(snapshot)
            self._incoming.clear()
            self._state.add_write(effects)
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
