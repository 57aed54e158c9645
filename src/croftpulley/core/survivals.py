"""When parts of prompts last survived the beginning of an answer, as one router saw; pure."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MOST_KEPT = 10_000
"""Of each pool, about 1 MB; the oldest go first."""


@attrs.define
class Survivals:
    """Parts by the pool whose endpoints they survived.

    >>> survivals = Survivals()
    >>> survivals.note("llm", ("part-a", "part-b"), 5.0)
    >>> survivals.since("part-a", ("llm",), 4.0), survivals.since("part-a", ("desk",), 4.0)
    (True, False)
    """

    _at_s: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def note(self, pool: str, parts: Iterable[str], now_s: float) -> None:
        """Note that parts survived at an endpoint of a pool."""
        of_pool = self._at_s.setdefault(pool, {})
        for each in parts:
            # The last one to survive comes last.
            of_pool.pop(each, None)
            of_pool[each] = now_s
        while len(of_pool) > MOST_KEPT:
            del of_pool[next(iter(of_pool))]

    def since(self, part: str, pools: Iterable[str], since_s: float) -> bool:
        """Tell whether a part survived in any of these pools from a moment on."""
        return any(
            self._at_s.get(pool, _NOTHING).get(part, float("-inf")) >= since_s for pool in pools
        )


_NOTHING: dict[str, float] = {}
