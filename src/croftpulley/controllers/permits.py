"""Permits of this router: how many of its requests are at a pool's endpoints, and who waits.

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
"""How often one that waits looks whether a renewal has brought more room."""


@attrs.frozen(kw_only=True)
class Request:
    """What decides when a request gets a permit."""

    pool: str
    workspace: str
    urgency: int
    objective_s: float
    deadline_s: float
    token: cancel.CancelToken


class NoPermitError(errors.CroftpulleyError):
    """The request cannot be expected to begin in time."""

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
    """The right to have one request at a pool's endpoints; given back once."""

    pool: str
    since_s: float
    waited_s: float = 0.0
    figures: waiting_line.Figures | None = None
    """What decided when it began to wait, if it did."""


def _waiter(request: Request, now_s: float) -> waiting_line.Waiter:
    patience_s = waiting_line.patience_s(request.objective_s, request.deadline_s - now_s)
    return waiting_line.Waiter(
        workspace=request.workspace,
        urgency=request.urgency,
        deadline_s=request.deadline_s,
        until_s=now_s + patience_s,
    )


@attrs.define(eq=False)
class _Pool:
    """The requests of one pool; ``woken`` are the events that the threads of waiters wait for."""

    line: waiting_line.PermitQueue = attrs.field(factory=waiting_line.PermitQueue)
    woken: dict[waiting_line.Waiter, threading.Event] = attrs.field(factory=dict)
    granted: set[waiting_line.Waiter] = attrs.field(factory=set)
    objective_s: float = float("inf")
    """The shortest of those that its requests had."""
    heard_from: router_state.RouterState | None = None
    heard: permits.PoolSnapshot | None = None


class Permits:
    """Hands out this box's permits, by rank, by workspace and by the time that callers have."""

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

    def take(self, request: Request) -> Permit:
        """Return a permit, perhaps after a wait; to be given back with `give_back`.

        Raises `NoPermitError` where the wait would be too long, and the token's reason where the
        request is cancelled meanwhile.
        """
        began_s = self._clock.monotonic_s()
        waiter = _waiter(request, began_s)
        with self._lock:
            pool = self._pools.setdefault(request.pool, _Pool())
            pool.objective_s = min(pool.objective_s, request.objective_s)
            asked = pool.line.request_permit(
                waiter, self._most(request.pool, pool, began_s), began_s
            )
            if asked.outcome is waiting_line.Outcome.GRANTED:
                return Permit(request.pool, began_s)
            if asked.outcome is waiting_line.Outcome.REFUSED:
                raise NoPermitError(request.pool, asked.figures, 0.0)
            woken = pool.woken[waiter] = threading.Event()
            for each in asked.evicted:
                pool.woken[each].set()
        self._wait(request, pool, waiter, woken)
        with self._lock:
            now_s = self._clock.monotonic_s()
            pool.line.remove(waiter)
            del pool.woken[waiter]
            if waiter in pool.granted:
                pool.granted.remove(waiter)
                permit = Permit(request.pool, now_s, now_s - began_s, asked.figures)
                if request.token.reason is None:
                    return permit
                self._give_back(permit, pool, now_s)
        request.token.check()
        raise NoPermitError(request.pool, asked.figures, now_s - began_s)

    def give_back(self, permit: Permit) -> None:
        """Take a permit back; whoever is first in line gets it."""
        with self._lock:
            self._give_back(permit, self._pools[permit.pool], self._clock.monotonic_s())

    def hold_s(self, name: str) -> float:
        """Return for how long a pool's requests hold their permits in the mean, 0 if unknown."""
        with self._lock:
            pool = self._pools.get(name)
            return pool.line.hold_s if pool else 0.0

    def waiting(self) -> dict[str, int]:
        """Return how many requests wait, by pool."""
        with self._lock:
            return {name: len(pool.line) for name, pool in self._pools.items() if pool.line}

    def in_use(self) -> dict[str, int]:
        """Return how many permits are in use, by pool."""
        with self._lock:
            used = {name: pool.line.in_use for name, pool in self._pools.items()}
            return {name: count for name, count in used.items() if count}

    def _wait(
        self,
        request: Request,
        pool: _Pool,
        waiter: waiting_line.Waiter,
        woken: threading.Event,
    ) -> None:
        """Return once the request has a permit, is refused, is cancelled or has waited enough."""
        request.token.on_cancel(woken.set)
        try:
            while not woken.is_set():
                now_s = self._clock.monotonic_s()
                if now_s >= waiter.until_s:
                    return
                with self._lock:
                    # A renewal may have brought more room.
                    self._grant(request.pool, pool, now_s)
                woken.wait(min(waiter.until_s - now_s, _POLL_S))
        finally:
            request.token.forget(woken.set)

    def _give_back(self, permit: Permit, pool: _Pool, now_s: float) -> None:
        pool.line.release(now_s - permit.since_s)
        self._grant(permit.pool, pool, now_s)

    def _grant(self, name: str, pool: _Pool, now_s: float) -> None:
        if not pool.line:
            return
        for each in pool.line.grant(self._most(name, pool, now_s), now_s):
            pool.granted.add(each)
            pool.woken[each].set()

    def _most(self, name: str, pool: _Pool, now_s: float) -> float:
        """Return how many permits this box has for a pool."""
        state = self._view.get()
        if pool.heard is None or pool.heard_from is not state:
            pool.heard = self._heard(name, pool, state)
            pool.heard_from = state
        if not pool.heard.capacity:
            # No endpoint may be asked: placing the request tells its caller why.
            return float("inf")
        chance = retry_times.hash_fraction(f"{self._box_name}/{name}")
        return permits.round_permits(pool.heard.permit_share(now_s), chance)

    def _heard(
        self, name: str, pool: _Pool, state: router_state.RouterState
    ) -> permits.PoolSnapshot:
        """Return what the last renewal told of a pool, less the endpoints that may not be asked."""
        of_pool = [each for each in state.endpoints if each.pool == name]
        withdrawn = self._counts.withdrawn().keys()
        open_now = [each for each in of_pool if self._is_open(each, state, withdrawn)]
        configured = state.tables.pools.get(name)
        usual = configured.slots if configured else 0
        slots = [each.slots or usual for each in open_now]
        total = sum(state.loads.get(each.key, 0) for each in open_now)
        worked_s = permits.estimated_service_time_s(pool.line.hold_s, sum(slots), total)
        is_brittle = self._counts.most_turned_away(name) is not None
        queued = permits.queue_ratio(pool.objective_s, worked_s)
        return permits.PoolSnapshot(
            own=sum(state.own_loads.get(each.key, 0) for each in open_now),
            total=total,
            capacity=permits.pool_capacity(slots, 0.0 if is_brittle else queued),
            min_permits=permits.MIN_PERMITS_BRITTLE if is_brittle else permits.MIN_PERMITS,
            boxes=state.registered_boxes - state.unreached.get(name, 0),
            at_s=state.loads_at_s,
        )

    @staticmethod
    def _is_open(
        endpoint: membership.Endpoint, state: router_state.RouterState, withdrawn: Set[str]
    ) -> bool:
        # What this box alone suspects is room all the same: one that turned it away was full.
        is_out = endpoint.leaving or endpoint.hall in state.evacuated.names
        return not (is_out or endpoint.key in state.held_off or endpoint.key in withdrawn)
