"""Total load of each pool over the reports of all boxes."""

from __future__ import annotations

from croftpulley.core import membership

Loads = tuple[membership.PoolLoad, ...]


class PoolTotals:
    """Keeps totals up to date incrementally, at a cost that doesn't depend on the number of boxes.

    >>> totals = PoolTotals()
    >>> totals.replace("box-1", (membership.PoolLoad("llm", 4, 2),))
    >>> totals.replace("box-2", (membership.PoolLoad("llm", 1, 1),))
    >>> totals.replace("box-1", (membership.PoolLoad("llm", 2, 2),))
    >>> totals.loads()
    (PoolLoad(pool='llm', outstanding=3, engines=3),)
    """

    def __init__(self) -> None:
        self._by_box: dict[str, Loads] = {}
        self._totals: dict[str, membership.PoolLoad] = {}

    def replace(self, box: str, loads: Loads) -> None:
        """Replace the last report of a box. An empty report removes the box."""
        for load in self._by_box.pop(box, ()):
            self._add(load.pool, -load.outstanding, -load.engines)
        for load in loads:
            self._add(load.pool, load.outstanding, load.engines)
        if loads:
            self._by_box[box] = loads

    def loads(self) -> Loads:
        """Return the totals of all pools with an owned engine or outstanding requests, by name."""
        return tuple(self._totals[pool] for pool in sorted(self._totals))

    def _add(self, pool: str, outstanding: int, engines: int) -> None:
        known = self._totals.get(pool, membership.PoolLoad(pool, 0, 0))
        total = membership.PoolLoad(pool, known.outstanding + outstanding, known.engines + engines)
        if total.engines or total.outstanding:
            self._totals[pool] = total
        else:
            self._totals.pop(pool, None)
