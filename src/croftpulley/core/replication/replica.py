"""One replica: elections, replication and commits, without I/O or a clock of its own."""

from __future__ import annotations

import random

from croftpulley.core.replication import applying, electing, following, leading, messages
from croftpulley.core.replication import log as logs
from croftpulley.core.replication import state as states


class Replica:
    """A replica; methods that handle an event take the time and return `state.Effects`.

    A caller whose disk write fails must discard the replica and create a new one from the disk.
    """

    def __init__(
        self,
        replica: str,
        stored: messages.Stored,
        timing: states.Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._state = states.State(replica, stored, timing, rng, now_s)
        self._applier = applying.Applier(self._state)
        self._follower = following.Follower(self._state, self._applier)
        self._leader = leading.Leader(self._state)
        self._elector = electing.Elector(self._state, self._leader.become_leader)

    @property
    def id(self) -> str:
        """This replica's id; a replica that lost its disk gets a new one."""
        return self._state.id

    @property
    def term(self) -> int:
        """The newest term that it knows."""
        return self._state.term

    @property
    def role(self) -> states.Role:
        """Its current role."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The id of the current term's leader, empty if unknown."""
        return self._state.leader

    @property
    def log(self) -> logs.Log:
        """Its log."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry that it knows to be committed."""
        return self._state.commit_index

    @property
    def members(self) -> messages.Members:
        """The newest membership in its log."""
        return self._state.members

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in its own membership."""
        return self.id in self.members.voters

    @property
    def must_join(self) -> bool:
        """Whether this replica should ask the leader to be added as a member."""
        return self.members.find(self.id) is None or self._state.is_unknown_to_others

    @property
    def applied_index(self) -> int:
        """Index of the last delivered entry that leaves no command incomplete."""
        return self._applier.applied_index

    def should_compact(self, max_entries: int) -> bool:
        """Return whether the log should be compacted (`leading.Leader.should_compact`)."""
        return self._leader.should_compact(max_entries)

    def leader_address(self) -> str:
        """Return the address of the current term's leader, empty if unknown."""
        member = self.members.find(self.leader)
        return member.address if member else ""

    def leader_lease_until_s(self, now_s: float) -> float:
        """Return when the leader lease ends, ``-inf`` without one.

        Until then no other replica can become leader (`leading.Leader.leader_lease_until_s`).
        """
        return self._leader.leader_lease_until_s(now_s)

    def silent_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses of members that stopped answering; empty if not the leader."""
        return self._leader.silent_addresses(now_s)

    def tick(self, now_s: float) -> states.Effects:
        """Run what is due: heartbeats, elections, stepping down, membership changes."""
        effects = states.Effects()
        if self.role is states.Role.LEADER:
            self._leader.tick(now_s, effects)
        elif now_s >= self._state.election_due_s and self.is_voter:
            self._elector.start_pre_vote(now_s, effects)
        return effects

    def handle_request(self, request: messages.Request, now_s: float) -> states.Effects:
        """Handle another replica's request.

        The effects are empty if the request is addressed to another id.
        """
        if request.to != self.id:
            return states.Effects()
        match request:
            case messages.VoteRequest():
                return self._elector.on_request(request, now_s)
            case messages.AppendRequest():
                return self._follower.on_append(request, now_s)
            case messages.SnapshotRequest():
                return self._follower.on_snapshot(request, now_s)

    def handle_reply(self, reply: messages.Reply, sent_s: float, now_s: float) -> states.Effects:
        """Handle the reply to a request that was sent at ``sent_s``."""
        match reply:
            case messages.VoteReply():
                return self._elector.on_reply(reply, now_s)
            case messages.AppendReply() | messages.SnapshotReply():
                return self._leader.on_reply(reply, sent_s, now_s)

    def failed(self, replica: str, now_s: float) -> None:
        """Record that a request to ``replica`` failed."""
        self._leader.failed(replica, now_s)

    def propose(self, payloads: list[str], now_s: float) -> tuple[states.Effects, tuple[int, ...]]:
        """Append commands (`leading.Leader.propose`)."""
        return self._leader.propose(payloads, now_s)

    def admit(self, request: messages.JoinRequest, now_s: float) -> tuple[states.Effects, bool]:
        """Add a replica as a learner; return whether it is a member now."""
        return self._leader.admit(request, now_s)

    def take_installed(self) -> messages.Snapshot | None:
        """Return the leader's snapshot if one replaced this log since the last call.

        `applying.Applier.take_installed` says what the caller must do with it.
        """
        return self._applier.take_installed()

    def take_committed(self) -> list[tuple[int, messages.Entry]]:
        """Return the committed entries that were not returned before, with their indexes."""
        return self._applier.take_committed()

    def snapshot(self, state: str) -> messages.Snapshot:
        """Compact the log and return the snapshot (`applying.Applier.snapshot`)."""
        return self._applier.snapshot(state)

    def stored(self) -> messages.Stored:
        """Return the complete persistent state, for a rewrite of the store."""
        state = self._state
        return messages.Stored(
            state.term, state.voted_for, state.log.snapshot, tuple(state.log.entries)
        )
