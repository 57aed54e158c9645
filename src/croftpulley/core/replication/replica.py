"""One replica of the log: elections, replication and commits, without I/O or clock."""

from __future__ import annotations

import enum
import random

import attrs

from croftpulley.core.replication import log as logs
from croftpulley.core.replication import long_texts, membership, messages, progress, voting

KEPT_FOR_SNAPSHOTS = 4
"""So many times the usual length of the log may be kept more while a replica is sent a snapshot."""


class Role(enum.Enum):
    """What a replica does at the moment."""

    FOLLOWER = "follower"
    TRIAL = "trial"
    """Asks whether there would be votes, without starting a term."""
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class Timing:
    """How long a replica waits for what, in seconds.

    ``election_s``: a voter gives no vote within this of hearing a leader, and asks for votes after
    one to two times it. ``drift``: what part of it a leader counts on for its authority, so that
    steady clocks may run apart by the rest. ``silent_s``: a replica unheard of for so long may be
    replaced; ``gone_s``: one that the set does not need may be removed.
    """

    election_s: float = 0.45
    heartbeat_s: float = 0.1
    answer_s: float = 0.5
    drift: float = 0.8
    silent_s: float = 2.0
    gone_s: float = 6.0


@attrs.define
class Effects:
    """What the caller must do, in this order: write and sync, then send, answer and apply."""

    write: messages.Write | None = None
    sends: list[messages.Request] = attrs.field(factory=list)
    reply: messages.Reply | None = None


class Replica:
    """A replica; every method takes the time and returns `Effects`.

    A caller whose disk refuses a write must drop the replica and make a new one from the disk.
    """

    def __init__(
        self,
        replica: str,
        stored: messages.Stored,
        timing: Timing,
        chance: random.Random,
        now_s: float,
    ) -> None:
        self.id = replica
        self.term = stored.term
        self.role = Role.FOLLOWER
        self.leader = ""
        self.log = logs.Log(stored.snapshot, list(stored.entries))
        self.commit_index = stored.snapshot.index
        self._taken_index = stored.snapshot.index
        self._applied_index = stored.snapshot.index
        self._assembly = long_texts.Assembly()
        self._incoming = long_texts.IncomingSnapshot()
        self._voted_for = stored.voted_for
        self._timing = timing
        self._chance = chance
        self._hearing = voting.Hearing(timing.election_s, started_s=now_s)
        self._ballot = voting.Ballot()
        self._election_at_s = 0.0
        self._rest(now_s)
        self._others = progress.Others(replica)
        self._start_index = 0
        self._leader_since_s = 0.0
        self._installed: messages.Snapshot | None = None
        self._unknown_to_others = False

    @property
    def members(self) -> messages.Members:
        """The set of replicas as this one knows it."""
        return self.log.members()

    @property
    def is_voter(self) -> bool:
        """Tell whether this replica has a vote in its own set."""
        return self.id in self.members.voters

    @property
    def must_join(self) -> bool:
        """Tell whether this replica should ask to be taken in."""
        return self.members.find(self.id) is None or self._unknown_to_others

    @property
    def applied_index(self) -> int:
        """Up to which entry the caller has taken all commands whole."""
        return self._applied_index

    def is_long(self, most_entries: int) -> bool:
        """Tell whether the log should be compacted: it has more than ``most_entries``.

        While a snapshot is under way it may have several times as many, since a replica that has
        just got one needs the entries after it, or it would be sent another and never catch up.
        """
        if self.role is Role.LEADER and self._others.are_sent_snapshots():
            most_entries *= 1 + KEPT_FOR_SNAPSHOTS
        return len(self.log.entries) > most_entries

    def leader_address(self) -> str:
        """Return the address of the leader as last heard, empty if unknown."""
        member = self.members.find(self.leader)
        return member.address if member else ""

    def authority_until_s(self, now_s: float) -> float:
        """Return until when no other replica can have become leader, ``-inf`` if unknown.

        A quorum has followed this leader at the moment returned by its progress, and none of them
        gives a vote within ``election_s`` of it. Until the first entry of the term is committed a
        leader may not know all that its predecessors committed.
        """
        if self.role is not Role.LEADER or self.commit_index < self._start_index:
            return float("-inf")
        return (
            self._others.quorum_sent_s(self.members, now_s)
            + self._timing.election_s * self._timing.drift
        )

    # --- time ---------------------------------------------------------------------------------

    def tick(self, now_s: float) -> Effects:
        """Do what the time asks for: heartbeats, elections, stepping down, membership."""
        effects = Effects()
        if self.role is Role.LEADER:
            self._lead(now_s, effects)
        elif now_s >= self._election_at_s and self.is_voter:
            self._start_trial(now_s, effects)
        return effects

    def _lead(self, now_s: float, effects: Effects) -> None:
        heard_s = max(self._others.quorum_sent_s(self.members, now_s), self._leader_since_s)
        if now_s - heard_s > 2 * self._timing.election_s:
            self._follow(self.term, "", now_s)
            return
        change = self._next_members(now_s)
        if change is not None:
            self._append((self._entry(messages.EntryKind.MEMBERS, members=change),), effects)
            self._advance()
        self._send_appends(now_s, effects, heartbeat=True)

    def _next_members(self, now_s: float) -> messages.Members | None:
        """Return the next set, if one is due and the last change is committed."""
        if self.log.members_index() > self.commit_index or self.commit_index < self._start_index:
            return None
        members = self.members
        timing = self._timing
        ready = tuple(
            each
            for each in members.members
            if not each.voter
            and self._others.has_caught_up(
                each.replica, self.commit_index, now_s, within_s=timing.election_s
            )
        )
        silent = self._others.silent(now_s, timing.silent_s)
        gone = self._others.silent(now_s, timing.gone_s)
        change = membership.promoted(members, ready, silent)
        return change or membership.without_silent(members, gone)

    # --- elections ----------------------------------------------------------------------------

    def _rest(self, now_s: float) -> None:
        """Put the next election off by a random time."""
        self._election_at_s = now_s + self._hearing.pause_s(now_s, self._chance)

    def _start_trial(self, now_s: float, effects: Effects) -> None:
        self._rest(now_s)
        self.role = Role.TRIAL
        self.leader = ""
        self._open_ballot(now_s)
        self._ask_for_votes(self.term + 1, trial=True, effects=effects)
        self._count_votes(now_s, effects)

    def _start_election(self, now_s: float, effects: Effects) -> None:
        self._rest(now_s)
        self.role = Role.CANDIDATE
        self.term += 1
        self._voted_for = self.id
        self._open_ballot(now_s)
        self._save(effects)
        self._ask_for_votes(self.term, trial=False, effects=effects)
        self._count_votes(now_s, effects)

    def _open_ballot(self, now_s: float) -> None:
        """Begin to count, with this replica's own vote."""
        self._ballot = voting.Ballot()
        self._ballot.add(self.id, firm=self._hearing.may_vote(now_s))

    def _ask_for_votes(self, term: int, *, trial: bool, effects: Effects) -> None:
        for voter in self.members.voters:
            if voter != self.id:
                effects.sends.append(
                    messages.VoteRequest(
                        to=voter,
                        term=term,
                        candidate=self.id,
                        last_index=self.log.last_index,
                        last_term=self.log.last_term,
                        trial=trial,
                    )
                )

    def _count_votes(self, now_s: float, effects: Effects) -> None:
        if not self._ballot.is_won(self.members):
            return
        if self.role is Role.TRIAL:
            self._start_election(now_s, effects)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now_s, effects)

    def _become_leader(self, now_s: float, effects: Effects) -> None:
        self.role = Role.LEADER
        self.leader = self.id
        self._leader_since_s = now_s
        self._others.forget()
        self._append((self._entry(messages.EntryKind.START),), effects)
        self._start_index = self.log.last_index
        self._advance()
        self._send_appends(now_s, effects, heartbeat=True)

    def _on_vote_request(self, request: messages.VoteRequest, now_s: float) -> Effects:
        effects = Effects()
        agrees = self._would_vote(request)
        granted = agrees and self._hearing.may_vote(now_s)
        if_all = agrees and not granted and self._hearing.may_vote_if_all
        if (granted or if_all) and not request.trial:
            if request.term > self.term:
                self._follow(request.term, "", now_s)
            self._voted_for = request.candidate
            self._rest(now_s)
            self._save(effects)
        effects.reply = messages.VoteReply(
            voter=self.id,
            term=self.term,
            granted=granted,
            if_all=if_all,
            trial=request.trial,
            member=self.members.find(request.candidate) is not None,
        )
        return effects

    def _would_vote(self, request: messages.VoteRequest) -> bool:
        """Tell whether this replica would vote so, were it not for what it may have promised.

        Nothing of a request is taken up while a leader is heard, not even its term: a replica that
        was cut off must not end the leader's term when it comes back.
        """
        if self.role is Role.LEADER or request.term < self.term:
            return False
        ours = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < ours:
            return False
        if request.trial:
            return request.term > self.term
        return request.term > self.term or self._voted_for in ("", request.candidate)

    def _on_vote_reply(self, reply: messages.VoteReply, now_s: float) -> Effects:
        effects = Effects()
        if not reply.member:
            self._unknown_to_others = True
        if reply.term > self.term and not reply.granted:
            self._follow(reply.term, "", now_s)
            self._save(effects)
            return effects
        expected = Role.TRIAL if reply.trial else Role.CANDIDATE
        # A reply to an earlier candidacy says nothing of this one.
        current = reply.trial or reply.term == self.term
        if (reply.granted or reply.if_all) and self.role is expected and current:
            self._ballot.add(reply.voter, firm=reply.granted)
            self._count_votes(now_s, effects)
        return effects

    def _follow(self, term: int, leader: str, now_s: float) -> None:
        """Become a follower; a newer term has no vote yet."""
        if term > self.term:
            self.term = term
            self._voted_for = ""
        if self.role is not Role.FOLLOWER:
            self._rest(now_s)
        self.role = Role.FOLLOWER
        self.leader = leader

    # --- following ----------------------------------------------------------------------------

    def receive(self, request: messages.Request, now_s: float) -> Effects:
        """Handle a request of another replica; without a reply it was not for this one."""
        if request.to != self.id:
            return Effects()
        match request:
            case messages.VoteRequest():
                return self._on_vote_request(request, now_s)
            case messages.AppendRequest():
                return self._on_append(request, now_s)
            case messages.SnapshotRequest():
                return self._on_snapshot(request, now_s)

    def _hear(self, term: int, leader: str, now_s: float) -> bool:
        """Follow the leader of ``term`` unless it is an old one; return whether the term is new."""
        is_new = term > self.term
        self._follow(term, leader, now_s)
        self._hearing.heard(now_s)
        self._rest(now_s)
        self._unknown_to_others = False
        return is_new

    def _on_append(self, request: messages.AppendRequest, now_s: float) -> Effects:
        effects = Effects()
        if request.term < self.term:
            effects.reply = self._append_reply(False, 0)
            return effects
        is_new_term = self._hear(request.term, request.leader, now_s)
        matches = self.log.term_at(request.previous_index) == request.previous_term
        behind_snapshot = request.previous_index < self.log.snapshot.index
        if not matches and not behind_snapshot:
            if is_new_term:
                self._save(effects)
            effects.reply = self._append_reply(False, self._hint(request.previous_index))
            return effects
        self._take_entries(request, is_new_term, effects)
        last_index = request.previous_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.commit_index, last_index))
        effects.reply = self._append_reply(True, last_index)
        return effects

    def _take_entries(
        self, request: messages.AppendRequest, is_new_term: bool, effects: Effects
    ) -> None:
        first_index = request.previous_index + 1
        new_index = self.log.new_among(first_index, request.entries)
        if new_index is not None:
            entries = request.entries[new_index - first_index :]
            self.log.put(new_index, entries)
            self._save(effects, new_index, entries)
        elif is_new_term:
            self._save(effects)

    def _hint(self, previous_index: int) -> int:
        """Return an index from which the leader may go on: before the term that contradicts."""
        if previous_index > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(previous_index)
        index = previous_index
        while index > self.log.snapshot.index and self.log.term_at(index) == term:
            index -= 1
        return index

    def _on_snapshot(self, request: messages.SnapshotRequest, now_s: float) -> Effects:
        effects = Effects()
        if request.term < self.term:
            effects.reply = self._snapshot_reply(request, 0)
            return effects
        if self._hear(request.term, request.leader, now_s):
            self._save(effects)
        if request.index <= self.commit_index:
            effects.reply = self._snapshot_reply(request, request.length)
            return effects
        snapshot = self._incoming.take(request)
        effects.reply = self._snapshot_reply(request, self._incoming.received)
        if snapshot is not None:
            self._install(snapshot)
            self._save(effects)
        return effects

    def _install(self, snapshot: messages.Snapshot) -> None:
        """Begin the log anew from a snapshot that has arrived whole."""
        self.log.compact(snapshot)
        self.commit_index = snapshot.index
        self._taken_index = snapshot.index
        self._applied_index = snapshot.index
        self._assembly.clear()
        self._incoming.clear()
        self._installed = snapshot

    def _snapshot_reply(
        self, request: messages.SnapshotRequest, received: int
    ) -> messages.SnapshotReply:
        return messages.SnapshotReply(
            replica=self.id, term=self.term, index=request.index, received=received
        )

    def _append_reply(self, success: bool, match_index: int) -> messages.AppendReply:
        return messages.AppendReply(
            replica=self.id, term=self.term, success=success, match_index=match_index
        )

    # --- leading ------------------------------------------------------------------------------

    def propose(self, payloads: list[str], now_s: float) -> tuple[Effects, tuple[int, ...]]:
        """Append commands; return the index of each one's last entry.

        There are no indexes where this replica does not lead.
        """
        effects = Effects()
        if self.role is not Role.LEADER:
            return effects, ()
        entries: list[messages.Entry] = []
        indexes: list[int] = []
        for payload in payloads:
            entries += self._command_entries(payload)
            indexes.append(self.log.last_index + len(entries))
        self._append(tuple(entries), effects)
        self._advance()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects, tuple(indexes)

    def _command_entries(self, payload: str) -> list[messages.Entry]:
        *before, last = long_texts.split(payload)
        kind = messages.EntryKind.COMMAND
        entries = [messages.Entry(self.term, kind, part, continues=True) for part in before]
        return [*entries, messages.Entry(self.term, kind, last)]

    def admit(self, request: messages.JoinRequest, now_s: float) -> tuple[Effects, bool]:
        """Take a replica in as a learner; return whether it is in the set now."""
        effects = Effects()
        if self.role is not Role.LEADER:
            return effects, False
        if self.members.find(request.replica) is not None:
            return effects, True
        if self.log.members_index() > self.commit_index or self.commit_index < self._start_index:
            return effects, False
        change = membership.with_learner(self.members, request.replica, request.address)
        self._append((self._entry(messages.EntryKind.MEMBERS, members=change),), effects)
        self._advance()
        self._send_appends(now_s, effects, heartbeat=False)
        return effects, True

    def reply(self, reply: messages.Reply, sent_s: float, now_s: float) -> Effects:
        """Handle the answer to a request that was sent at ``sent_s``."""
        match reply:
            case messages.VoteReply():
                return self._on_vote_reply(reply, now_s)
            case messages.AppendReply() | messages.SnapshotReply():
                return self._on_progress(reply, sent_s, now_s)

    def failed(self, replica: str, now_s: float) -> None:
        """Note that a request to ``replica`` got no answer."""
        known = self._others.find(replica)
        if known is not None:
            known.in_flight = False

    def _on_progress(
        self, reply: messages.AppendReply | messages.SnapshotReply, sent_s: float, now_s: float
    ) -> Effects:
        effects = Effects()
        if reply.term > self.term:
            self._follow(reply.term, "", now_s)
            self._save(effects)
            return effects
        known = self._others.find(reply.replica)
        if self.role is not Role.LEADER or known is None or reply.term < self.term:
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
        return messages.Entry(self.term, kind, members=members)

    def _append(self, entries: tuple[messages.Entry, ...], effects: Effects) -> None:
        first_index = self.log.last_index + 1
        self.log.put(first_index, entries)
        self._save(effects, first_index, entries)

    def _save(
        self, effects: Effects, first_index: int = 0, entries: tuple[messages.Entry, ...] = ()
    ) -> None:
        """Add to the one write of these effects."""
        before = effects.write
        if before is not None and before.entries:
            first_index = before.first_index
            entries = before.entries + entries
        effects.write = messages.Write(
            self.term, self._voted_for, first_index or self.log.last_index + 1, entries
        )

    def _advance(self) -> None:
        """Commit what a quorum holds, if the newest of it is of this term."""
        index = self._others.quorum_index(self.members, self.log.last_index)
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def _send_appends(self, now_s: float, effects: Effects, *, heartbeat: bool) -> None:
        """Send to each replica that is due and has no request under way."""
        timing = self._timing
        self._others.follow(self.members, self.log.last_index + 1, now_s)
        pause_s = timing.heartbeat_s if heartbeat else None
        due = self._others.take_due(self.log.last_index, now_s, timing.answer_s, pause_s)
        for replica, known in due:
            effects.sends.append(self._append_request(replica, known))

    def _append_request(self, replica: str, known: progress.Progress) -> messages.Request:
        previous_index = known.next_index - 1
        previous_term = self.log.term_at(previous_index)
        if previous_term is None:
            return self._snapshot_request(replica, known.snapshot_part(self.log.snapshot))
        return messages.AppendRequest(
            to=replica,
            term=self.term,
            leader=self.id,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=self.log.slice(known.next_index, long_texts.PART_LENGTH),
            commit_index=self.commit_index,
        )

    def _snapshot_request(
        self, replica: str, outgoing: long_texts.OutgoingSnapshot
    ) -> messages.SnapshotRequest:
        snapshot = outgoing.snapshot
        return messages.SnapshotRequest(
            to=replica,
            term=self.term,
            leader=self.id,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members,
            offset=outgoing.offset,
            length=len(snapshot.state),
            text=outgoing.text,
        )

    # --- applying -----------------------------------------------------------------------------

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
        for index in range(self._taken_index + 1, self.commit_index + 1):
            entry = self._assembly.take(self.log.entry(index))
            if entry is not None:
                taken.append((index, entry))
            if self._assembly.is_whole:
                # A snapshot must not stand for a part of a command.
                self._applied_index = index
        self._taken_index = self.commit_index
        return taken

    def snapshot(self, state: str) -> messages.Snapshot:
        """Compact the log; ``state`` is the agreed state after all entries taken so far."""
        index = self._applied_index
        snapshot = messages.Snapshot(
            index=index,
            term=self.log.term_at(index) or 0,
            members=self.log.members_at(index),
            state=state,
        )
        self.log.compact(snapshot)
        return snapshot

    def stored(self) -> messages.Stored:
        """Return all that the disk must hold when it is written anew."""
        return messages.Stored(
            self.term, self._voted_for, self.log.snapshot, tuple(self.log.entries)
        )
