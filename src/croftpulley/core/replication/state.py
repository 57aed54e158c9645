"""State shared by elections, followers and leaders: the term, the vote, the role and the log."""

from __future__ import annotations

import enum
import random

import attrs

from croftpulley.core.replication import log as logs
from croftpulley.core.replication import messages, voting


class Role(enum.Enum):
    """A replica's current role."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"
    """Holds a pre-vote: asks whether an election could be won, without starting a new term."""
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class Timing:
    """Timeouts and intervals of a replica, in seconds.

    ``election_s``: the election timeout. A voter gives no vote for this long after contact with a
    leader, and starts an election after one to two times as long. ``lease_fraction``: the part of
    ``election_s`` that a leader lease lasts; the rest allows for monotonic clocks that run at
    different rates. ``reply_timeout_s``: how long a request in flight holds back the next one.
    ``replace_after_s``: a voter silent for this long may be replaced by a learner, or loses its
    vote if the number of voters is even. ``remove_after_s``: a learner silent for this long is
    removed.
    """

    election_s: float = 0.45
    heartbeat_s: float = 0.1
    reply_timeout_s: float = 0.5
    lease_fraction: float = 0.8
    replace_after_s: float = 2.0
    remove_after_s: float = 6.0


@attrs.define
class Effects:
    """What the caller must do, in this order: write and sync; then send, reply and apply."""

    write: messages.Write | None = None
    sends: list[messages.Request] = attrs.field(factory=list)
    reply: messages.Reply | None = None


class State:
    """A replica's persistent state, and its volatile state such as the role."""

    def __init__(
        self,
        replica: str,
        stored: messages.Stored,
        timing: Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.id = replica
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = Role.FOLLOWER
        self.leader = ""
        self.log = logs.Log(stored.snapshot, list(stored.entries))
        self.commit_index = stored.snapshot.index
        self.timing = timing
        self.leader_contact = voting.LeaderContact(timing.election_s, started_s=now_s)
        self.election_due_s = 0.0
        self.is_unknown_to_others = False
        self._rng = rng
        self.reset_election_timer(now_s)

    @property
    def members(self) -> messages.Members:
        """The newest membership in the log."""
        return self.log.members()

    def reset_election_timer(self, now_s: float) -> None:
        """Restart the election timer with a random timeout."""
        self.election_due_s = now_s + self.leader_contact.election_timeout_s(now_s, self._rng)

    def become_follower(self, term: int, leader: str, now_s: float) -> None:
        """Become a follower of ``leader``, empty if unknown; a newer term resets the vote."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
        if self.role is not Role.FOLLOWER:
            self.reset_election_timer(now_s)
        self.role = Role.FOLLOWER
        self.leader = leader

    def add_write(
        self, effects: Effects, first_index: int = 0, entries: tuple[messages.Entry, ...] = ()
    ) -> None:
        """Add the term, the vote and ``entries`` to the single write of these effects."""
        pending = effects.write
        if pending is not None and pending.entries:
            first_index = pending.first_index
            entries = pending.entries + entries
        effects.write = messages.Write(
            self.term, self.voted_for, first_index or self.log.last_index + 1, entries
        )
