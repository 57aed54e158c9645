"""The ways of this router to the endpoints of its pools: which are lost, and when they are back.

`Reach` is shared by all request threads and guarded by a lock. `reach_checks` asks endpoints, so
that no request has to.
"""

from __future__ import annotations

import logging
import random
import threading

import urllib3.connection

from croftpulley import clock as clocks
from croftpulley.controllers import actors, router_state, traffic
from croftpulley.core import membership
from croftpulley.core import reach as core
from croftpulley.endpoints import connection as connections
from croftpulley.endpoints import dialing
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
LOOK_TIMEOUT_S = 0.2
"""How long a look at endpoints may take: many round trips within a region."""


class Reach:
    """What this router's own connections say of its ways to pools."""

    def __init__(
        self,
        view: actors.View[router_state.RouterState],
        counts: traffic.Traffic,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._view = view
        self._counts = counts
        self._counters = counters
        self._clock = clock
        self._lock = threading.Condition()
        self._pools: dict[str, core.PoolReach] = {}
        self._lost: frozenset[str] = frozenset()
        self._answered: set[str] = set()

    @property
    def lost(self) -> frozenset[str]:
        """The pools of which no endpoint can be reached from here."""
        return self._lost

    def is_refused(self, pool: str) -> bool:
        """Tell whether not even connections are made to a pool's endpoints."""
        known = self._pools.get(pool)
        return known is not None and known.is_lost

    def is_reached(self, pool: str) -> bool:
        """Tell whether some endpoint of a pool was reached lately; waits while others are tried."""
        with self._lock:
            known = self._pools.setdefault(pool, core.PoolReach())
            self._lock.wait_for(lambda: not known.is_probing, 2 * LOOK_TIMEOUT_S)
            return known.is_reached(self._clock.monotonic_s())

    def take_answered(self) -> tuple[str, ...]:
        """Return the pools that have answered since the last call."""
        with self._lock:
            taken, self._answered = self._answered, set()
        return tuple(sorted(taken))

    def unreached(self, endpoint: membership.Endpoint, dialer: dialing.Dialer) -> None:
        """Note that no connection to an endpoint was made; look at others where that is a doubt."""
        others = [
            each
            for each in self._view.get().endpoints
            if each.pool == endpoint.pool and each.key != endpoint.key
        ]
        with self._lock:
            known = self._pool(endpoint)
            now_s = self._clock.monotonic_s()
            is_in_doubt = known.unreached(endpoint.key, len(others) + 1, now_s)
        if is_in_doubt:
            self._look(endpoint, others, dialer)

    def _look(
        self,
        endpoint: membership.Endpoint,
        others: list[membership.Endpoint],
        dialer: dialing.Dialer,
    ) -> None:
        """Find out whether any other endpoint of a pool is reached; the way is lost if none is."""
        looked_at = random.sample(others, min(core.MAX_PROBED_ENDPOINTS, len(others)))
        addresses = [each.address for each in looked_at]
        is_reached = dialer.first_to_listen(addresses, LOOK_TIMEOUT_S) is not None
        with self._lock:
            now_s = self._clock.monotonic_s()
            is_new = self._pool(endpoint).probed(is_reached=is_reached, now_s=now_s)
            self._know_lost()
            self._lock.notify_all()
        if is_new:
            self._tell(events.Event.POOL_OUT_OF_REACH, endpoint, is_lost=True)

    def asked(self, endpoint: membership.Endpoint) -> None:
        """Note a connection over which an endpoint's answer is awaited."""
        with self._lock:
            self._pool(endpoint).asked(endpoint.key, self._clock.monotonic_s())

    def doubtful(self, pool: str) -> list[membership.Endpoint]:
        """Return the endpoints of a pool that make the way there doubtful, if any do.

        Those are the ones that break off or are silent while others have answers of the pool, and
        any that have told nothing lately while the way to another pool is lost.
        """
        state = self._view.get()
        of_pool = {each.key: each for each in state.endpoints if each.pool == pool}
        with self._lock:
            known = self._pools.setdefault(pool, core.PoolReach())
            doubtful = []
            if pool in state.answering:
                size = len(of_pool)
                doubtful = known.broken(size) or known.silent(size, self._clock.monotonic_s())
            if not doubtful and self._lost:
                doubtful = known.unheard(of_pool, self._clock.monotonic_s())
        return [of_pool[key] for key in doubtful if key in of_pool]

    def mute(self, endpoint: membership.Endpoint) -> None:
        """Take it that connections to a pool's endpoints, such as this one, say nothing."""
        with self._lock:
            self._pool(endpoint).mark_unresponsive()
            self._know_lost()
        self._tell(events.Event.POOL_OUT_OF_REACH, endpoint, is_lost=True)

    def connected(self, endpoint: membership.Endpoint) -> None:
        """Note that a connection to an endpoint was made."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_back = self._pool(endpoint).connected(now_s)
            self._know_lost()
        if is_back:
            self._is_back(endpoint)

    def failed(self, endpoint: membership.Endpoint) -> None:
        """Note an attempt that ended without a word of its endpoint, which is avoided a while.

        It counts as the endpoint's failure once another one of its pool has answered.
        """
        self._counts.avoid(endpoint.key)
        with self._lock:
            self._pool(endpoint).failed(endpoint.key, self._clock.monotonic_s())

    def answered(self, endpoint: membership.Endpoint) -> None:
        """Note that the head of an endpoint's answer is there."""
        with self._lock:
            known = self._pool(endpoint)
            was_mute = known.is_unresponsive
            failed = known.answered(endpoint.key, self._clock.monotonic_s())
            self._answered.add(endpoint.pool)
            self._know_lost()
        if was_mute:
            self._is_back(endpoint)
        for key in failed:
            self._counts.erred(key)

    def _is_back(self, endpoint: membership.Endpoint) -> None:
        """Avoid nobody for what was met while the way was lost."""
        of_pool = [each.key for each in self._view.get().endpoints if each.pool == endpoint.pool]
        self._counts.trust_again(of_pool)
        self._tell(events.Event.POOL_REACHED_AGAIN, endpoint, is_lost=False)

    def _pool(self, endpoint: membership.Endpoint) -> core.PoolReach:
        return self._pools.setdefault(endpoint.pool, core.PoolReach())

    def _know_lost(self) -> None:
        self._lost = frozenset(
            name for name, each in self._pools.items() if each.is_lost or each.is_unresponsive
        )

    def _tell(self, event: events.Event, endpoint: membership.Endpoint, *, is_lost: bool) -> None:
        self._counters.out_of_reach(endpoint.pool, is_lost)
        events.emit(
            _LOG,
            event,
            level=logging.WARNING,
            pool=endpoint.pool,
            endpoint=endpoint.key,
            are_connections_made=not self.is_refused(endpoint.pool),
            lost=sorted(self._lost),
        )


class NotingDialer(dialing.Dialer):
    """Dials one endpoint and notes whether that is reached."""

    def __init__(self, endpoint: membership.Endpoint, known: Reach, dialer: dialing.Dialer) -> None:
        self._endpoint = endpoint
        self._known = known
        self._dialer = dialer

    def dial(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Make a connection."""
        try:
            self._dialer.dial(connection)
        except connections.TRANSPORT_ERRORS:
            self._known.unreached(self._endpoint, self._dialer)
            raise
        self._known.connected(self._endpoint)
        self._known.asked(self._endpoint)

    def listens(self, address: str, timeout_s: float) -> bool | None:
        """Connect and close."""
        listens = self._dialer.listens(address, timeout_s)
        if listens:
            self._known.connected(self._endpoint)
        return listens
