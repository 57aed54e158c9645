"""What electing, following and leading share: the term, the vote, the role and the log."""

from __future__ import annotations

import enum
import random

import attrs

from croftpulley.core.replication import log as logs
from croftpulley.core.replication import messages, voting


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


class State:
    """One replica's part of the protocol that is on its disk, and its role, which is not."""

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
        self.voted_for = stored.voted_for
        self.role = Role.FOLLOWER
        self.leader = ""
        self.log = logs.Log(stored.snapshot, list(stored.entries))
        self.commit_index = stored.snapshot.index
        self.timing = timing
        self.hearing = voting.Hearing(timing.election_s, started_s=now_s)
        self.election_at_s = 0.0
        self.is_unknown_to_others = False
        self._chance = chance
        self.rest(now_s)

    @property
    def members(self) -> messages.Members:
        """The set of replicas as this one knows it."""
        return self.log.members()

    def rest(self, now_s: float) -> None:
        """Put the next election off by a random time."""
        self.election_at_s = now_s + self.hearing.pause_s(now_s, self._chance)

    def follow(self, term: int, leader: str, now_s: float) -> None:
        """Become a follower; a newer term has no vote yet."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
        if self.role is not Role.FOLLOWER:
            self.rest(now_s)
        self.role = Role.FOLLOWER
        self.leader = leader

    def save(
        self, effects: Effects, first_index: int = 0, entries: tuple[messages.Entry, ...] = ()
    ) -> None:
        """Add to the one write of these effects."""
        before = effects.write
        if before is not None and before.entries:
            first_index = before.first_index
            entries = before.entries + entries
        effects.write = messages.Write(
            self.term, self.voted_for, first_index or self.log.last_index + 1, entries
        )
