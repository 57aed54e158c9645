"""Pools that recently responded to boxes, as the boxes report to the control leader.

A box that receives nothing over its connections cannot tell lost links from slow endpoints. Recent
responses to other boxes show that the pool answers, so its own links are the likely fault.

Pure: no I/O and no clock of its own.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

REPORT_TTL_S = 2.0
"""How long a reported response shows that its pool answers: a few renewal intervals, so that a pool
that gets few requests a second still counts."""


@attrs.define
class RecentPoolResponses:
    """When each box last reported a response of each pool.

    >>> responses = RecentPoolResponses()
    >>> responses.note("box-1", ["llm"], 0.0)
    >>> [responses.pools_answering_others(box, 0.5) for box in ("box-2", "box-1")]
    [('llm',), ()]
    >>> responses.pools_answering_others("box-2", 2.5)
    ()
    """

    _reported_at_s: dict[str, dict[str, float]] = attrs.field(factory=dict)
    """Report times by pool, then by box."""

    def note(self, box: str, pools: Iterable[str], now_s: float) -> None:
        """Record a box's report that these pools have responded since its last report."""
        for pool in pools:
            of_pool = self._reported_at_s.setdefault(pool, {})
            of_pool.pop(box, None)
            # Re-inserted so that the newest report comes last.
            of_pool[box] = now_s

    def pools_answering_others(self, box: str, now_s: float) -> tuple[str, ...]:
        """Return the pools, sorted, that recently responded to a box other than ``box``."""
        return tuple(
            pool
            for pool, of_pool in sorted(self._reported_at_s.items())
            if _has_recent_other(of_pool, box, now_s)
        )

    def forget(self, now_s: float) -> None:
        """Drop reports older than `REPORT_TTL_S`."""
        for pool, of_pool in list(self._reported_at_s.items()):
            recent = {box: at_s for box, at_s in of_pool.items() if now_s < at_s + REPORT_TTL_S}
            if recent:
                self._reported_at_s[pool] = recent
            else:
                del self._reported_at_s[pool]


def _has_recent_other(of_pool: dict[str, float], box: str, now_s: float) -> bool:
    """Tell whether a box other than ``box`` reported recently.

    Only the two newest reports need a look, as each box has one.
    """
    newest = [name for name, _ in zip(reversed(of_pool), range(2), strict=False)]
    return any(name != box and now_s < of_pool[name] + REPORT_TTL_S for name in newest)
