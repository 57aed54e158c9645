"""Selects the endpoint for a forwarded request.

A request with a prompt goes to the least busy engine among those that likely cache its whole shared
prefix, unless these are far busier than the others. If no such engine may take it, it goes to the
engine with the lowest cost to start its response: each engine has prompts queued for prefill and
lacks more or less of this one, some of which it can fetch from another engine. Prefilling and
fetching are weighted above their duration, because they also evict other prompts from the cache and
delay the requests that run beside them. Rendezvous hashing of the last shared part breaks ties, so
that all routers choose alike. Requests without a shared prefix go to the least busy endpoint.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from croftpulley.core import calls, rendezvous


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint that may take the request.

    ``name`` is the endpoint's key, which identifies one incarnation of it. ``load`` is what all
    boxes have in flight there, and ``own_load`` this box's part of it, which is always up to date.
    ``avoid_until_s`` is when the endpoint may be used again after a failure, and
    ``withdrawn_until_s`` when it accepts requests again by its own announcement. ``is_full`` is
    whether it has as many requests of this box as it should have since it rested.
    ``reading_tokens`` are the prompt tokens that it still has to prefill for other requests,
    ``held_tokens`` those of this prompt that it likely caches.
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
class OverloadLimit:
    """The load above which an endpoint is passed over, even if it caches the prompt.

    The limit is ``multiple`` times the mean load plus ``slack`` requests.
    """

    multiple: float = 1.5
    slack: float = 2.0

    def eligible(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates, of which there must be some, that may take one more request.

        The least busy candidates are always among them.
        """
        loads = [each.load for each in candidates]
        most = max(self.multiple * sum(loads) / len(loads) + self.slack, min(loads) + 1)
        return [each for each in candidates if each.load + 1 <= most]


@attrs.frozen(kw_only=True)
class CostRates:
    """Costs of work at an engine, from the users' data sheets, where both engines are much alike.

    ``prefill_tokens_per_ms`` is the prefill rate and ``fetch_tokens_per_ms`` the transfer rate from
    another engine. ``work_weight`` multiplies the time of prefilling and fetching. ``load_cost_ms``
    is the cost of one request in flight, ``rank_cost_ms`` that of one position in the rendezvous
    order.
    """

    prefill_tokens_per_ms: float = 40.0
    fetch_tokens_per_ms: float = 140.0
    work_weight: float = 2.0
    load_cost_ms: float = 4.0
    rank_cost_ms: float = 6.0


@attrs.frozen(kw_only=True)
class Prompt:
    """The size of a prompt and of its shared prefix, and the key for rendezvous hashing."""

    key: str
    tokens: int
    shared_tokens: int

    @classmethod
    def of(cls, facts: calls.CallFacts) -> Prompt:
        """Return the prompt of a request that has a shared prefix."""
        return cls(
            key=facts.shared_prefix[-1].part_id,
            tokens=facts.prompt_tokens,
            shared_tokens=facts.shared_tokens,
        )


@attrs.frozen(kw_only=True)
class PrefillWork:
    """The work of an engine to process a prompt: tokens to fetch and tokens to prefill."""

    tokens_to_fetch: int
    tokens_to_prefill: int

    def duration_ms(self, rates: CostRates) -> float:
        """Return how long the work takes, not counting the wait for other prompts."""
        fetching_ms = self.tokens_to_fetch / rates.fetch_tokens_per_ms
        return fetching_ms + self.tokens_to_prefill / rates.prefill_tokens_per_ms


def prefill_work(prompt: Prompt, candidate: Candidate, most_held_tokens: int) -> PrefillWork:
    """Return the work of ``candidate`` if some engine caches ``most_held_tokens`` of the prompt.

    >>> prompt = Prompt(key="p", tokens=900, shared_tokens=800)
    >>> prefill_work(prompt, Candidate(name="e", hall="a", load=0, held_tokens=300), 800)
    PrefillWork(tokens_to_fetch=500, tokens_to_prefill=100)
    """
    fetched = max(0, most_held_tokens - candidate.held_tokens)
    return PrefillWork(
        tokens_to_fetch=fetched, tokens_to_prefill=prompt.tokens - candidate.held_tokens - fetched
    )


def without_avoided(candidates: Sequence[Candidate], now_s: float) -> list[Candidate]:
    """Return the candidates that needn't be avoided, or else the one to be avoided least long.

    Suspicion alone must never leave a request without an endpoint. The result is empty only if
    there are no candidates.
    """
    good = [each for each in candidates if each.avoid_until_s <= now_s]
    if good or not candidates:
        return good
    return [min(candidates, key=lambda each: each.avoid_until_s)]


def choose_for_prompt(
    prompt: Prompt, fit: Sequence[Candidate], most_held_tokens: int, rates: CostRates
) -> Candidate:
    """Choose the least busy engine with the shared prefix, or else the one with the lowest cost.

    ``fit`` are the candidates that may take one more request (`OverloadLimit.eligible`), at least
    one. ``most_held_tokens`` is the most that any engine caches of the prompt, including leaving
    engines.
    """
    holders = [each for each in fit if each.held_tokens >= prompt.shared_tokens]
    if holders:
        return min(holders, key=lambda each: (each.load, each.name))

    def cost_ms(rank: int, candidate: Candidate) -> float:
        wait_ms = candidate.reading_tokens / rates.prefill_tokens_per_ms
        own_ms = prefill_work(prompt, candidate, most_held_tokens).duration_ms(rates)
        load_and_rank_ms = rates.load_cost_ms * candidate.load + rates.rank_cost_ms * rank
        return wait_ms + rates.work_weight * own_ms + load_and_rank_ms

    by_name = {each.name: each for each in fit}
    ranked = [by_name[name] for name in rendezvous.rendezvous_order(prompt.key, by_name)]
    costs_ms = [cost_ms(rank, each) for rank, each in enumerate(ranked)]
    return ranked[costs_ms.index(min(costs_ms))]


def remaining_load_fraction(age_s: float, hold_s: float) -> float:
    """Return the fraction of a load received ``age_s`` ago that still applies.

    It is the expected fraction of the requests that haven't ended, with a mean duration of
    ``hold_s``.

    >>> remaining_load_fraction(0.0, 0.1), remaining_load_fraction(0.2, 0.0)
    (1.0, 0.0)
    >>> round(remaining_load_fraction(0.2, 0.1), 2)
    0.14
    """
    return math.exp(-max(0.0, age_s) / hold_s) if hold_s else 0.0


def choose_evenly(key: str, candidates: Sequence[Candidate], kept: float) -> Candidate:
    """Choose a candidate when the loads of other boxes may be out of date.

    When requests end sooner than loads are distributed, an endpoint that looked idle has since
    received requests from all boxes that saw it idle. ``kept`` is the result of
    `remaining_load_fraction` and scales the differences in load of other boxes. Differences of less
    than one request are ignored. Among equals the hash of the request's ``key`` decides, so that
    boxes don't all choose the same endpoint.

    >>> idle = Candidate(name="idle", hall="a", load=0)
    >>> busy = Candidate(name="busy", hall="a", load=9)
    >>> {choose_evenly(str(key), [idle, busy], 1.0).name for key in range(9)}
    {'idle'}
    >>> sorted({choose_evenly(str(key), [idle, busy], 0.1).name for key in range(9)})
    ['busy', 'idle']
    """
    loads = [each.load * kept + each.own_load * (1 - kept) for each in candidates]
    most = min(loads) + 1
    alike = [each.name for each, load in zip(candidates, loads, strict=True) if load < most]
    first = rendezvous.rendezvous_order(key, alike)[0]
    return next(each for each in candidates if each.name == first)


def choose_least_busy(key: str, candidates: Sequence[Candidate], hall: str) -> Candidate:
    """Choose the least busy candidate.

    Among equals one in ``hall`` is preferred, then the first in the rendezvous order of ``key``.
    """
    fewest = min(each.load for each in candidates)
    equals = [each for each in candidates if each.load == fewest]
    near = [each for each in equals if each.hall == hall] or equals
    by_name = {each.name: each for each in near}
    return by_name[rendezvous.rendezvous_order(key, by_name)[0]]
