"""Permits of this router: they limit its requests at a pool's endpoints, and the others queue.

Shared by all request threads and guarded by a lock, as `traffic.Traffic` is.
"""

from __future__ import annotations

import threading
from collections.abc import Set

import attrs

from croftpulley import cancel, codes, errors
from croftpulley import clock as clocks
from croftpulley.controllers import actors, router_state, traffic
from croftpulley.core import membership, permits, retry_times, waiting_line

_POLL_S = 0.1
"""How often a waiting request checks whether a renewal has raised the number of permits."""


@attrs.frozen(kw_only=True)
class Request:
    """The properties of a request that decide when it gets a permit."""

    pool: str
    workspace: str
    urgency: int
    objective_s: float
    deadline_s: float
    token: cancel.CancelToken


class NoPermitError(errors.CroftpulleyError):
    """The request is not expected to start in time, or has waited as long as it may."""

    def __init__(self, pool: str, figures: waiting_line.Figures, waited_s: float) -> None:
        super().__init__(
            codes.ResultCode.NO_CAPACITY,
            f"pool {pool!r}: {figures.in_use} of {figures.permits:.0f} permits of this box in use, "
            f"{figures.waiting} requests wait",
        )
        self.figures = figures
        self.waited_s = waited_s


@attrs.define(eq=False)
class Permit:
    """The right to have one request at a pool's endpoints; released exactly once."""

    pool: str
    since_s: float
    waited_s: float = 0.0
    figures: waiting_line.Figures | None = None
    """The figures of the decision to queue the request; ``None`` if it did not wait."""


def _make_waiter(request: Request, now_s: float) -> waiting_line.Waiter:
    patience_s = waiting_line.patience_s(request.objective_s, request.deadline_s - now_s)
    return waiting_line.Waiter(
        workspace=request.workspace,
        urgency=request.urgency,
        deadline_s=request.deadline_s,
        until_s=now_s + patience_s,
    )


@attrs.define(eq=False)
class _Pool:
    """The requests of one pool; ``wake_events`` are what threads of queued requests wait for."""

    queue: waiting_line.PermitQueue = attrs.field(factory=waiting_line.PermitQueue)
    wake_events: dict[waiting_line.Waiter, threading.Event] = attrs.field(factory=dict)
    granted: set[waiting_line.Waiter] = attrs.field(factory=set)
    objective_s: float = float("inf")
    """The shortest objective of all requests so far."""
    snapshot_state: router_state.RouterState | None = None
    snapshot: permits.PoolSnapshot | None = None


class Permits:
    """Grants this box's permits by urgency, by workspace and by deadline."""

    def __init__(
        self,
        box_name: str,
        view: actors.View[router_state.RouterState],
        counts: traffic.Traffic,
        clock: clocks.Clock,
    ) -> None:
        self._box_name = box_name
        self._view = view
        self._counts = counts
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, _Pool] = {}

    def acquire(self, request: Request) -> Permit:
        """Return a permit, waiting for it if necessary; the caller must `release` it.

        Raises `NoPermitError` if the wait would be or has become too long, and the token's error if
        the request is cancelled meanwhile.
        """
        started_s = self._clock.monotonic_s()
        waiter = _make_waiter(request, started_s)
        with self._lock:
            pool = self._pools.setdefault(request.pool, _Pool())
            pool.objective_s = min(pool.objective_s, request.objective_s)
            decision = pool.queue.request_permit(
                waiter, self._permit_limit(request.pool, pool, started_s), started_s
            )
            if decision.outcome is waiting_line.Outcome.GRANTED:
                return Permit(request.pool, started_s)
            if decision.outcome is waiting_line.Outcome.REFUSED:
                raise NoPermitError(request.pool, decision.figures, 0.0)
            wake_event = pool.wake_events[waiter] = threading.Event()
            for each in decision.evicted:
                pool.wake_events[each].set()
        self._wait(request, pool, waiter, wake_event)
        with self._lock:
            now_s = self._clock.monotonic_s()
            pool.queue.remove(waiter)
            del pool.wake_events[waiter]
            if waiter in pool.granted:
                pool.granted.remove(waiter)
                permit = Permit(request.pool, now_s, now_s - started_s, decision.figures)
                if request.token.reason is None:
                    return permit
                self._release(permit, pool, now_s)
        request.token.check()
        raise NoPermitError(request.pool, decision.figures, now_s - started_s)

    def release(self, permit: Permit) -> None:
        """Release a permit; it is granted to the first request in the queue."""
        with self._lock:
            self._release(permit, self._pools[permit.pool], self._clock.monotonic_s())

    def hold_s(self, name: str) -> float:
        """Return the mean time that a pool's requests hold their permits, 0 if unknown."""
        with self._lock:
            pool = self._pools.get(name)
            return pool.queue.hold_s if pool else 0.0

    def waiting(self) -> dict[str, int]:
        """Return the number of queued requests by pool; pools without any are left out."""
        with self._lock:
            return {name: len(pool.queue) for name, pool in self._pools.items() if pool.queue}

    def in_use(self) -> dict[str, int]:
        """Return the number of permits in use by pool; pools without any are left out."""
        with self._lock:
            used = {name: pool.queue.in_use for name, pool in self._pools.items()}
            return {name: count for name, count in used.items() if count}

    def _wait(
        self,
        request: Request,
        pool: _Pool,
        waiter: waiting_line.Waiter,
        wake_event: threading.Event,
    ) -> None:
        """Return once the request has a permit, is evicted or cancelled, or its wait is over."""
        request.token.on_cancel(wake_event.set)
        try:
            while not wake_event.is_set():
                now_s = self._clock.monotonic_s()
                if now_s >= waiter.until_s:
                    return
                with self._lock:
                    # A renewal may have raised the number of permits.
                    self._grant(request.pool, pool, now_s)
                wake_event.wait(min(waiter.until_s - now_s, _POLL_S))
        finally:
            request.token.remove_callback(wake_event.set)

    def _release(self, permit: Permit, pool: _Pool, now_s: float) -> None:
        pool.queue.release(now_s - permit.since_s)
        self._grant(permit.pool, pool, now_s)

    def _grant(self, name: str, pool: _Pool, now_s: float) -> None:
        if not pool.queue:
            return
        for each in pool.queue.grant(self._permit_limit(name, pool, now_s), now_s):
            pool.granted.add(each)
            pool.wake_events[each].set()

    def _permit_limit(self, name: str, pool: _Pool, now_s: float) -> float:
        """Return how many permits this box has for a pool; infinite if no endpoint is available."""
        state = self._view.get()
        if pool.snapshot is None or pool.snapshot_state is not state:
            pool.snapshot = self._make_snapshot(name, pool, state)
            pool.snapshot_state = state
        if not pool.snapshot.capacity:
            # No endpoint is available: placement then fails and tells the caller why.
            return float("inf")
        rounding_fraction = retry_times.hash_fraction(f"{self._box_name}/{name}")
        return permits.round_permits(pool.snapshot.permit_share(now_s), rounding_fraction)

    def _make_snapshot(
        self, name: str, pool: _Pool, state: router_state.RouterState
    ) -> permits.PoolSnapshot:
        """Return the snapshot of a pool by the last renewal, of its available endpoints alone."""
        pool_endpoints = [each for each in state.endpoints if each.pool == name]
        withdrawn = self._counts.withdrawn().keys()
        available = [each for each in pool_endpoints if self._is_available(each, state, withdrawn)]
        configured = state.tables.pools.get(name)
        default_slots = configured.slots if configured else 0
        slots = [each.slots or default_slots for each in available]
        total = sum(state.loads.get(each.key, 0) for each in available)
        service_time_s = permits.estimated_service_time_s(pool.queue.hold_s, sum(slots), total)
        is_brittle = self._counts.most_turned_away(name) is not None
        queue_ratio = permits.queue_ratio(pool.objective_s, service_time_s)
        return permits.PoolSnapshot(
            own=sum(state.own_loads.get(each.key, 0) for each in available),
            total=total,
            capacity=permits.pool_capacity(slots, 0.0 if is_brittle else queue_ratio),
            min_permits=permits.MIN_PERMITS_BRITTLE if is_brittle else permits.MIN_PERMITS,
            boxes=state.registered_boxes - state.unreached.get(name, 0),
            at_s=state.loads_at_s,
        )

    @staticmethod
    def _is_available(
        endpoint: membership.Endpoint, state: router_state.RouterState, withdrawn: Set[str]
    ) -> bool:
        # An endpoint that only this box avoids still counts as capacity: one that rejected its
        # requests was full.
        is_excluded = endpoint.leaving or endpoint.hall in state.evacuated.names
        return not (is_excluded or endpoint.key in state.held_off or endpoint.key in withdrawn)
