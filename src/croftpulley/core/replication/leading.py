"""How a replica leads: entries to the others, commits, changes of the set, and its authority."""

from __future__ import annotations

from croftpulley.core.replication import long_texts, membership, messages, progress
from croftpulley.core.replication import state as states

KEPT_FOR_SNAPSHOTS = 4
"""So many times the usual length of the log may be kept more while a replica is sent a snapshot."""


class Leading:
    """What a leader knows of the others and asks of them."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._others = progress.Others(state.id)
        self._start_index = 0
        self._leader_since_s = 0.0

    def begin(self, now_s: float, effects: states.Effects) -> None:
        """Begin a term with an entry of its own."""
        self._state.role = states.Role.LEADER
        self._state.leader = self._state.id
        self._leader_since_s = now_s
        self._others.forget()
        self._append((self._entry(messages.EntryKind.START),), effects)
        self._start_index = self._state.log.last_index
        self._advance()
        self._send_appends(now_s, effects, heartbeat=True)

    def is_long(self, most_entries: int) -> bool:
        """Tell whether the log should be compacted: it has more than ``most_entries``.

        While a snapshot is under way it may have several times as many, since a replica that has
        just got one needs the entries after it, or it would be sent another and never catch up.
        """
        if self._state.role is states.Role.LEADER and self._others.are_sent_snapshots():
            most_entries *= 1 + KEPT_FOR_SNAPSHOTS
        return len(self._state.log.entries) > most_entries

    def authority_until_s(self, now_s: float) -> float:
        """Return until when no other replica can have become leader, ``-inf`` if unknown.

        A quorum has followed this leader at the moment returned by its progress, and none of them
        gives a vote within ``election_s`` of it. Until the first entry of the term is committed a
        leader may not know all that its predecessors committed.
        """
        if (
            self._state.role is not states.Role.LEADER
            or self._state.commit_index < self._start_index
        ):
            return float("-inf")
        return (
            self._others.quorum_sent_s(self._state.members, now_s)
            + self._state.timing.election_s * self._state.timing.drift
        )

    def silent_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return where the members are reached that lately answered this leader nothing."""
        if self._state.role is not states.Role.LEADER:
            return ()
        silent = self._others.silent(now_s, self._state.timing.answer_s)
        return tuple(each.address for each in self._state.members.members if each.replica in silent)

    def tick(self, now_s: float, effects: states.Effects) -> None:
        """Send heartbeats, change the set if that is due, or step down without a quorum."""
        heard_s = max(self._others.quorum_sent_s(self._state.members, now_s), self._leader_since_s)
        if now_s - heard_s > 2 * self._state.timing.election_s:
            self._state.follow(self._state.term, "", now_s)
            return
        change = self._next_members(now_s)
        if change is not None:
            self._append((self._entry(messages.EntryKind.MEMBERS, members=change),), effects)
            self._advance()
        self._send_appends(now_s, effects, heartbeat=True)

    @property
    def _set_is_committed(self) -> bool:
        """Tell whether the set may change: the last change and this term's start are committed."""
        newest = max(self._state.log.members_index(), self._start_index)
        return newest <= self._state.commit_index

    def _next_members(self, now_s: float) -> messages.Members | None:
        """Return the next set, if one is due and the last change is committed."""
        if not self._set_is_committed:
            return None
        members = self._state.members
        timing = self._state.timing
        ready = tuple(
            each
            for each in members.members
            if not each.voter
            and self._others.has_caught_up(
                each.replica, self._state.commit_index, now_s, within_s=timing.election_s
            )
        )
        silent = self._others.silent(now_s, timing.silent_s)
        gone = self._others.silent(now_s, timing.gone_s)
        change = membership.promoted(members, ready, silent)
        return change or membership.without_silent(members, gone)

    def propose(self, payloads: list[str], now_s: float) -> tuple[states.Effects, tuple[int, ...]]:
        """Append commands; return the index of each one's last entry.

        There are no indexes where this replica does not lead.
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
        self._advance()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects, tuple(indexes)

    def _command_entries(self, payload: str) -> list[messages.Entry]:
        *before, last = long_texts.split(payload)
        kind = messages.EntryKind.COMMAND
        entries = [messages.Entry(self._state.term, kind, part, continues=True) for part in before]
        return [*entries, messages.Entry(self._state.term, kind, last)]

    def admit(self, request: messages.JoinRequest, now_s: float) -> tuple[states.Effects, bool]:
        """Take a replica in as a learner; return whether it is in the set now."""
        effects = states.Effects()
        if self._state.role is not states.Role.LEADER:
            return effects, False
        if self._state.members.find(request.replica) is not None:
            return effects, True
        if not self._set_is_committed:
            return effects, False
        change = membership.with_learner(self._state.members, request.replica, request.address)
        self._append((self._entry(messages.EntryKind.MEMBERS, members=change),), effects)
        self._advance()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects, True

    def failed(self, replica: str, now_s: float) -> None:
        """Note that a request to ``replica`` got no answer."""
        known = self._others.find(replica)
        if known is not None:
            known.in_flight = False

    def on_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply, sent_s: float, now_s: float
    ) -> states.Effects:
        """Note what another replica holds, and send it more."""
        effects = states.Effects()
        if reply.term > self._state.term:
            self._state.follow(reply.term, "", now_s)
            self._state.save(effects)
            return effects
        known = self._others.find(reply.replica)
        if (
            self._state.role is not states.Role.LEADER
            or known is None
            or reply.term < self._state.term
        ):
            return effects
        known.in_flight = False
        known.acknowledged(sent_s)
        if isinstance(reply, messages.SnapshotReply):
            known.received(reply)
        elif reply.success:
            known.holds(reply.match_index)
        else:
            known.next_index = max(1, min(known.next_index - 1, reply.match_index + 1))
        self._advance()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects

    def _entry(
        self, kind: messages.EntryKind, members: messages.Members | None = None
    ) -> messages.Entry:
        return messages.Entry(self._state.term, kind, members=members)

    def _append(self, entries: tuple[messages.Entry, ...], effects: states.Effects) -> None:
        first_index = self._state.log.last_index + 1
        self._state.log.put(first_index, entries)
        self._state.save(effects, first_index, entries)

    def _advance(self) -> None:
        """Commit what a quorum holds, if the newest of it is of this term."""
        index = self._others.quorum_index(self._state.members, self._state.log.last_index)
        if index > self._state.commit_index and self._state.log.term_at(index) == self._state.term:
            self._state.commit_index = index

    def _send_appends(self, now_s: float, effects: states.Effects, *, heartbeat: bool) -> None:
        """Send to each replica that is due and has no request under way."""
        timing = self._state.timing
        self._others.follow(self._state.members, self._state.log.last_index + 1, now_s)
        pause_s = timing.heartbeat_s if heartbeat else None
        due = self._others.take_due(self._state.log.last_index, now_s, timing.answer_s, pause_s)
        for replica, known in due:
            effects.sends.append(self._append_request(replica, known))

    def _append_request(self, replica: str, known: progress.Progress) -> messages.Request:
        previous_index = known.next_index - 1
        previous_term = self._state.log.term_at(previous_index)
        if previous_term is None:
            return self._snapshot_request(replica, known.snapshot_part(self._state.log.snapshot))
        return messages.AppendRequest(
            to=replica,
            term=self._state.term,
            leader=self._state.id,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=self._state.log.slice(known.next_index, long_texts.PART_LENGTH),
            commit_index=self._state.commit_index,
        )

    def _snapshot_request(
        self, replica: str, outgoing: long_texts.OutgoingSnapshot
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
