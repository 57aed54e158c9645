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
MOST_ASKED = 8
"""Endpoints beside a doubtful one that are asked whether they are well: some may have ended."""
TRIED_AT_ONCE = 4
"""Endpoints of a lost pool that are tried at one tick: with half of them down one is reached."""


class ReachChecks(actors.Controller):
    """Tries some endpoints of each lost pool at each tick, in turn."""

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
        self._unanswered: set[str] = set()
        """The pools of which nobody answered at the last tick."""

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
        if self._known.is_refused(pool):
            self._connect(of_pool)
        elif self._tries % TICKS_A_QUESTION == 0:
            self._answers(of_pool[self._tries % len(of_pool)])

    def _connect(self, of_pool: list[membership.Endpoint]) -> None:
        """Connect to the next endpoints in turn; the first that listens shows the way."""
        start = self._tries * TRIED_AT_ONCE
        count = min(TRIED_AT_ONCE, len(of_pool))
        tried = {
            each.address: each
            for each in (of_pool[(start + n) % len(of_pool)] for n in range(count))
        }
        address = self._dialer.first_to_listen(tuple(tried), reach.LOOK_TIMEOUT_S)
        if address is not None:
            self._known.connected(tried[address])

    def _doubt(self, pool: str) -> None:
        """Find out whether endpoints say nothing of which there is doubt."""
        doubtful = self._known.doubtful(pool)
        was_unanswered = pool in self._unanswered
        self._unanswered.discard(pool)
        if not doubtful:
            return
        # Those may have ended: another one that answers shows that the way is there.
        others = [each for each in self._of_pool(pool) if each not in doubtful]
        asked = random.sample(doubtful, 1)
        asked += random.sample(others or doubtful, min(MOST_ASKED, len(others or doubtful)))
        if dialing.first_that(self._answers, asked) is not None:
            return
        if was_unanswered:
            self._known.mute(asked[0])
        else:
            # This box may have been too busy to hear an answer in time.
            self._unanswered.add(pool)

    def _answers(self, endpoint: membership.Endpoint) -> bool:
        """Ask an endpoint whether it is well; any answer shows that the way is there."""
        pool = self._view.get().tables.pools.get(endpoint.pool)
        path = pool.health_path if pool else "/"
        target = connections.Target(endpoint.address, reach.LOOK_TIMEOUT_S, reach.LOOK_TIMEOUT_S)
        request = connections.HttpRequest("GET", path, content_type=None)
        try:
            connections.whole(target, request, connections.WORKER_FAILURES, dialer=self._dialer)
        except errors.CroftpulleyError:
            # What a failure says is that nothing was heard.
            return False
        self._known.answered(endpoint)
        return True
