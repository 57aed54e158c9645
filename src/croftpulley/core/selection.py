"""Which endpoint a forwarded request goes to.

Requests that share the beginning of their prompt go to an engine that likely holds it, as long as
that is not much busier than the others. If none holds it, rendezvous hashing orders the engines for
the prompt's first part; the first few of them (``core/spread.py`` says how many) are then ordered
for its last shared part, so that few engines read the first part and one reads the rest. A request
spills in that order. Requests without a shared part go to the least busy endpoint.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from croftpulley.core import choice


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint that may take the request; ``load`` is what all boxes have in flight there.

    ``avoid_until_s`` is when it may be trusted again after a failure.
    """

    name: str
    hall: str
    load: int
    avoid_until_s: float = float("-inf")


@attrs.frozen(kw_only=True)
class Spill:
    """When an engine is too busy for a request that it would suit.

    Above ``multiple`` times the mean plus ``slack`` requests the next in order is taken.
    """

    multiple: float = 1.5
    slack: float = 2.0

    def most(self, loads: Sequence[int]) -> float:
        """Return the load up to which the preferred engine is taken."""
        return self.multiple * sum(loads) / max(1, len(loads)) + self.slack


def trusted(candidates: Sequence[Candidate], now_s: float) -> list[Candidate]:
    """Return those not to be avoided; if all are, the one whose time ends first.

    Suspicion alone must never leave a request without an endpoint.
    """
    good = [each for each in candidates if each.avoid_until_s <= now_s]
    if good or not candidates:
        return good
    return [min(candidates, key=lambda each: each.avoid_until_s)]


@attrs.frozen(kw_only=True)
class Affinity:
    """What a prompt shares: its first part and the last shared one, which may be the same.

    ``spread`` is over how many engines prompts with this first part are spread.
    """

    first_part: str
    last_part: str
    spread: int = 1

    def order(self, names: Iterable[str]) -> list[str]:
        """Return the engines in the order of preference."""
        by_first = choice.order(self.first_part, names)
        few = choice.order(self.last_part, by_first[: self.spread])
        return few + by_first[self.spread :]


def by_holding(
    holders: Sequence[str], candidates: Sequence[Candidate], spill: Spill
) -> Candidate | None:
    """Choose the least busy engine that holds a shared part, if one is not too busy."""
    most = spill.most([each.load for each in candidates])
    fit = [each for each in candidates if each.name in holders and each.load + 1 <= most]
    return min(fit, key=lambda each: (each.load, each.name)) if fit else None


def by_affinity(affinity: Affinity, candidates: Sequence[Candidate], spill: Spill) -> Candidate:
    """Choose for a shared beginning; ``candidates`` is not empty."""
    by_name = {each.name: each for each in candidates}
    most = spill.most([each.load for each in candidates])
    for name in affinity.order(by_name):
        if by_name[name].load + 1 <= most:
            return by_name[name]
    return least_busy(affinity.last_part, candidates, "")


def least_busy(key: str, candidates: Sequence[Candidate], hall: str) -> Candidate:
    """Choose the least busy; among equals one in ``hall``, then by the key's own order."""
    fewest = min(each.load for each in candidates)
    equals = [each for each in candidates if each.load == fewest]
    near = [each for each in equals if each.hall == hall] or equals
    by_name = {each.name: each for each in near}
    return by_name[choice.order(key, by_name)[0]]
