"""Arms of an experiment: each decides for a share of the chats, so that they can be compared.

A program chooses only among endpoints that already meet every guarantee. If it fails, the
built-in choice is used.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import xxhash

from croftpulley.core import rendezvous, selection
from croftpulley.policy import language

REQUEST_VARIABLES = (
    "prompt_tokens",
    "shared_tokens",
    "priority",
    "budget_ms",
    "candidates",
    "mean_load",
    "least_load",
    "most_held_tokens",
)
"""Variables of an ``admit`` program: the request and the endpoints that may serve it."""
CANDIDATE_VARIABLES = (
    *REQUEST_VARIABLES,
    "load",
    "reading_tokens",
    "held_tokens",
    "rank",
    "same_hall",
)
"""Variables of a ``score`` program, which runs for each endpoint."""
MAX_WAIT_S = 60.0
"""Limits the time after which an ``admit`` program may tell a caller to retry."""


@attrs.frozen(kw_only=True)
class Arm:
    """A share of the chats, by ``weight``, and the programs that decide for it.

    ``score`` gives each endpoint a number, and the lowest is chosen; ``admit`` returns 0 to admit,
    or after how many seconds the caller should retry. Without a program the built-in rule decides.
    The decisions of an arm that does not ``act`` are counted, but not applied (shadow mode).
    """

    name: str
    weight: int = 1
    acts: bool = True
    score: language.Program | None = None
    admit: language.Program | None = None


class Arms:
    """The arms of one configuration.

    >>> Arms((Arm(name="a"), Arm(name="b", weight=0))).arm_for("chat-1").name
    'a'
    >>> Arms(()).arm_for("chat-1") is None
    True
    >>> Arms((Arm(name="a", weight=0),)).is_empty
    True
    """

    def __init__(self, arms: tuple[Arm, ...]) -> None:
        self._arms = arms
        self._total_weight = sum(arm.weight for arm in arms)

    @property
    def is_empty(self) -> bool:
        """Tell whether no arm has a weight, so that chats are assigned to none."""
        return not self._total_weight

    def arm_for(self, key: str) -> Arm | None:
        """Return the arm of a chat, by a hash of its key; the same at every router."""
        if self.is_empty:
            return None
        position = xxhash.xxh3_64_intdigest(f"arm\x00{key}".encode()) % self._total_weight
        for arm in self._arms:
            position -= arm.weight
            if position < 0:
                return arm
        return None


@attrs.frozen(kw_only=True)
class Request:
    """The properties of a request that programs see.

    ``key`` gives the endpoints' order, which is the same at every router.
    """

    key: str
    prompt_tokens: int
    shared_tokens: int
    priority: int
    budget_ms: float
    hall: str


def wait_before_retry_s(
    arm: Arm, request: Request, candidates: Sequence[selection.Candidate], most_held_tokens: int
) -> float:
    """Return 0 to admit the request, else after how many seconds the caller should retry.

    Raises `language.ProgramError`.
    """
    if arm.admit is None:
        return 0.0
    wanted_s = arm.admit.run(_request_values(request, candidates, most_held_tokens))
    return min(MAX_WAIT_S, max(0.0, wanted_s))


def choose_endpoint(
    arm: Arm, request: Request, candidates: Sequence[selection.Candidate], most_held_tokens: int
) -> selection.Candidate | None:
    """Return the endpoint with the lowest score, ``None`` if the arm has no ``score`` program.

    Ties go to the first in the request's rendezvous order. Raises `language.ProgramError`.
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
