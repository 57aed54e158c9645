"""Callers who compete for few slots, and what all routers together have at a pool's endpoints."""

from __future__ import annotations

import collections
import threading

from croftpulley.core import permits
from soak import fleet

SLOTS = 2
"""Of each endpoint."""
CALLERS = 30
"""Two and a half times what the endpoints of a pool and those that wait there are."""
UNREAD_SHARE = 0.05
_SAMPLE_S = 0.005


class Watch:
    """Counts what runs at the endpoints of each pool at once."""

    def __init__(self, site: fleet.Fleet, *, runs: bool) -> None:
        self.most: collections.Counter[str] = collections.Counter()
        self._site = site
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True) if runs else None

    def start(self) -> None:
        """Begin."""
        if self._thread is not None:
            self._thread.start()

    def stop(self) -> None:
        """End."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()

    def broken(self) -> list[str]:
        """Return the pools that had more than all routers may have there."""
        most = fleet.ENDPOINTS * SLOTS * (1 + permits.MAX_QUEUE_RATIO)
        most += fleet.ROUTERS * permits.MIN_PERMITS
        return [
            f"{pool} ran {count} requests at once, {most:.0f} are allowed"
            for pool, count in self.most.items()
            if count > most
        ]

    def _watch(self) -> None:
        while not self._stopped.wait(_SAMPLE_S):
            now: collections.Counter[str] = collections.Counter()
            for each in list(self._site.served):
                now[each.pool] += each.stand_in.running
            self.most |= now
