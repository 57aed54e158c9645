"""What a replica may promise by its vote, and how a candidate counts the votes it gets.

A voter that follows a leader gives no vote for a while: the leader counts on that for its
authority. A voter that has only just started has forgotten whom it followed. Its vote is therefore
given on a condition: it counts only if every voter agrees. Then the last leader is among them, and
a leader that votes for another has no authority any more. So after a loss of all processes a new
leader need not wait until every old promise has run out.
"""

from __future__ import annotations

import random

import attrs

from croftpulley.core.replication import messages

FRESH_PAUSE_PART = 0.15
"""How long a replica that has just started waits between its candidacies, as a part of an election
timeout; by the bench a vote takes about 10 ms there, far less than this part of 450 ms."""
FRESH_TIMEOUTS = 2.0
"""After so many election timeouts without a leader a replica paces itself like any other."""


@attrs.define
class Hearing:
    """When a replica started, and when it last heard a leader since.

    >>> hearing = Hearing(election_s=1.0, started_s=5.0)
    >>> hearing.may_vote(5.5), hearing.may_vote_if_all, hearing.may_vote(6.0)
    (False, True, True)
    >>> hearing.heard(6.0)
    >>> hearing.may_vote(6.5), hearing.may_vote_if_all
    (False, False)
    """

    election_s: float
    started_s: float
    heard_s: float | None = None

    def heard(self, now_s: float) -> None:
        """Note a message of a leader."""
        self.heard_s = now_s

    def may_vote(self, now_s: float) -> bool:
        """Tell whether no leader can count on this replica any more."""
        since_s = self.started_s if self.heard_s is None else self.heard_s
        return now_s - since_s >= self.election_s

    @property
    def may_vote_if_all(self) -> bool:
        """Tell whether a vote may be given that counts only together with all others."""
        return self.heard_s is None

    def pause_s(self, now_s: float, chance: random.Random) -> float:
        """Return how long to wait before the next candidacy: random, so that few coincide."""
        fresh = self.heard_s is None and now_s - self.started_s < FRESH_TIMEOUTS * self.election_s
        least_s = self.election_s * (FRESH_PAUSE_PART if fresh else 1.0)
        return least_s * (1 + chance.random())


@attrs.define
class Ballot:
    """The votes for one candidate in one trial or election.

    >>> members = messages.Members(tuple(messages.Member(name, "") for name in "abc"))
    >>> ballot = Ballot()
    >>> ballot.add("a", firm=False), ballot.add("b", firm=True), ballot.is_won(members)
    (None, None, False)
    >>> ballot.add("c", firm=False), ballot.is_won(members)
    (None, True)
    """

    _firm: set[str] = attrs.field(factory=set)
    _if_all: set[str] = attrs.field(factory=set)

    def add(self, voter: str, *, firm: bool) -> None:
        """Count a vote; one that is not ``firm`` counts only if all voters give theirs."""
        (self._firm if firm else self._if_all).add(voter)

    def is_won(self, members: messages.Members) -> bool:
        """Tell whether a quorum voted without a condition, or everyone voted."""
        voters = set(members.voters)
        everyone = voters <= self._firm | self._if_all
        return everyone or len(self._firm & voters) >= members.quorum
