"""Who may act as leader, in a model without clocks: three voters that restart at any moment.

Time is modelled by what it orders: a voter's promise to its leader, or its wait after a start, ends
only after the leader has stopped to count on that voter (it counts from the sending, and less than
an election timeout). Votes are counted by the real `voting.Ballot`. Logs are all alike.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from croftpulley.core.replication import messages, voting

NODES = (0, 1, 2)
MEMBERS = messages.Members(tuple(messages.Member(str(node), "") for node in NODES))


class Hearing(enum.Enum):
    """What a voter may have promised."""

    FRESH = "fresh"
    """It has just started and has heard no leader since."""
    HEARD = "heard"
    """It follows a leader that may count on it."""
    FREE = "free"


class Mutation(enum.Enum):
    """Faults put into the rules, to see that the check finds them."""

    NONE = "none"
    FRESH_IS_FREE = "a fresh voter votes without a condition"
    LEADER_AGREES = "a leader that votes for another goes on as leader"
    FORGETS_VOTE = "a vote is forgotten over a restart"
    ANY_TERM = "a vote counts for any later candidacy"


@attrs.frozen(cache_hash=True)
class Node:
    """One voter; ``counted`` are the voters that a leader counts on."""

    term: int = 0
    voted_for: int | None = None
    leads: bool = False
    is_candidate: bool = False
    hearing: Hearing = Hearing.FREE
    firm: frozenset[int] = frozenset()
    if_all: frozenset[int] = frozenset()
    counted: frozenset[int] = frozenset()


@attrs.frozen(cache_hash=True)
class State:
    """All voters, and the answers on their way, which may be lost or come late.

    A request is heard whenever its candidate or leader still stands by it; one that comes later
    is refused or changes nothing that another could not.
    """

    nodes: tuple[Node, ...] = (Node(), Node(), Node())
    replies: frozenset[tuple[int, int, int, bool]] = frozenset()
    """Voter, candidate, term, without a condition."""
    acks: frozenset[tuple[int, int, int]] = frozenset()
    """Follower, leader, term."""
    restarts: int = 0


@attrs.frozen
class Model:
    """The steps, within bounds that keep the number of states small."""

    most_terms: int
    most_restarts: int
    mutation: Mutation = Mutation.NONE

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield every next state with the name of the step."""
        for node in NODES:
            yield from self._alone(state, node)
        for reply in state.replies:
            yield self._count(state, *reply)
        for ack in state.acks:
            yield self._acknowledge(state, *ack)
        for leader in NODES:
            for other in NODES:
                if state.nodes[leader].leads and other != leader:
                    yield from self._append(state, leader, other)
                if state.nodes[leader].is_candidate and other != leader:
                    yield self._vote(state, leader, other, state.nodes[leader].term)

    def _alone(self, state: State, node: int) -> Iterator[tuple[str, State]]:
        here = state.nodes[node]
        if state.restarts < self.most_restarts:
            yield f"restart {node}", self._restart(state, node)
        if here.hearing is not Hearing.FREE:
            yield f"wait over {node}", _waited(state, node)
        if not here.leads and here.term < self.most_terms:
            yield f"candidacy {node}", self._stand(state, node)

    def _restart(self, state: State, node: int) -> State:
        here = state.nodes[node]
        voted_for = None if self.mutation is Mutation.FORGETS_VOTE else here.voted_for
        fresh = Node(term=here.term, voted_for=voted_for, hearing=Hearing.FRESH)
        return attrs.evolve(_put(state, node, fresh), restarts=state.restarts + 1)

    def _stand(self, state: State, node: int) -> State:
        here = state.nodes[node]
        term = here.term + 1
        own = frozenset({node})
        firm = self._is_firm(here)
        return _with(
            state,
            node,
            term=term,
            voted_for=node,
            is_candidate=True,
            firm=own if firm else frozenset(),
            if_all=frozenset() if firm else own,
        )

    def _is_firm(self, voter: Node) -> bool:
        fresh_is_free = self.mutation is Mutation.FRESH_IS_FREE
        return voter.hearing is Hearing.FREE or (fresh_is_free and voter.hearing is Hearing.FRESH)

    def _vote(self, state: State, candidate: int, voter: int, term: int) -> tuple[str, State]:
        """As `Replica._on_vote_request`."""
        name = f"request {candidate}>{voter} of term {term}"
        here = state.nodes[voter]
        leads = here.leads and self.mutation is not Mutation.LEADER_AGREES
        agrees = not leads and term >= here.term
        agrees = agrees and (term > here.term or here.voted_for in (None, candidate))
        firm = self._is_firm(here)
        if not agrees or not (firm or here.hearing is Hearing.FRESH):
            return name, state
        changed = _with(state, voter, term=term, voted_for=candidate, is_candidate=False)
        reply = (voter, candidate, term, firm)
        return name, attrs.evolve(changed, replies=changed.replies | {reply})

    def _count(
        self, state: State, voter: int, candidate: int, term: int, firm: bool
    ) -> tuple[str, State]:
        """As `Replica._on_vote_reply`."""
        name = f"vote {voter}>{candidate} of term {term}"
        left = attrs.evolve(state, replies=state.replies - {(voter, candidate, term, firm)})
        here = state.nodes[candidate]
        current = term == here.term or self.mutation is Mutation.ANY_TERM
        if not here.is_candidate or not current:
            return name, left
        votes = "firm" if firm else "if_all"
        changed = _with(left, candidate, **{votes: getattr(here, votes) | {voter}})
        here = changed.nodes[candidate]
        ballot = voting.Ballot({str(n) for n in here.firm}, {str(n) for n in here.if_all})
        if ballot.is_won(MEMBERS):
            changed = _with(
                changed,
                candidate,
                leads=True,
                is_candidate=False,
                firm=frozenset(),
                if_all=frozenset(),
                counted=frozenset(),
            )
        return name, changed

    def _append(self, state: State, leader: int, follower: int) -> Iterator[tuple[str, State]]:
        term = state.nodes[leader].term
        here = state.nodes[follower]
        if here.term > term:
            return
        voted_for = here.voted_for if here.term == term else None
        changed = _with(
            state,
            follower,
            term=term,
            voted_for=voted_for,
            leads=False,
            is_candidate=False,
            hearing=Hearing.HEARD,
            counted=frozenset(),
        )
        acks = changed.acks | {(follower, leader, term)}
        yield f"append {leader}>{follower}", attrs.evolve(changed, acks=acks)

    @staticmethod
    def _acknowledge(state: State, follower: int, leader: int, term: int) -> tuple[str, State]:
        left = attrs.evolve(state, acks=state.acks - {(follower, leader, term)})
        here = state.nodes[leader]
        if here.leads and here.term == term:
            left = _with(left, leader, counted=here.counted | {follower})
        return f"ack {follower}>{leader}", left


def one_authority(state: State) -> bool:
    """At most one leader counts on a quorum."""
    acting = [
        node
        for node, here in enumerate(state.nodes)
        if here.leads and len(here.counted | {node}) >= MEMBERS.quorum
    ]
    return len(acting) <= 1


def _waited(state: State, node: int) -> State:
    """End a promise or the wait after a start: nobody counts on this voter any more."""
    nodes = tuple(
        attrs.evolve(each, counted=each.counted - {node}) if each.leads else each
        for each in state.nodes
    )
    acks = frozenset(ack for ack in state.acks if ack[0] != node)
    return _with(attrs.evolve(state, nodes=nodes, acks=acks), node, hearing=Hearing.FREE)


def _with(state: State, node: int, **changes: object) -> State:
    return _put(state, node, attrs.evolve(state.nodes[node], **changes))


def _put(state: State, node: int, changed: Node) -> State:
    nodes = tuple(changed if number == node else each for number, each in enumerate(state.nodes))
    return attrs.evolve(state, nodes=nodes)
