"""Chooses the next membership change that a leader should make, if any.

Changes are made one at a time, and each adds or removes at most one vote. So any majority before a
change and any majority after it have a voter in common, whichever replicas are silent, restart or
come back in between. A voter is replaced in two changes: its successor gets a vote first, and then
it loses its own.
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


def with_changed_votes(
    members: messages.Members, ready: tuple[messages.Member, ...], silent: frozenset[str]
) -> messages.Members | None:
    """Return the membership with one vote more or less, or ``None`` if none should change.

    ``ready`` are the learners that have caught up, ``silent`` the ids that stopped answering.
    Learners get a vote if that leads to an odd number of voters, since an even number tolerates no
    more failures than one fewer does, or if a voter is to be replaced. A voter that is to be
    replaced loses its vote once the number is even. A silent voter of an odd number stays as long
    as nobody is ready: it may only be partitioned, and returns with all that it acknowledged.
    """
    voters = [each for each in members.members if each.voter]
    lost = _with_lost_disk(voters, ready)
    gone = [*lost, *(each for each in voters if each.replica in silent and each not in lost)]
    is_even = len(voters) % 2 == 0
    may_grow = bool(ready) and len(voters) < MAX_VOTERS and (is_even or len(ready) > 1)
    if is_even and gone and len(voters) > MIN_VOTERS and (lost or not may_grow):
        return _without(members, gone[0])
    if may_grow or (ready and gone and not is_even):
        return _with_vote(members, _first_promoted(ready, voters))
    return None


def _with_lost_disk(
    voters: list[messages.Member], ready: tuple[messages.Member, ...]
) -> list[messages.Member]:
    """Return the voters whose address another replica has now: their disks are lost."""
    newer = [*voters, *ready]
    return [
        each
        for position, each in enumerate(voters)
        if any(other.address == each.address for other in newer[position + 1 :])
    ]


def _first_promoted(
    ready: tuple[messages.Member, ...], voters: list[messages.Member]
) -> messages.Member:
    """Return the learner that should get a vote first: one at the address of a voter, if any."""
    addresses = {each.address for each in voters}
    return next((each for each in ready if each.address in addresses), ready[0])


def _with_vote(members: messages.Members, learner: messages.Member) -> messages.Members:
    kept = _without(members, learner)
    return messages.Members((*kept.members, attrs.evolve(learner, voter=True)))


def _without(members: messages.Members, removed: messages.Member) -> messages.Members:
    return messages.Members(tuple(each for each in members.members if each != removed))


def without_silent_learner(
    members: messages.Members, silent: frozenset[str]
) -> messages.Members | None:
    """Return the membership without one silent learner, or ``None`` if there is none."""
    for each in members.members:
        if not each.voter and each.replica in silent:
            return _without(members, each)
    return None
