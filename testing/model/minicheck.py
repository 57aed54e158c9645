"""A breadth-first model checker for small models."""

from __future__ import annotations

import collections
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

import attrs

S = TypeVar("S", bound=Hashable)


@attrs.frozen
class CheckResult:
    """The number of states visited, and the steps to a state that violates the invariant.

    ``path`` is ``None`` if the invariant holds in all states.
    """

    states: int
    path: tuple[str, ...] | None


def check(
    initial: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    invariant: Callable[[S], bool],
) -> CheckResult:
    """Visit every reachable state; stop at the first in which ``invariant`` is false.

    >>> def count(state): return [("up", state + 1)] if state < 5 else []
    >>> check(0, count, lambda state: True)
    CheckResult(states=6, path=None)
    >>> check(0, count, lambda state: state < 2).path
    ('up', 'up')
    """
    predecessors: dict[S, tuple[str, S] | None] = {initial: None}
    waiting = collections.deque([initial])
    while waiting:
        state = waiting.popleft()
        if not invariant(state):
            return CheckResult(len(predecessors), _path(predecessors, state))
        for name, following in steps(state):
            if following not in predecessors:
                predecessors[following] = (name, state)
                waiting.append(following)
    return CheckResult(len(predecessors), None)


def _path(predecessors: dict[S, tuple[str, S] | None], state: S) -> tuple[str, ...]:
    names = []
    while (step := predecessors[state]) is not None:
        name, state = step
        names.append(name)
    return tuple(reversed(names))
