"""The controller of a router that probes endpoints if the path to their pool may be lost."""

from __future__ import annotations

import random

from croftpulley import errors
from croftpulley.controllers import actors, reach, router_state
from croftpulley.core import membership
from croftpulley.endpoints import connection as connections
from croftpulley.endpoints import dialing

TICKS_PER_HEALTH_CHECK = 4
"""Ticks between two health checks of a pool while its endpoints are unresponsive."""
MAX_CHECKED = 8
"""Most endpoints checked in addition to a doubtful one; several, as some may have ended."""
MAX_PROBED_PER_TICK = 4
"""Most endpoints of a lost pool that are probed per tick: enough to reach one with half of them
down."""


class ReachChecks(actors.Controller):
    """Probes some endpoints of each lost pool, and checks doubtful pools, at each tick."""

    def __init__(
        self,
        known: reach.Reach,
        view: actors.View[router_state.RouterState],
        dialer: dialing.Dialer,
    ) -> None:
        super().__init__()
        self._known = known
        self._view = view
        self._dialer = dialer
        self._ticks = 0
        self._unanswered: set[str] = set()
        """The pools in which no checked endpoint answered at the last tick."""

    def handle(self, message: object) -> None:
        """Run the probes of one tick."""
        self._ticks += 1
        for pool in sorted(self._known.lost):
            self._check_lost(pool)
        pools = {each.pool for each in self._view.get().endpoints}
        for pool in sorted(pools - self._known.lost):
            self._check_doubtful(pool)

    def _of_pool(self, pool: str) -> list[membership.Endpoint]:
        return [each for each in self._view.get().endpoints if each.pool == pool]

    def _check_lost(self, pool: str) -> None:
        """Find out whether the path to a lost pool is back."""
        of_pool = self._of_pool(pool)
        if not of_pool:
            return
        if self._known.is_refused(pool):
            self._probe_next(of_pool)
        elif self._ticks % TICKS_PER_HEALTH_CHECK == 0:
            self._is_healthy(of_pool[self._ticks % len(of_pool)])

    def _probe_next(self, of_pool: list[membership.Endpoint]) -> None:
        """Probe the next endpoints in turn; the first that accepts shows that the path is back."""
        start = self._ticks * MAX_PROBED_PER_TICK
        count = min(MAX_PROBED_PER_TICK, len(of_pool))
        probed = {
            each.address: each
            for each in (of_pool[(start + n) % len(of_pool)] for n in range(count))
        }
        address = self._dialer.first_listening(tuple(probed), reach.PROBE_TIMEOUT_S)
        if address is not None:
            self._known.connected(probed[address])

    def _check_doubtful(self, pool: str) -> None:
        """Check a pool's doubtful endpoints and some others; mark the path as lost if none answers.

        It takes two ticks in a row without an answer.
        """
        doubtful = self._known.doubtful(pool)
        was_unanswered = pool in self._unanswered
        self._unanswered.discard(pool)
        if not doubtful:
            return
        # The doubtful ones may have ended: any other one that answers shows that the path works.
        others = [each for each in self._of_pool(pool) if each not in doubtful]
        checked = random.sample(doubtful, 1)
        checked += random.sample(others or doubtful, min(MAX_CHECKED, len(others or doubtful)))
        if dialing.first_matching(self._is_healthy, checked) is not None:
            return
        if was_unanswered:
            self._known.mark_unresponsive(checked[0])
        else:
            # This box may have been too busy to receive a response in time.
            self._unanswered.add(pool)

    def _is_healthy(self, endpoint: membership.Endpoint) -> bool:
        """Send a health check to an endpoint; any response shows that the path works."""
        pool = self._view.get().tables.pools.get(endpoint.pool)
        path = pool.health_path if pool else "/"
        target = connections.Target(endpoint.address, reach.PROBE_TIMEOUT_S, reach.PROBE_TIMEOUT_S)
        request = connections.HttpRequest("GET", path, content_type=None)
        try:
            connections.send_and_read(
                target, request, connections.WORKER_FAILURES, dialer=self._dialer
            )
        except errors.CroftpulleyError:
            # No response arrived.
            return False
        self._known.answered(endpoint)
        return True
