"""This router's network paths to its pools: which are lost, and when they are back.

`Reach` is shared by all request threads and guarded by a lock. `reach_checks` probes endpoints in
the background, so that no request has to.
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
PROBE_TIMEOUT_S = 0.2
"""Timeout of a probe of endpoints: many round trips within a region."""


class Reach:
    """State of this router's paths to pools, from the results of its own connections."""

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
        """Tell whether the path to a pool is lost because no connection can be made.

        It is also lost if connections are made and then get no response (unresponsive).
        """
        known = self._pools.get(pool)
        return known is not None and known.is_lost

    def is_reached(self, pool: str) -> bool:
        """Tell whether an endpoint of a pool was reached recently; waits for a probe under way."""
        with self._lock:
            known = self._pools.setdefault(pool, core.PoolReach())
            self._lock.wait_for(lambda: not known.is_probing, 2 * PROBE_TIMEOUT_S)
            return known.is_reached(self._clock.monotonic_s())

    def take_answered(self) -> tuple[str, ...]:
        """Return the pools that have answered since the last call."""
        with self._lock:
            taken, self._answered = self._answered, set()
        return tuple(sorted(taken))

    def unreached(self, endpoint: membership.Endpoint, dialer: dialing.Dialer) -> None:
        """Note that no connection to an endpoint was made.

        Probes other endpoints of the pool if the path to the pool may be lost.
        """
        others = [
            each
            for each in self._view.get().endpoints
            if each.pool == endpoint.pool and each.key != endpoint.key
        ]
        with self._lock:
            known = self._pool(endpoint)
            now_s = self._clock.monotonic_s()
            needs_probe = known.unreached(endpoint.key, len(others) + 1, now_s)
        if needs_probe:
            self._probe(endpoint, others, dialer)

    def _probe(
        self,
        endpoint: membership.Endpoint,
        others: list[membership.Endpoint],
        dialer: dialing.Dialer,
    ) -> None:
        """Probe other endpoints of a pool; the path to the pool is lost if none is reached."""
        probed = random.sample(others, min(core.MAX_PROBED_ENDPOINTS, len(others)))
        addresses = [each.address for each in probed]
        is_reached = dialer.first_listening(addresses, PROBE_TIMEOUT_S) is not None
        with self._lock:
            now_s = self._clock.monotonic_s()
            is_new = self._pool(endpoint).probed(is_reached=is_reached, now_s=now_s)
            self._update_lost()
            self._lock.notify_all()
        if is_new:
            self._log_change(events.Event.POOL_OUT_OF_REACH, endpoint, is_lost=True)

    def asked(self, endpoint: membership.Endpoint) -> None:
        """Note that a connection to an endpoint waits for its response."""
        with self._lock:
            self._pool(endpoint).asked(endpoint.key, self._clock.monotonic_s())

    def doubtful(self, pool: str) -> list[membership.Endpoint]:
        """Return the endpoints of a pool that suggest that the path to the pool is lost.

        Those are the endpoints whose connections break or that are silent while other boxes get
        responses from the pool. While the path to another pool is lost, those are otherwise the
        endpoints not heard from recently.
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

    def mark_unresponsive(self, endpoint: membership.Endpoint) -> None:
        """Mark the path to an endpoint's pool as lost: connections are made but get no response."""
        with self._lock:
            self._pool(endpoint).mark_unresponsive()
            self._update_lost()
        self._log_change(events.Event.POOL_OUT_OF_REACH, endpoint, is_lost=True)

    def connected(self, endpoint: membership.Endpoint) -> None:
        """Note that a connection to an endpoint was made, which may show that the path is back."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_back = self._pool(endpoint).connected(now_s)
            self._update_lost()
        if is_back:
            self._note_back(endpoint)

    def failed(self, endpoint: membership.Endpoint) -> None:
        """Note an attempt that ended without any response, and start a back-off for its endpoint.

        It counts as the endpoint's failure once another endpoint of the pool has answered.
        """
        self._counts.start_backoff(endpoint.key)
        with self._lock:
            self._pool(endpoint).failed(endpoint.key, self._clock.monotonic_s())

    def answered(self, endpoint: membership.Endpoint) -> None:
        """Note that the headers of an endpoint's response have arrived."""
        with self._lock:
            known = self._pool(endpoint)
            was_unresponsive = known.is_unresponsive
            failed = known.answered(endpoint.key, self._clock.monotonic_s())
            self._answered.add(endpoint.pool)
            self._update_lost()
        if was_unresponsive:
            self._note_back(endpoint)
        for key in failed:
            self._counts.erred(key)

    def _note_back(self, endpoint: membership.Endpoint) -> None:
        """End the back-offs of a pool's endpoints: the lost path caused them."""
        of_pool = [each.key for each in self._view.get().endpoints if each.pool == endpoint.pool]
        self._counts.end_backoff(of_pool)
        self._log_change(events.Event.POOL_REACHED_AGAIN, endpoint, is_lost=False)

    def _pool(self, endpoint: membership.Endpoint) -> core.PoolReach:
        return self._pools.setdefault(endpoint.pool, core.PoolReach())

    def _update_lost(self) -> None:
        self._lost = frozenset(
            name for name, each in self._pools.items() if each.is_lost or each.is_unresponsive
        )

    def _log_change(
        self, event: events.Event, endpoint: membership.Endpoint, *, is_lost: bool
    ) -> None:
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


class RecordingDialer(dialing.Dialer):
    """Dials one endpoint and records in a `Reach` whether it was reached."""

    def __init__(self, endpoint: membership.Endpoint, known: Reach, dialer: dialing.Dialer) -> None:
        self._endpoint = endpoint
        self._known = known
        self._dialer = dialer

    def dial(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Make a connection; record the result, and raise the error again if there is one."""
        try:
            self._dialer.dial(connection)
        except connections.TRANSPORT_ERRORS:
            self._known.unreached(self._endpoint, self._dialer)
            raise
        self._known.connected(self._endpoint)
        self._known.asked(self._endpoint)

    def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Return the result of a probe as the wrapped dialer does, and record a success."""
        listens = self._dialer.is_listening(address, timeout_s)
        if listens:
            self._known.connected(self._endpoint)
        return listens
