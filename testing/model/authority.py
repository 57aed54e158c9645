"""A model of leader leases without clocks: three voters that may restart at any time.

Time is modelled by the order that it imposes. A voter's wait after contact with a leader, or after
a start, ends only after the leader has stopped to rely on that voter, since the leader lease runs
from the sending of the request and is shorter than an election timeout. Votes are counted by the
real `voting.Ballot`. All logs are equal.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from croftpulley.core.replication import messages, voting

NODES = (0, 1, 2)
MEMBERS = messages.Members(tuple(messages.Member(str(node), "") for node in NODES))


class LeaderContact(enum.Enum):
    """A voter's last contact with a leader, which decides whether it may vote."""

    RESTARTED = "restarted"
    """It has just started and has had no contact with a leader since."""
    FOLLOWING = "following"
    """It follows a leader whose lease may rely on it."""
    EXPIRED = "expired"


class Mutation(enum.Enum):
    """Faults injected into the rules; the check must find each of them."""

    NONE = "none"
    RESTARTED_VOTES_UNCONDITIONALLY = "a restarted voter votes unconditionally"
    LEADER_VOTES_FOR_OTHER = "a leader that votes for another stays leader"
    FORGETS_VOTE = "a vote is lost in a restart"
    VOTE_COUNTS_FOR_LATER_TERM = "a vote counts for any later term"


@attrs.frozen(cache_hash=True)
class Node:
    """One voter.

    ``unconditional`` and ``if_all`` are the votes for it as a candidate; ``acknowledged_by`` are
    the voters that its lease as a leader relies on.
    """

    term: int = 0
    voted_for: int | None = None
    is_leader: bool = False
    is_candidate: bool = False
    leader_contact: LeaderContact = LeaderContact.EXPIRED
    unconditional: frozenset[int] = frozenset()
    if_all: frozenset[int] = frozenset()
    acknowledged_by: frozenset[int] = frozenset()


@attrs.frozen(cache_hash=True)
class State:
    """All voters, and the replies in flight, which may be lost or late.

    A request may arrive as long as its sender is still candidate or leader of that term. A later
    request isn't modelled: it is refused or changes nothing that another request couldn't.
    """

    nodes: tuple[Node, ...] = (Node(), Node(), Node())
    replies: frozenset[tuple[int, int, int, bool]] = frozenset()
    """Votes: voter, candidate, term, and whether the vote is unconditional."""
    acks: frozenset[tuple[int, int, int]] = frozenset()
    """Acknowledged append requests: follower, leader, term."""
    restarts: int = 0


@attrs.frozen
class Model:
    """The steps between states; the maxima keep the number of states small."""

    max_terms: int
    max_restarts: int
    mutation: Mutation = Mutation.NONE

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the name of each possible step and the state that it leads to."""
        for node in NODES:
            yield from self._local_steps(state, node)
        for reply in state.replies:
            yield self._count_vote(state, *reply)
        for ack in state.acks:
            yield self._acknowledge(state, *ack)
        for leader in NODES:
            for other in NODES:
                if state.nodes[leader].is_leader and other != leader:
                    yield from self._append(state, leader, other)
                if state.nodes[leader].is_candidate and other != leader:
                    yield self._vote(state, leader, other, state.nodes[leader].term)

    def _local_steps(self, state: State, node: int) -> Iterator[tuple[str, State]]:
        here = state.nodes[node]
        if state.restarts < self.max_restarts:
            yield f"restart {node}", self._restart(state, node)
        if here.leader_contact is not LeaderContact.EXPIRED:
            yield f"wait over {node}", _expire_leader_contact(state, node)
        if not here.is_leader and here.term < self.max_terms:
            yield f"candidacy {node}", self._start_candidacy(state, node)

    def _restart(self, state: State, node: int) -> State:
        here = state.nodes[node]
        voted_for = None if self.mutation is Mutation.FORGETS_VOTE else here.voted_for
        fresh = Node(term=here.term, voted_for=voted_for, leader_contact=LeaderContact.RESTARTED)
        return attrs.evolve(_replace_node(state, node, fresh), restarts=state.restarts + 1)

    def _start_candidacy(self, state: State, node: int) -> State:
        here = state.nodes[node]
        term = here.term + 1
        own = frozenset({node})
        unconditional = self._votes_unconditionally(here)
        return _update_node(
            state,
            node,
            term=term,
            voted_for=node,
            is_candidate=True,
            unconditional=own if unconditional else frozenset(),
            if_all=frozenset() if unconditional else own,
        )

    def _votes_unconditionally(self, voter: Node) -> bool:
        restarted_is_unconditional = self.mutation is Mutation.RESTARTED_VOTES_UNCONDITIONALLY
        return voter.leader_contact is LeaderContact.EXPIRED or (
            restarted_is_unconditional and voter.leader_contact is LeaderContact.RESTARTED
        )

    def _vote(self, state: State, candidate: int, voter: int, term: int) -> tuple[str, State]:
        """Model `electing.Elector.on_request`."""
        name = f"request {candidate}>{voter} of term {term}"
        here = state.nodes[voter]
        refuses_as_leader = here.is_leader and self.mutation is not Mutation.LEADER_VOTES_FOR_OTHER
        is_allowed = not refuses_as_leader and term >= here.term
        is_allowed = is_allowed and (term > here.term or here.voted_for in (None, candidate))
        unconditional = self._votes_unconditionally(here)
        if not is_allowed or not (unconditional or here.leader_contact is LeaderContact.RESTARTED):
            return name, state
        changed = _update_node(state, voter, term=term, voted_for=candidate, is_candidate=False)
        reply = (voter, candidate, term, unconditional)
        return name, attrs.evolve(changed, replies=changed.replies | {reply})

    def _count_vote(
        self, state: State, voter: int, candidate: int, term: int, unconditional: bool
    ) -> tuple[str, State]:
        """Model `electing.Elector.on_reply`."""
        name = f"vote {voter}>{candidate} of term {term}"
        left = attrs.evolve(
            state, replies=state.replies - {(voter, candidate, term, unconditional)}
        )
        here = state.nodes[candidate]
        current = term == here.term or self.mutation is Mutation.VOTE_COUNTS_FOR_LATER_TERM
        if not here.is_candidate or not current:
            return name, left
        votes = "unconditional" if unconditional else "if_all"
        changed = _update_node(left, candidate, **{votes: getattr(here, votes) | {voter}})
        here = changed.nodes[candidate]
        ballot = voting.Ballot({str(n) for n in here.unconditional}, {str(n) for n in here.if_all})
        if ballot.is_won(MEMBERS):
            changed = _update_node(
                changed,
                candidate,
                is_leader=True,
                is_candidate=False,
                unconditional=frozenset(),
                if_all=frozenset(),
                acknowledged_by=frozenset(),
            )
        return name, changed

    def _append(self, state: State, leader: int, follower: int) -> Iterator[tuple[str, State]]:
        term = state.nodes[leader].term
        here = state.nodes[follower]
        if here.term > term:
            return
        voted_for = here.voted_for if here.term == term else None
        changed = _update_node(
            state,
            follower,
            term=term,
            voted_for=voted_for,
            is_leader=False,
            is_candidate=False,
            leader_contact=LeaderContact.FOLLOWING,
            acknowledged_by=frozenset(),
        )
        acks = changed.acks | {(follower, leader, term)}
        yield f"append {leader}>{follower}", attrs.evolve(changed, acks=acks)

    @staticmethod
    def _acknowledge(state: State, follower: int, leader: int, term: int) -> tuple[str, State]:
        left = attrs.evolve(state, acks=state.acks - {(follower, leader, term)})
        here = state.nodes[leader]
        if here.is_leader and here.term == term:
            left = _update_node(left, leader, acknowledged_by=here.acknowledged_by | {follower})
        return f"ack {follower}>{leader}", left


def has_at_most_one_lease_holder(state: State) -> bool:
    """Return whether at most one leader holds a lease, which needs a quorum."""
    acting = [
        node
        for node, here in enumerate(state.nodes)
        if here.is_leader and len(here.acknowledged_by | {node}) >= MEMBERS.quorum
    ]
    return len(acting) <= 1


def _expire_leader_contact(state: State, node: int) -> State:
    """End a voter's wait after leader contact or a start: no leader relies on it any more."""
    nodes = tuple(
        attrs.evolve(each, acknowledged_by=each.acknowledged_by - {node})
        if each.is_leader
        else each
        for each in state.nodes
    )
    acks = frozenset(ack for ack in state.acks if ack[0] != node)
    return _update_node(
        attrs.evolve(state, nodes=nodes, acks=acks), node, leader_contact=LeaderContact.EXPIRED
    )


def _update_node(state: State, node: int, **changes: object) -> State:
    return _replace_node(state, node, attrs.evolve(state.nodes[node], **changes))


def _replace_node(state: State, node: int, changed: Node) -> State:
    nodes = tuple(changed if number == node else each for number, each in enumerate(state.nodes))
    return attrs.evolve(state, nodes=nodes)
