"""A model of changes of the voters: elections, replication and commits in any order.

A replica that is down, cut off or paused is one that takes no step for a while, and it keeps its
disk, so the model needs no other failure. Which voters seem silent and which learners are ready is
left open: a leader may take any other voter for gone. An election and the copying of a log are one
step each.
"""

from __future__ import annotations

import functools
import itertools
from collections.abc import Callable, Iterator

import attrs

from croftpulley.core.replication import membership, messages

REPLICAS = "abcd"
FIRST_VOTERS = frozenset("abc")

Voters = frozenset[str]
Rule = Callable[[messages.Members, tuple[messages.Member, ...], Voters], messages.Members | None]


@attrs.frozen(cache_hash=True)
class Entry:
    """A log entry; ``voters`` are those from here on, ``None`` if it changes nothing."""

    term: int
    voters: Voters | None = None


Log = tuple[Entry, ...]


@attrs.frozen(cache_hash=True)
class Node:
    """A replica's disk, and whether it leads its term."""

    term: int = 0
    log: Log = ()
    leads: bool = False


@attrs.frozen(cache_hash=True)
class State:
    """All replicas, and the longest log that a leader has committed."""

    nodes: tuple[Node, ...] = (Node(),) * len(REPLICAS)
    committed: Log = ()
    is_lost: bool = False
    """Whether an entry was committed in place of another."""

    def node(self, name: str) -> Node:
        """Return a replica."""
        return self.nodes[REPLICAS.index(name)]

    def with_nodes(self, changed: dict[str, Node]) -> State:
        """Return the state with some replicas changed."""
        nodes = tuple(
            changed.get(name, node) for name, node in zip(REPLICAS, self.nodes, strict=True)
        )
        return attrs.evolve(self, nodes=nodes)


def voters_of(log: Log) -> Voters:
    """Return the newest voters in a log."""
    found = (each.voters for each in reversed(log) if each.voters is not None)
    return next(found, FIRST_VOTERS)


def majorities(voters: Voters) -> list[tuple[str, ...]]:
    """Return the smallest majorities."""
    return list(itertools.combinations(sorted(voters), len(voters) // 2 + 1))


def position(log: Log) -> tuple[int, int]:
    """Return what voters compare before they vote."""
    return (log[-1].term if log else 0, len(log))


@functools.cache
def changes(rule: Rule, voters: Voters, leader: str) -> frozenset[Voters]:
    """Return the voters that a rule may choose, whoever seems silent or ready."""
    members = messages.Members(
        tuple(messages.Member(name, name, voter=name in voters) for name in REPLICAS)
    )
    learners = [each for each in members.members if not each.voter]
    others = sorted(voters - {leader})
    found = set()
    for count in range(len(others) + 1):
        for silent in itertools.combinations(others, count):
            for ready in (tuple(learners), ()):
                changed = rule(members, ready, frozenset(silent))
                if changed is not None:
                    found.add(frozenset(changed.voters))
    return frozenset(found - {voters})


def steps(rule: Rule, most_terms: int, most_entries: int) -> Callable[[State], object]:
    """Return the function of all steps from a state, within limits of terms and log lengths."""

    def next_states(state: State) -> Iterator[tuple[str, State]]:
        for name in REPLICAS:
            yield from elections(state, name, most_terms, most_entries)
            node = state.node(name)
            if not node.leads:
                continue
            yield from copies(state, name)
            yield from commits(state, name)
            if len(node.log) < most_entries and may_change(state, node):
                for voters in changes(rule, voters_of(node.log), name):
                    grown = attrs.evolve(node, log=(*node.log, Entry(node.term, voters)))
                    yield (
                        f"{name} appends {''.join(sorted(voters))}",
                        state.with_nodes({name: grown}),
                    )

    return next_states


def elections(
    state: State, name: str, most_terms: int, most_entries: int
) -> Iterator[tuple[str, State]]:
    """Yield each way in which a replica may come to lead: with any majority of its own voters."""
    node = state.node(name)
    if name not in voters_of(node.log) or len(node.log) >= most_entries:
        return
    for majority in majorities(voters_of(node.log)):
        if name not in majority:
            continue
        term = max(state.node(each).term for each in majority) + 1
        is_newest = all(position(state.node(each).log) <= position(node.log) for each in majority)
        if term > most_terms or not is_newest:
            continue
        changed = {
            each: attrs.evolve(state.node(each), term=term, leads=False) for each in majority
        }
        changed[name] = Node(term, (*node.log, Entry(term)), leads=True)
        yield f"{name} leads term {term}, elected by {''.join(majority)}", state.with_nodes(changed)


def copies(state: State, leader: str) -> Iterator[tuple[str, State]]:
    """Yield each copy of a leader's log to another replica."""
    node = state.node(leader)
    for name in REPLICAS:
        other = state.node(name)
        if name != leader and other.term <= node.term and other.log != node.log:
            copied = Node(node.term, node.log)
            yield f"{name} has the log of {leader}", state.with_nodes({name: copied})


def commits(state: State, leader: str) -> Iterator[tuple[str, State]]:
    """Yield the commit of a leader's newest entry, if a majority of its voters holds its log."""
    node = state.node(leader)
    if len(node.log) <= len(state.committed) and node.log == state.committed[: len(node.log)]:
        return
    voters = voters_of(node.log)
    holders = [name for name in voters if state.node(name).log[: len(node.log)] == node.log]
    if len(holders) <= len(voters) // 2:
        return
    shared = min(len(node.log), len(state.committed))
    is_lost = node.log[:shared] != state.committed[:shared]
    longest = max(node.log, state.committed, key=len)
    yield f"{leader} commits", attrs.evolve(state, committed=longest, is_lost=is_lost)


def may_change(state: State, node: Node) -> bool:
    """Tell whether a leader has committed its whole log, as it must before a change."""
    return node.log == state.committed[: len(node.log)]


def replace_in_one_change(
    members: messages.Members, ready: tuple[messages.Member, ...], silent: Voters
) -> messages.Members | None:
    """The rule that takes a silent voter's vote for a learner in one change: it loses entries."""
    for learner in ready:
        for each in members.members:
            if each.voter and each.replica in silent:
                kept = tuple(other for other in members.members if other not in (each, learner))
                return messages.Members((*kept, attrs.evolve(learner, voter=True)))
    return None


RULE = membership.with_changed_votes
