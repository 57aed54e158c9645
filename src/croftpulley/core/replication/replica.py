"""One replica of the log: elections, replication and commits, without I/O or clock."""

from __future__ import annotations

import random

from croftpulley.core.replication import applying, electing, following, leading, messages
from croftpulley.core.replication import log as logs
from croftpulley.core.replication import state as states


class Replica:
    """A replica; every method takes the time and returns `state.Effects`.

    A caller whose disk refuses a write must drop the replica and make a new one from the disk.
    """

    def __init__(
        self,
        replica: str,
        stored: messages.Stored,
        timing: states.Timing,
        chance: random.Random,
        now_s: float,
    ) -> None:
        self._state = states.State(replica, stored, timing, chance, now_s)
        self._applying = applying.Applying(self._state)
        self._following = following.Following(self._state, self._applying)
        self._leading = leading.Leading(self._state)
        self._electing = electing.Electing(self._state, self._leading.begin)

    @property
    def id(self) -> str:
        """This replica's name, another one after the loss of its disk."""
        return self._state.id

    @property
    def term(self) -> int:
        """The newest term that it has heard of."""
        return self._state.term

    @property
    def role(self) -> states.Role:
        """What it does at the moment."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The leader of the term as last heard, empty if unknown."""
        return self._state.leader

    @property
    def log(self) -> logs.Log:
        """Its log."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Up to which entry it knows that a quorum holds all."""
        return self._state.commit_index

    @property
    def members(self) -> messages.Members:
        """The set of replicas as this one knows it."""
        return self._state.members

    @property
    def is_voter(self) -> bool:
        """Tell whether this replica has a vote in its own set."""
        return self.id in self.members.voters

    @property
    def must_join(self) -> bool:
        """Tell whether this replica should ask to be taken in."""
        return self.members.find(self.id) is None or self._state.is_unknown_to_others

    @property
    def applied_index(self) -> int:
        """Up to which entry the caller has taken all commands whole."""
        return self._applying.applied_index

    def is_long(self, most_entries: int) -> bool:
        """Tell whether the log should be compacted (`leading.Leading.is_long`)."""
        return self._leading.is_long(most_entries)

    def leader_address(self) -> str:
        """Return the address of the leader as last heard, empty if unknown."""
        member = self.members.find(self.leader)
        return member.address if member else ""

    def authority_until_s(self, now_s: float) -> float:
        """Return until when no other replica can have become leader, ``-inf`` if unknown."""
        return self._leading.authority_until_s(now_s)

    def silent_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return where the members are reached that lately answered this leader nothing."""
        return self._leading.silent_addresses(now_s)

    def tick(self, now_s: float) -> states.Effects:
        """Do what the time asks for: heartbeats, elections, stepping down, membership."""
        effects = states.Effects()
        if self.role is states.Role.LEADER:
            self._leading.tick(now_s, effects)
        elif now_s >= self._state.election_at_s and self.is_voter:
            self._electing.start_trial(now_s, effects)
        return effects

    def receive(self, request: messages.Request, now_s: float) -> states.Effects:
        """Handle a request of another replica; without a reply it was not for this one."""
        if request.to != self.id:
            return states.Effects()
        match request:
            case messages.VoteRequest():
                return self._electing.on_request(request, now_s)
            case messages.AppendRequest():
                return self._following.on_append(request, now_s)
            case messages.SnapshotRequest():
                return self._following.on_snapshot(request, now_s)

    def reply(self, reply: messages.Reply, sent_s: float, now_s: float) -> states.Effects:
        """Handle the answer to a request that was sent at ``sent_s``."""
        match reply:
            case messages.VoteReply():
                return self._electing.on_reply(reply, now_s)
            case messages.AppendReply() | messages.SnapshotReply():
                return self._leading.on_reply(reply, sent_s, now_s)

    def failed(self, replica: str, now_s: float) -> None:
        """Note that a request to ``replica`` got no answer."""
        self._leading.failed(replica, now_s)

    def propose(self, payloads: list[str], now_s: float) -> tuple[states.Effects, tuple[int, ...]]:
        """Append commands (`leading.Leading.propose`)."""
        return self._leading.propose(payloads, now_s)

    def admit(self, request: messages.JoinRequest, now_s: float) -> tuple[states.Effects, bool]:
        """Take a replica in as a learner; return whether it is in the set now."""
        return self._leading.admit(request, now_s)

    def take_installed(self) -> messages.Snapshot | None:
        """Return the leader's snapshot if one replaced this log since the last call."""
        return self._applying.take_installed()

    def take_committed(self) -> list[tuple[int, messages.Entry]]:
        """Return the committed entries that were not taken yet (`applying.Applying`)."""
        return self._applying.take_committed()

    def snapshot(self, state: str) -> messages.Snapshot:
        """Compact the log; ``state`` is the agreed state after all entries taken so far."""
        return self._applying.snapshot(state)

    def stored(self) -> messages.Stored:
        """Return all that the disk must hold when it is written anew."""
        state = self._state
        return messages.Stored(
            state.term, state.voted_for, state.log.snapshot, tuple(state.log.entries)
        )
