"""Over how many engines the requests with one common beginning are spread.

Many prompts begin with one of a few first parts. Every engine that serves such prompts must read
the first part once, so they should go to few engines; but to enough of them for their share of the
work. The leading control box sees the work of all routers and tells all of them the same number.
"""

from __future__ import annotations

import math

import attrs

HALF_LIFE_S = 5.0
"""Long enough for a hundred requests of a small site, short enough to follow a surge."""
HEADROOM = 1.2
"""Engines given beyond a part's exact share, so that they are not busier than the others."""
HYSTERESIS = 0.6
"""How far, in engines, the share must leave the present number before that changes."""
LEAST_SHARE = 0.01
"""First parts with less of the work than this are not worth remembering."""


@attrs.define
class PartWork:
    """The recent work by first part, in prompt tokens, and the numbers told last.

    >>> work = PartWork()
    >>> work.add({"a": 900, "b": 100}, 0.0)
    >>> work.spreads(10)
    {'a': 10}
    """

    _tokens: dict[str, float] = attrs.field(factory=dict)
    _spreads: dict[str, int] = attrs.field(factory=dict)
    _at_s: float = 0.0

    def add(self, tokens: dict[str, int], now_s: float) -> None:
        """Add what a router sent since it last told."""
        self._decay(now_s)
        for part, count in tokens.items():
            self._tokens[part] = self._tokens.get(part, 0.0) + count

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self._at_s) / HALF_LIFE_S)
        self._at_s = now_s
        least = LEAST_SHARE * sum(self._tokens.values()) * factor
        self._tokens = {
            part: tokens * factor
            for part, tokens in self._tokens.items()
            if tokens * factor >= least
        }

    def spreads(self, engines: int) -> dict[str, int]:
        """Return the parts that need more than one of ``engines``, with how many each needs."""
        total = sum(self._tokens.values())
        told = {}
        for part, tokens in self._tokens.items():
            wanted = HEADROOM * engines * tokens / total if total else 1.0
            told[part] = min(engines, _settled(self._spreads.get(part, 1), wanted))
        self._spreads = {part: count for part, count in told.items() if count > 1}
        return self._spreads


def _settled(present: int, wanted: float) -> int:
    """Return the number of engines for a share, unless the present one is near enough."""
    if present - 1 - HYSTERESIS < wanted <= present + HYSTERESIS:
        return present
    return max(1, math.ceil(wanted))
