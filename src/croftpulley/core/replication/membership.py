"""Chooses the next membership change that a leader should make, if any.

Changes are made one at a time, and each adds, removes or replaces one replica. Replacing is safe
in one step only because the replaced id never acts again: a replica that lost its disk comes back
under a new id, and a replica that has no membership from a leader takes no part in elections.
"""

from __future__ import annotations

import attrs

from croftpulley.core.replication import messages

MIN_VOTERS = 3
"""Voters are never removed below this: with fewer, one more failure would lose the quorum."""
MAX_VOTERS = 7
"""More voters would slow every commit and tolerate more failures than any site requires."""


def with_learner(members: messages.Members, replica: str, address: str) -> messages.Members:
    """Return the membership with a new learner, which replaces any other at its address."""
    kept = [each for each in members.members if each.voter or each.address != address]
    return messages.Members((*kept, messages.Member(replica, address, voter=False)))


def with_promoted_learner(
    members: messages.Members, ready: tuple[messages.Member, ...], silent: frozenset[str]
) -> messages.Members | None:
    """Return the membership with one learner made a voter, or ``None`` if none should be.

    ``ready`` are the learners that have caught up, ``silent`` the ids that stopped answering. A
    learner replaces the voter at its own address, which has lost its disk, else a silent voter.
    Otherwise it is added, but only if that leads to an odd number of voters, since an even number
    tolerates no more failures than one fewer does.
    """
    voters = [each for each in members.members if each.voter]
    for learner in ready:
        same_address = [each for each in voters if each.address == learner.address]
        gone = [each for each in voters if each.replica in silent]
        for replaced in (*same_address, *gone):
            return _with_vote(members, learner, replaced)
    grows_to_odd = len(voters) % 2 == 0 or len(ready) > 1
    if ready and grows_to_odd and len(voters) < MAX_VOTERS:
        return _with_vote(members, ready[0], None)
    return None


def _with_vote(
    members: messages.Members, learner: messages.Member, replaced: messages.Member | None
) -> messages.Members:
    kept = [each for each in members.members if each not in (learner, replaced)]
    return messages.Members((*kept, attrs.evolve(learner, voter=True)))


def without_silent(members: messages.Members, silent: frozenset[str]) -> messages.Members | None:
    """Return the membership without one silent replica that isn't needed, or ``None``.

    Silent learners are removed, and silent voters if the number of voters is even, since that
    tolerates no more failures than one fewer does. A silent voter of an odd number stays: it may
    only be partitioned from the others, and returns with all that it acknowledged.
    """
    for each in members.members:
        if each.replica not in silent:
            continue
        surplus = len(members.voters) % 2 == 0 and len(members.voters) > MIN_VOTERS
        if not each.voter or surplus:
            return messages.Members(tuple(other for other in members.members if other != each))
    return None
