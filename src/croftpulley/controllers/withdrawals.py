"""The controller of a router that ends rests and counts the endpoints that want no requests.

A rest is the time for which an endpoint asks for no requests (503 with Retry-After).
"""

from __future__ import annotations

import collections
import logging

from croftpulley.controllers import actors, router_state, traffic
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)


class WithdrawalController(actors.Controller):
    """Removes expired rests and updates the gauges of withdrawn endpoints at each tick."""

    def __init__(
        self,
        counts: traffic.Traffic,
        view: actors.View[router_state.RouterState],
        counters: metrics.Metrics,
    ) -> None:
        super().__init__()
        self._counts = counts
        self._view = view
        self._counters = counters
        self._gauged_pools: set[str] = set()

    def handle(self, message: object) -> None:
        """Log the rests that are over and update the gauges."""
        for ended in self._counts.expire_rests():
            events.emit(
                _LOG,
                events.Event.REST_ENDED,
                endpoint=ended.endpoint,
                rest_s=round(ended.rest_s, 3),
                sent_since=ended.sent_since,
            )
        self._update_gauges()

    def _update_gauges(self) -> None:
        """Set the gauge of each pool that has withdrawn endpoints or had some at the last tick."""
        resting: collections.Counter[str] = collections.Counter()
        leaving: collections.Counter[str] = collections.Counter()
        withdrawn = self._counts.withdrawn()
        if not (withdrawn or self._gauged_pools):
            return
        for each in self._view.get().endpoints:
            withdrawal = withdrawn.get(each.key)
            if withdrawal is not None:
                (leaving if withdrawal.leaves else resting)[each.pool] += 1
        now = resting.keys() | leaving.keys()
        for pool in now | self._gauged_pools:
            self._counters.withdrawn(pool, resting[pool], leaving[pool])
        self._gauged_pools = set(now)
