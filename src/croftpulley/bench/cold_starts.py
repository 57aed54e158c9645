"""Compares ways of keeping a cold endpoint within what it takes, in virtual time.

All routers have callers for the cold endpoint: together ten times what it takes, as where a hall
comes back and is the emptiest. Each renews every 0.25 s; one in ten starts anew each second, and
the set of boxes that routers hash over is told to each with its next renewal.
"""

from __future__ import annotations

import abc
import random
from collections.abc import Callable

import attrs

from croftpulley.bench import table
from croftpulley.core import rendezvous, send_quotas

ROUTERS = (12, 92, 200, 790)
TAKES_PER_S = 9.6
"""What a cold engine takes, by the users' sheet; their bound is 1.5 times that and 5."""
_BOUND_PER_S = 1.5 * TAKES_PER_S + 5
_SECONDS = 20
_STEP_S = 0.01
_RENEW_S = 0.25
_DEMAND = 10
_RESTARTS_PER_S = 0.1


class Way(abc.ABC):
    """Whether a router may send one more request now."""

    @abc.abstractmethod
    def renew(self, router: str, boxes: tuple[str, ...], now_s: float) -> None:
        """Tell a router who the others are, and whatever the leader tells with a renewal."""

    @abc.abstractmethod
    def may_send(self, router: str, now_s: float) -> bool:
        """Take one request from what the router may send, if there is one."""

    @abc.abstractmethod
    def restart(self, router: str, now_s: float) -> None:
        """Have a router forget all."""


class EvenDivision(Way):
    """Each router may send its fraction, gathered until it is a whole request."""

    def __init__(self) -> None:
        self._others: dict[str, int] = {}
        self._tokens: dict[str, tuple[float, float]] = {}

    def renew(self, router: str, boxes: tuple[str, ...], now_s: float) -> None:
        """Take what a renewal tells."""
        self._others[router] = len(boxes)

    def may_send(self, router: str, now_s: float) -> bool:
        """Take one request if there is one."""
        rate = TAKES_PER_S / self._others[router]
        tokens, since_s = self._tokens.get(router, (1.0, now_s))
        tokens = min(max(1.0, rate), tokens + rate * (now_s - since_s))
        taken = tokens >= 1.0
        self._tokens[router] = (tokens - taken, now_s)
        return taken

    def restart(self, router: str, now_s: float) -> None:
        """Forget all of this router."""
        self._tokens.pop(router, None)


class HashedFew(Way):
    """The first few in the endpoint's own order may send one request a second each."""

    def __init__(self) -> None:
        self._chosen: dict[str, bool] = {}
        self._paces: dict[str, send_quotas.SendLimiter] = {}

    def renew(self, router: str, boxes: tuple[str, ...], now_s: float) -> None:
        """Take what a renewal tells."""
        self._chosen[router] = router in rendezvous.rendezvous_order("e", boxes)[: int(TAKES_PER_S)]

    def may_send(self, router: str, now_s: float) -> bool:
        """Take one request if there is one."""
        pace = self._paces.setdefault(router, send_quotas.SendLimiter())
        departure = pace.try_reserve("e", int(self._chosen.get(router, False)), now_s)
        if departure is not None:
            departure.sent_at_s = now_s
        return departure is not None

    def restart(self, router: str, now_s: float) -> None:
        """Forget all of this router."""
        self._paces.pop(router, None)


class Allotted(Way):
    """The leader allots parts that end by themselves (`send_quotas.QuotaAllocator`)."""

    def __init__(self) -> None:
        self._leader = send_quotas.QuotaAllocator()
        self._told: dict[str, tuple[int, float]] = {}
        self._paces: dict[str, send_quotas.SendLimiter] = {}

    def renew(self, router: str, boxes: tuple[str, ...], now_s: float) -> None:
        """Take what a renewal tells."""
        count = self._leader.renew_quota("e", TAKES_PER_S, router, boxes, now_s)
        self._told[router] = (count, now_s + send_quotas.QUOTA_TTL_S)

    def may_send(self, router: str, now_s: float) -> bool:
        """Take one request if there is one."""
        count, until_s = self._told.get(router, (0, 0.0))
        pace = self._paces.setdefault(router, send_quotas.SendLimiter())
        departure = pace.try_reserve("e", count, now_s) if now_s < until_s else None
        if departure is not None:
            departure.sent_at_s = now_s
        return departure is not None

    def restart(self, router: str, now_s: float) -> None:
        """Forget all of this router."""
        self._told.pop(router, None)
        self._paces[router] = send_quotas.SendLimiter.after_restart(now_s)


@attrs.define
class _Router:
    name: str
    renews_at_s: float
    up_from_s: float = 0.0
    is_told: bool = False
    """Whether it has renewed since its start."""


def run() -> list[table.Row]:
    """Compare all ways at all sizes, with the same callers and restarts."""
    ways: dict[str, Callable[[], Way]] = {
        "even": EvenDivision,
        "hashed_few": HashedFew,
        "allotted": Allotted,
    }
    return [
        row
        for routers in ROUTERS
        for name, way in ways.items()
        for row in _rows(f"{name}_{routers}_routers", play(way(), routers))
    ]


def _rows(key: str, sent_s: list[float]) -> list[table.Row]:
    worst = most_in_a_second(sent_s)
    return [
        table.Row(f"{key}_worst_second", worst),
        table.Row(f"{key}_beyond_bound", max(0.0, round(worst - _BOUND_PER_S, 1))),
        table.Row(f"{key}_mean_per_s", round(len(sent_s) / _SECONDS, 2)),
        table.Row(f"{key}_first_s", round(sent_s[0], 2) if sent_s else float("inf")),
    ]


def play(way: Way, count: int) -> list[float]:
    """Return when requests left for the endpoint."""
    chance = random.Random(count)
    routers = [_Router(f"router-{n}", chance.uniform(0, _RENEW_S)) for n in range(count)]
    send_share = _DEMAND * TAKES_PER_S * _STEP_S / count
    sent_s = []
    for step in range(int(_SECONDS / _STEP_S)):
        now_s = step * _STEP_S
        boxes = tuple(each.name for each in routers if each.up_from_s <= now_s)
        for each in routers:
            if now_s < each.up_from_s:
                continue
            if now_s >= each.renews_at_s:
                way.renew(each.name, boxes, now_s)
                each.renews_at_s += _RENEW_S
                each.is_told = True
            if each.is_told and chance.random() < send_share and way.may_send(each.name, now_s):
                sent_s.append(now_s)
            if chance.random() < _RESTARTS_PER_S * _STEP_S:
                each.up_from_s = now_s + chance.uniform(0.4, 1.0)
                each.renews_at_s = each.up_from_s
                each.is_told = False
                way.restart(each.name, each.up_from_s)
    return sent_s


def most_in_a_second(sent_s: list[float]) -> int:
    """Return how many of the times lie in the second that holds the most."""
    most = 0
    begin = 0
    for position, at_s in enumerate(sent_s):
        while sent_s[begin] <= at_s - send_quotas.WINDOW_S:
            begin += 1
        most = max(most, position - begin + 1)
    return most
