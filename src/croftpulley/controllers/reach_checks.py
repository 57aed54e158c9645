"""The controller of a router that asks endpoints to which the way may be lost."""

from __future__ import annotations

import random

from croftpulley import errors
from croftpulley.controllers import actors, reach, router_state
from croftpulley.core import membership
from croftpulley.endpoints import connection as connections
from croftpulley.endpoints import dialing

TICKS_A_QUESTION = 4
"""Ticks between two questions to an endpoint whether it is well, while the way there is mute."""
TRY_TIMEOUT_S = 0.2
"""How long a try of a lost way may take: many round trips within a region."""


class ReachChecks(actors.Controller):
    """Tries one endpoint of each lost pool at each tick, one after another."""

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
        self._tries = 0

    def handle(self, message: object) -> None:
        """Look once."""
        self._tries += 1
        for pool in sorted(self._known.lost):
            self._try(pool)
        pools = {each.pool for each in self._view.get().endpoints}
        for pool in sorted(pools - self._known.lost):
            self._doubt(pool)

    def _of_pool(self, pool: str) -> list[membership.Endpoint]:
        return [each for each in self._view.get().endpoints if each.pool == pool]

    def _try(self, pool: str) -> None:
        """Try whether the way to a pool is there again."""
        of_pool = self._of_pool(pool)
        if not of_pool:
            return
        endpoint = of_pool[self._tries % len(of_pool)]
        if self._known.is_refused(pool):
            way = reach.NotingDialer(endpoint, self._known, self._dialer)
            way.listens(endpoint.address, TRY_TIMEOUT_S)
        elif self._tries % TICKS_A_QUESTION == 0:
            self._answers(endpoint)

    def _doubt(self, pool: str) -> None:
        """Find out whether endpoints say nothing of which there is doubt."""
        doubtful = self._known.doubtful(pool)
        if not doubtful:
            return
        # Those may have ended: another one that answers shows that the way is there.
        others = [each for each in self._of_pool(pool) if each not in doubtful]
        asked = random.sample(doubtful, 1) + random.sample(others or doubtful, 1)
        if not any(self._answers(each) for each in asked):
            self._known.mute(asked[0])

    def _answers(self, endpoint: membership.Endpoint) -> bool:
        """Ask an endpoint whether it is well; any answer shows that the way is there."""
        pool = self._view.get().tables.pools.get(endpoint.pool)
        path = pool.health_path if pool else "/"
        target = connections.Target(endpoint.address, TRY_TIMEOUT_S, TRY_TIMEOUT_S)
        request = connections.HttpRequest("GET", path, content_type=None)
        try:
            connections.whole(target, request, connections.WORKER_FAILURES, dialer=self._dialer)
        except errors.CroftpulleyError:
            # What a failure says is that nothing was heard.
            return False
        self._known.answered(endpoint)
        return True
