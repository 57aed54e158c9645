"""A breadth-first check of every state that a small model can reach."""

from __future__ import annotations

import collections
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

import attrs

S = TypeVar("S", bound=Hashable)


@attrs.frozen
class Checked:
    """What a check found; ``path`` are the steps to the state that breaks the invariant."""

    states: int
    path: tuple[str, ...] | None


def check(
    first: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    holds: Callable[[S], bool],
) -> Checked:
    """Visit every state that can be reached; stop at the first in which ``holds`` is false.

    >>> def count(state): return [("up", state + 1)] if state < 5 else []
    >>> check(0, count, lambda state: True)
    Checked(states=6, path=None)
    >>> check(0, count, lambda state: state < 2).path
    ('up', 'up')
    """
    before: dict[S, tuple[str, S] | None] = {first: None}
    waiting = collections.deque([first])
    while waiting:
        state = waiting.popleft()
        if not holds(state):
            return Checked(len(before), _path(before, state))
        for name, following in steps(state):
            if following not in before:
                before[following] = (name, state)
                waiting.append(following)
    return Checked(len(before), None)


def _path(before: dict[S, tuple[str, S] | None], state: S) -> tuple[str, ...]:
    names = []
    while (step := before[state]) is not None:
        name, state = step
        names.append(name)
    return tuple(reversed(names))
