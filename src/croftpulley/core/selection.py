"""Which endpoint a forwarded request goes to.

A request with a prompt goes to the least busy of the engines that likely hold its whole shared
beginning, unless they are far busier than the others. If none may take it, it goes to the engine
that can begin its answer soonest: each has prompts to read before it, and lacks more or less of
this one, some of which it may fetch from another engine. Reading and fetching count more than their
time, since they also push other prompts out and hold up what runs beside them. Among engines alike,
rendezvous hashing of the last shared part decides, so that all routers choose alike. Requests
without a shared part go to the least busy endpoint.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from croftpulley.core import calls, choice


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint that may take the request; ``load`` is what all boxes have in flight there.

    ``name`` is its key, which names one life of it. ``avoid_until_s`` is when it may be trusted
    again after a failure, ``withdrawn_until_s`` when it takes requests again by its own words, and
    ``is_full`` tells that it has as many of this box as it should have since it rested.
    ``own_load`` is this box's own part of the load, which is known as it is.
    ``reading_tokens`` are the prompt tokens that it still has to read for others, ``held_tokens``
    those of this prompt that it likely holds.
    """

    name: str
    hall: str
    load: int
    avoid_until_s: float = float("-inf")
    withdrawn_until_s: float = float("-inf")
    is_full: bool = False
    reading_tokens: float = 0.0
    held_tokens: int = 0
    own_load: int = 0


@attrs.frozen(kw_only=True)
class Spill:
    """When an endpoint is too busy, however well it would suit.

    Above ``multiple`` times the mean plus ``slack`` requests another is taken.
    """

    multiple: float = 1.5
    slack: float = 2.0

    def fit(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return those that may take one more; if none may, the least busy ones."""
        loads = [each.load for each in candidates]
        most = max(self.multiple * sum(loads) / len(loads) + self.slack, min(loads) + 1)
        return [each for each in candidates if each.load + 1 <= most]


@attrs.frozen(kw_only=True)
class Rates:
    """How fast engines work: from the users' sheets, where both engines are much alike.

    ``read_tokens_a_ms`` of a prompt; ``fetch_tokens_a_ms`` from another engine; ``read_weight``
    is how much more a token read or fetched counts than the time it takes; ``load_ms`` and
    ``rank_ms`` are what a request in flight and a place in the hashed order count.
    """

    read_tokens_a_ms: float = 40.0
    fetch_tokens_a_ms: float = 140.0
    read_weight: float = 2.0
    load_ms: float = 4.0
    rank_ms: float = 6.0


@attrs.frozen(kw_only=True)
class Prompt:
    """What is to be read, how much of it others share, and what the hashing looks at."""

    key: str
    tokens: int
    shared_tokens: int

    @classmethod
    def of(cls, facts: calls.CallFacts) -> Prompt:
        """Return the prompt of a request whose beginning others share."""
        return cls(
            key=facts.shared[-1].part,
            tokens=facts.prompt_tokens,
            shared_tokens=facts.shared_tokens,
        )


@attrs.frozen(kw_only=True)
class Reading:
    """What an engine must do for a prompt."""

    fetched_tokens: int
    read_tokens: int

    def own_ms(self, rates: Rates) -> float:
        """Return how long it takes once it is the prompt's turn."""
        fetching_ms = self.fetched_tokens / rates.fetch_tokens_a_ms
        return fetching_ms + self.read_tokens / rates.read_tokens_a_ms


def reading(prompt: Prompt, candidate: Candidate, most_held_tokens: int) -> Reading:
    """Return what ``candidate`` must read where another engine holds ``most_held_tokens``.

    >>> prompt = Prompt(key="p", tokens=900, shared_tokens=800)
    >>> reading(prompt, Candidate(name="e", hall="a", load=0, held_tokens=300), 800)
    Reading(fetched_tokens=500, read_tokens=100)
    """
    fetched = max(0, most_held_tokens - candidate.held_tokens)
    return Reading(
        fetched_tokens=fetched, read_tokens=prompt.tokens - candidate.held_tokens - fetched
    )


def trusted(candidates: Sequence[Candidate], now_s: float) -> list[Candidate]:
    """Return those not to be avoided; if all are, the one whose time ends first.

    Suspicion alone must never leave a request without an endpoint.
    """
    good = [each for each in candidates if each.avoid_until_s <= now_s]
    if good or not candidates:
        return good
    return [min(candidates, key=lambda each: each.avoid_until_s)]


def for_prompt(
    prompt: Prompt, fit: Sequence[Candidate], most_held_tokens: int, rates: Rates
) -> Candidate:
    """Choose a holder, else the engine that can begin soonest.

    ``fit`` are those that may take one more (`Spill.fit`), at least one. ``most_held_tokens`` is
    how much of the prompt any engine holds, also one that is leaving.
    """
    holders = [each for each in fit if each.held_tokens >= prompt.shared_tokens]
    if holders:
        return min(holders, key=lambda each: (each.load, each.name))

    def cost_ms(rank: int, candidate: Candidate) -> float:
        wait_ms = candidate.reading_tokens / rates.read_tokens_a_ms
        own_ms = reading(prompt, candidate, most_held_tokens).own_ms(rates)
        tie_ms = rates.load_ms * candidate.load + rates.rank_ms * rank
        return wait_ms + rates.read_weight * own_ms + tie_ms

    by_name = {each.name: each for each in fit}
    ranked = [by_name[name] for name in choice.order(prompt.key, by_name)]
    costs_ms = [cost_ms(rank, each) for rank, each in enumerate(ranked)]
    return ranked[costs_ms.index(min(costs_ms))]


def kept_since(age_s: float, hold_s: float) -> float:
    """Return how much of the loads that were heard some time ago still holds.

    That is the part of the requests there which has not ended, where one lasts for ``hold_s``.

    >>> kept_since(0.0, 0.1), round(kept_since(0.2, 0.1), 2), kept_since(0.2, 0.0)
    (1.0, 0.14, 0.0)
    """
    return math.exp(-max(0.0, age_s) / hold_s) if hold_s else 0.0


def evenly(key: str, candidates: Sequence[Candidate], kept: float) -> Candidate:
    """Choose among endpoints whose loads by others were heard some time ago.

    Where requests end sooner than loads are told, the endpoint that looked idle has long got those
    of all boxes that heard so. ``kept`` is from `kept_since`: by so much
    differences count, and one of less than a request is none. Among those alike the request's own
    hash decides, so that boxes do not all choose the same.

    >>> idle = Candidate(name="idle", hall="a", load=0)
    >>> busy = Candidate(name="busy", hall="a", load=9)
    >>> {evenly(str(key), [idle, busy], 1.0).name for key in range(9)}
    {'idle'}
    >>> sorted({evenly(str(key), [idle, busy], 0.1).name for key in range(9)})
    ['busy', 'idle']
    """
    loads = [each.load * kept + each.own_load * (1 - kept) for each in candidates]
    most = min(loads) + 1
    alike = [each.name for each, load in zip(candidates, loads, strict=True) if load < most]
    first = choice.order(key, alike)[0]
    return next(each for each in candidates if each.name == first)


def least_busy(key: str, candidates: Sequence[Candidate], hall: str) -> Candidate:
    """Choose the least busy; among equals one in ``hall``, then by the key's own order."""
    fewest = min(each.load for each in candidates)
    equals = [each for each in candidates if each.load == fewest]
    near = [each for each in equals if each.hall == hall] or equals
    by_name = {each.name: each for each in near}
    return by_name[choice.order(key, by_name)[0]]
