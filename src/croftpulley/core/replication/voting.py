"""Rules for giving and counting votes.

A voter gives no vote for a while after contact with a leader; the leader lease relies on that. A
voter that has just restarted no longer knows which leader it followed. Its vote is therefore
conditional: it counts only if every voter votes for the candidate. The last leader is then one of
them, and a leader that votes for another replica has no lease any more. So after a restart of all
processes, a new leader can be elected before the previous lease could have expired.
"""

from __future__ import annotations

import random

import attrs

from croftpulley.core.replication import messages

RESTART_TIMEOUT_FACTOR = 0.15
"""Shortens the election timeout of a replica that has just started. In the benchmark a vote takes
about 10 ms, far less than this fraction of the 450 ms timeout."""
RESTART_PERIOD_TIMEOUTS = 2.0
"""The shortened timeout applies for this many election timeouts after a start."""


@attrs.define
class LeaderContact:
    """When a replica started, and its last contact with a leader since (``None``: none yet).

    >>> contact = LeaderContact(election_s=1.0, started_s=5.0)
    >>> contact.may_vote(5.5), contact.may_vote_conditionally, contact.may_vote(6.0)
    (False, True, True)
    >>> contact.record_contact(6.0)
    >>> contact.may_vote(6.5), contact.may_vote_conditionally
    (False, False)
    """

    election_s: float
    started_s: float
    last_contact_s: float | None = None

    def record_contact(self, now_s: float) -> None:
        """Record a message from a leader."""
        self.last_contact_s = now_s

    def may_vote(self, now_s: float) -> bool:
        """Return whether no leader lease can rely on this voter any more."""
        since_s = self.started_s if self.last_contact_s is None else self.last_contact_s
        return now_s - since_s >= self.election_s

    @property
    def may_vote_conditionally(self) -> bool:
        """Whether a conditional vote may be given: there was no leader contact since the start."""
        return self.last_contact_s is None

    def election_timeout_s(self, now_s: float, rng: random.Random) -> float:
        """Return the time until the next candidacy, randomized to make split votes rare."""
        recently_started = (
            self.last_contact_s is None
            and now_s - self.started_s < RESTART_PERIOD_TIMEOUTS * self.election_s
        )
        min_timeout_s = self.election_s * (RESTART_TIMEOUT_FACTOR if recently_started else 1.0)
        return min_timeout_s * (1 + rng.random())


@attrs.define
class Ballot:
    """The votes for one candidate in one pre-vote or election.

    >>> members = messages.Members(tuple(messages.Member(name, "") for name in "abc"))
    >>> ballot = Ballot()
    >>> ballot.add("a", unconditional=False)
    >>> ballot.add("b", unconditional=True)
    >>> ballot.is_won(members)
    False
    >>> ballot.add("c", unconditional=False)
    >>> ballot.is_won(members)
    True
    """

    _unconditional: set[str] = attrs.field(factory=set)
    _conditional: set[str] = attrs.field(factory=set)

    def add(self, voter: str, *, unconditional: bool) -> None:
        """Add a vote; one that isn't ``unconditional`` counts only if all voters vote."""
        (self._unconditional if unconditional else self._conditional).add(voter)

    def is_won(self, members: messages.Members) -> bool:
        """Return whether a quorum voted unconditionally, or all voters voted."""
        voters = set(members.voters)
        all_voted = voters <= self._unconditional | self._conditional
        return all_voted or len(self._unconditional & voters) >= members.quorum
