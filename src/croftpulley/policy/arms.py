"""Arms: programs that decide for a share of the chats each, so that they can be compared.

A program chooses only among endpoints that already keep every promise. Where it fails, the
built-in choice is made instead.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import xxhash

from croftpulley.core import rendezvous, selection
from croftpulley.policy import language

REQUEST_NAMES = (
    "prompt_tokens",
    "shared_tokens",
    "priority",
    "budget_ms",
    "candidates",
    "mean_load",
    "least_load",
    "most_held_tokens",
)
"""What an ``admit`` program is given: the request, and the endpoints that may take it."""
CANDIDATE_NAMES = (
    *REQUEST_NAMES,
    "load",
    "reading_tokens",
    "held_tokens",
    "rank",
    "same_hall",
)
"""What a ``score`` program is given besides, for each endpoint."""
LONGEST_WAIT_S = 60.0
"""The longest time after which an ``admit`` program may have a caller come back."""


@attrs.frozen(kw_only=True)
class Arm:
    """A share of the chats and who decides for it.

    ``score`` gives each endpoint a number, and the lowest is taken; ``admit`` returns 0 or after
    how many seconds the caller should come back. Without a program the built-in rule decides. An
    arm that does not ``act`` decides, is counted, and is not obeyed.
    """

    name: str
    weight: int = 1
    acts: bool = True
    score: language.Program | None = None
    admit: language.Program | None = None


class Arms:
    """The arms of one configuration.

    >>> Arms((Arm(name="a"), Arm(name="b", weight=0))).of("chat-1").name
    'a'
    >>> Arms(()).of("chat-1") is None
    True
    >>> Arms((Arm(name="a", weight=0),)).is_empty
    True
    """

    def __init__(self, arms: tuple[Arm, ...]) -> None:
        self._arms = arms
        self._total = sum(arm.weight for arm in arms)

    @property
    def is_empty(self) -> bool:
        """Tell whether no chat falls to any arm."""
        return not self._total

    def of(self, key: str) -> Arm | None:
        """Return the arm of a chat; the same at every router."""
        if self.is_empty:
            return None
        position = xxhash.xxh3_64_intdigest(f"arm\x00{key}".encode()) % self._total
        for arm in self._arms:
            position -= arm.weight
            if position < 0:
                return arm
        return None


@attrs.frozen(kw_only=True)
class Request:
    """What a program may know of a request; ``key`` orders endpoints alike at every router."""

    key: str
    prompt_tokens: int
    shared_tokens: int
    priority: int
    budget_ms: float
    hall: str


def wait_s(
    arm: Arm, request: Request, candidates: Sequence[selection.Candidate], most_held_tokens: int
) -> float:
    """Return 0 to take the request in, else after how long to come back.

    Raises `language.ProgramError`.
    """
    if arm.admit is None:
        return 0.0
    wanted_s = arm.admit.run(_request_values(request, candidates, most_held_tokens))
    return min(LONGEST_WAIT_S, max(0.0, wanted_s))


def chosen(
    arm: Arm, request: Request, candidates: Sequence[selection.Candidate], most_held_tokens: int
) -> selection.Candidate | None:
    """Return the endpoint with the lowest score, ``None`` if the arm leaves it to the built-in.

    Of equal scores the first in the request's own order. Raises `language.ProgramError`.
    """
    if arm.score is None:
        return None
    by_name = {each.name: each for each in candidates}
    ranked = [by_name[name] for name in rendezvous.rendezvous_order(request.key, by_name)]
    values = _request_values(request, candidates, most_held_tokens)
    scores = [
        arm.score.run(values | _candidate_values(request, each, rank))
        for rank, each in enumerate(ranked)
    ]
    return ranked[scores.index(min(scores))]


def _request_values(
    request: Request, candidates: Sequence[selection.Candidate], most_held_tokens: int
) -> dict[str, float]:
    loads = [each.load for each in candidates]
    return {
        "prompt_tokens": request.prompt_tokens,
        "shared_tokens": request.shared_tokens,
        "priority": request.priority,
        "budget_ms": request.budget_ms,
        "candidates": len(candidates),
        "mean_load": sum(loads) / len(loads),
        "least_load": min(loads),
        "most_held_tokens": most_held_tokens,
    }


def _candidate_values(
    request: Request, candidate: selection.Candidate, rank: int
) -> dict[str, float]:
    return {
        "load": candidate.load,
        "reading_tokens": candidate.reading_tokens,
        "held_tokens": candidate.held_tokens,
        "rank": rank,
        "same_hall": candidate.hall == request.hall,
    }
