"""Which change of the replica set a leader should make next, if any.

Changes are made one at a time, and each adds, removes or replaces one replica. Replacing is safe
in one step only because the replaced id never acts again: a replica that lost its disk comes back
under a new id, and a replica without its leader's set takes no part in elections.
"""

from __future__ import annotations

import attrs

from croftpulley.core.replication import messages

FEWEST_VOTERS = 3
"""A set is never shrunk below this: with fewer, one loss more would stop it."""
MOST_VOTERS = 7
"""More would slow every commit and bear more losses than any site asks for."""


def with_learner(members: messages.Members, replica: str, address: str) -> messages.Members:
    """Return the set with a new learner in place of any other learner at its address."""
    kept = [each for each in members.members if each.voter or each.address != address]
    return messages.Members((*kept, messages.Member(replica, address, voter=False)))


def promoted(
    members: messages.Members, ready: tuple[messages.Member, ...], silent: frozenset[str]
) -> messages.Members | None:
    """Return the set in which a learner that has caught up has a vote, or ``None``.

    ``ready`` are the learners that have caught up. One takes the place of the voter at its own
    address, whose disk is gone, else of a voter that is silent. Else it is one more, but only
    towards an odd number, since an even set bears no more losses than one fewer.
    """
    voters = [each for each in members.members if each.voter]
    for learner in ready:
        same_address = [each for each in voters if each.address == learner.address]
        gone = [each for each in voters if each.replica in silent]
        for replaced in (*same_address, *gone):
            return _with_vote(members, learner, replaced)
    grows_to_odd = len(voters) % 2 == 0 or len(ready) > 1
    if ready and grows_to_odd and len(voters) < MOST_VOTERS:
        return _with_vote(members, ready[0], None)
    return None


def _with_vote(
    members: messages.Members, learner: messages.Member, replaced: messages.Member | None
) -> messages.Members:
    kept = [each for each in members.members if each not in (learner, replaced)]
    return messages.Members((*kept, attrs.evolve(learner, voter=True)))


def without_silent(members: messages.Members, silent: frozenset[str]) -> messages.Members | None:
    """Return the set without a silent replica that it does not need, or ``None``.

    An even number of voters bears no more losses than one fewer does. A silent voter of an odd
    set stays: it may only be cut off, and comes back with all that it acknowledged.
    """
    for each in members.members:
        if each.replica not in silent:
            continue
        surplus = len(members.voters) % 2 == 0 and len(members.voters) > FEWEST_VOTERS
        if not each.voter or surplus:
            return messages.Members(tuple(other for other in members.members if other != each))
    return None
