"""Leader side of replication: append requests, commits, membership changes, leader lease."""

from __future__ import annotations

from croftpulley.core.replication import command_chunks, membership, messages, progress
from croftpulley.core.replication import state as states

EXTRA_LOG_FACTOR_DURING_SNAPSHOT = 4
"""While a snapshot is being sent, the log may exceed its usual limit by this multiple of it."""


class Leader:
    """Replicates the log to the other replicas, commits entries and changes the membership."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._tracker = progress.ProgressTracker(state.id)
        self._term_start_index = 0
        self._leader_since_s = 0.0

    def become_leader(self, now_s: float, effects: states.Effects) -> None:
        """Become leader and append the `START` entry of the term."""
        self._state.role = states.Role.LEADER
        self._state.leader = self._state.id
        self._leader_since_s = now_s
        self._tracker.reset()
        self._append((self._new_entry(messages.EntryKind.START),), effects)
        self._term_start_index = self._state.log.last_index
        self._advance_commit_index()
        self._send_appends(now_s, effects, heartbeat=True)

    def should_compact(self, max_entries: int) -> bool:
        """Return whether the log should be compacted because it has more than ``max_entries``.

        The limit is several times higher while a snapshot is being sent. A replica that has just
        installed one needs the entries after it; otherwise it would be sent another snapshot and
        never catch up.
        """
        if self._state.role is states.Role.LEADER and self._tracker.is_sending_snapshot():
            max_entries *= 1 + EXTRA_LOG_FACTOR_DURING_SNAPSHOT
        return len(self._state.log.entries) > max_entries

    def leader_lease_until_s(self, now_s: float) -> float:
        """Return when the leader lease ends; until then no other replica can become leader.

        Returns ``-inf`` if this replica holds no lease. The lease starts when the newest requests
        were sent that a quorum has acknowledged: these voters followed this leader then and give
        no vote within ``election_s`` of it. Until the first entry of its term is committed, a
        leader may not know all that its predecessors committed, so it has no lease.
        """
        if (
            self._state.role is not states.Role.LEADER
            or self._state.commit_index < self._term_start_index
        ):
            return float("-inf")
        return (
            self._tracker.quorum_acknowledged_sent_s(self._state.members, now_s)
            + self._state.timing.election_s * self._state.timing.lease_fraction
        )

    def silent_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses of members that answered nothing within the reply timeout.

        Empty if this replica isn't the leader.
        """
        if self._state.role is not states.Role.LEADER:
            return ()
        silent = self._tracker.silent(now_s, self._state.timing.reply_timeout_s)
        return tuple(each.address for each in self._state.members.members if each.replica in silent)

    def tick(self, now_s: float, effects: states.Effects) -> None:
        """Send heartbeats and make a membership change that is due.

        A leader that has had no contact with a quorum for two election timeouts steps down instead.
        """
        quorum_contact_s = max(
            self._tracker.quorum_acknowledged_sent_s(self._state.members, now_s),
            self._leader_since_s,
        )
        if now_s - quorum_contact_s > 2 * self._state.timing.election_s:
            self._state.become_follower(self._state.term, "", now_s)
            return
        new_members = self._next_members(now_s)
        if new_members is not None:
            self._append(
                (self._new_entry(messages.EntryKind.MEMBERS, members=new_members),), effects
            )
            self._advance_commit_index()
        self._send_appends(now_s, effects, heartbeat=True)

    @property
    def _can_change_members(self) -> bool:
        """Whether the last membership change and the term's `START` entry are both committed."""
        newest = max(self._state.log.members_index(), self._term_start_index)
        return newest <= self._state.commit_index

    def _next_members(self, now_s: float) -> messages.Members | None:
        """Return the next membership, or ``None`` if no change is due or one is uncommitted."""
        if not self._can_change_members:
            return None
        members = self._state.members
        timing = self._state.timing
        ready = tuple(
            each
            for each in members.members
            if not each.voter
            and self._tracker.has_caught_up(
                each.replica, self._state.commit_index, now_s, within_s=timing.election_s
            )
        )
        silent = self._tracker.silent(now_s, timing.replace_after_s)
        gone = self._tracker.silent(now_s, timing.remove_after_s)
        new_members = membership.with_changed_votes(members, ready, silent)
        return new_members or membership.without_silent_learner(members, gone)

    def propose(self, payloads: list[str], now_s: float) -> tuple[states.Effects, tuple[int, ...]]:
        """Append commands and return the index of each command's last entry.

        There are no indexes if this replica isn't the leader.
        """
        effects = states.Effects()
        if self._state.role is not states.Role.LEADER:
            return effects, ()
        entries: list[messages.Entry] = []
        indexes: list[int] = []
        for payload in payloads:
            entries += self._command_entries(payload)
            indexes.append(self._state.log.last_index + len(entries))
        self._append(tuple(entries), effects)
        self._advance_commit_index()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects, tuple(indexes)

    def _command_entries(self, payload: str) -> list[messages.Entry]:
        *before, last = command_chunks.split(payload)
        kind = messages.EntryKind.COMMAND
        entries = [
            messages.Entry(self._state.term, kind, chunk, continues=True) for chunk in before
        ]
        return [*entries, messages.Entry(self._state.term, kind, last)]

    def admit(self, request: messages.JoinRequest, now_s: float) -> tuple[states.Effects, bool]:
        """Add a replica as a learner; return whether it is a member now."""
        effects = states.Effects()
        if self._state.role is not states.Role.LEADER:
            return effects, False
        if self._state.members.find(request.replica) is not None:
            return effects, True
        if not self._can_change_members:
            return effects, False
        new_members = membership.with_learner(self._state.members, request.replica, request.address)
        self._append((self._new_entry(messages.EntryKind.MEMBERS, members=new_members),), effects)
        self._advance_commit_index()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects, True

    def failed(self, replica: str, now_s: float) -> None:
        """Record that a request to ``replica`` failed, so that the next one may be sent."""
        peer = self._tracker.find(replica)
        if peer is not None:
            peer.in_flight = False

    def on_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply, sent_s: float, now_s: float
    ) -> states.Effects:
        """Update a replica's progress from its reply, and send what it lacks."""
        effects = states.Effects()
        if reply.term > self._state.term:
            self._state.become_follower(reply.term, "", now_s)
            self._state.add_write(effects)
            return effects
        peer = self._tracker.find(reply.replica)
        if (
            self._state.role is not states.Role.LEADER
            or peer is None
            or reply.term < self._state.term
        ):
            return effects
        peer.in_flight = False
        peer.record_acknowledgement(sent_s)
        if isinstance(reply, messages.SnapshotReply):
            peer.record_snapshot_reply(reply)
        elif reply.success:
            peer.record_match(reply.match_index)
        else:
            peer.next_index = max(1, min(peer.next_index - 1, reply.match_index + 1))
        self._advance_commit_index()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects

    def _new_entry(
        self, kind: messages.EntryKind, members: messages.Members | None = None
    ) -> messages.Entry:
        return messages.Entry(self._state.term, kind, members=members)

    def _append(self, entries: tuple[messages.Entry, ...], effects: states.Effects) -> None:
        first_index = self._state.log.last_index + 1
        self._state.log.replace_from(first_index, entries)
        self._state.add_write(effects, first_index, entries)

    def _advance_commit_index(self) -> None:
        """Commit the entries that a quorum holds, if the last of them is of the current term."""
        index = self._tracker.quorum_index(self._state.members, self._state.log.last_index)
        if index > self._state.commit_index and self._state.log.term_at(index) == self._state.term:
            self._state.commit_index = index

    def _send_appends(self, now_s: float, effects: states.Effects, *, heartbeat: bool) -> None:
        """Send to each replica that lacks entries or, with ``heartbeat``, is due for one.

        Replicas with a request in flight are skipped.
        """
        timing = self._state.timing
        self._tracker.set_members(self._state.members, self._state.log.last_index + 1, now_s)
        heartbeat_interval_s = timing.heartbeat_s if heartbeat else None
        due = self._tracker.claim_due(
            self._state.log.last_index, now_s, timing.reply_timeout_s, heartbeat_interval_s
        )
        for replica, peer in due:
            effects.sends.append(self._append_request(replica, peer))

    def _append_request(self, replica: str, peer: progress.Progress) -> messages.Request:
        previous_index = peer.next_index - 1
        previous_term = self._state.log.term_at(previous_index)
        if previous_term is None:
            return self._snapshot_request(replica, peer.current_snapshot(self._state.log.snapshot))
        return messages.AppendRequest(
            to=replica,
            term=self._state.term,
            leader=self._state.id,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=self._state.log.entries_from(peer.next_index, command_chunks.CHUNK_LENGTH),
            commit_index=self._state.commit_index,
        )

    def _snapshot_request(
        self, replica: str, outgoing: command_chunks.OutgoingSnapshot
    ) -> messages.SnapshotRequest:
        snapshot = outgoing.snapshot
        return messages.SnapshotRequest(
            to=replica,
            term=self._state.term,
            leader=self._state.id,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members,
            offset=outgoing.offset,
            length=len(snapshot.state),
            text=outgoing.text,
        )
