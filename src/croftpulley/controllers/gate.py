"""Admission control of the engines that this box owns: counts and limits their requests.

It is shared by all request threads and guarded by a lock rather than by an actor's mailbox, since
every request passes it (see ``docs/HOUSE-STYLE.md``).
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

import attrs

from croftpulley import clock as clocks
from croftpulley import codes
from croftpulley.controllers import state
from croftpulley.core import admission, membership, withdrawal
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
MAX_LOAD_WAIT_S = 0.5
"""How long a new owner waits for an engine's load report, which normally takes milliseconds. An
engine that hangs must not delay requests for longer: by the settings they wait 2 s in all."""


@attrs.frozen
class Admitted:
    """The request is counted at the engine until `EngineGate.remove_request`."""

    engine: membership.Endpoint


@attrs.frozen
class NotAdmitted:
    """The reason, and the engine's load, which is -1 if the refusal came before the load check."""

    code: codes.ResultCode
    load: int


@attrs.define
class _OwnedEngine:
    """An engine that this box owns, with its request count and what it has announced."""

    ownership: membership.Ownership
    engine: membership.Endpoint
    load_wait_until_s: float
    """Nothing is admitted before this time or the engine's first load report: streams of the
    previous owner may still run, and 30 to 32 requests were seen where the cap allows 28.5."""
    count: admission.EngineCount = attrs.field(factory=admission.EngineCount)
    slots: int = 0
    announced: withdrawal.Withdrawal = attrs.field(factory=withdrawal.Withdrawal)
    """What the engine has announced to this owner: a rest or its shutdown."""
    is_load_query_sent: bool = False
    """Whether a load query was sent since the engine was gained; the answer to an earlier one, of
    a previous ownership of this box, is out of date."""


@attrs.define
class _FleetLimits:
    """Limits and pool loads of the latest fleet state."""

    lease_until_s: float = float("-inf")
    cap_multiple: float = 1.0
    fleet_loads: dict[str, membership.PoolLoad] = attrs.field(factory=dict)
    reported_loads: dict[str, membership.PoolLoad] = attrs.field(factory=dict)
    listed_engines: dict[str, int] = attrs.field(factory=dict)


class EngineGate:
    """Admits requests to the engines that this box owns, by exact counts; thread-safe."""

    def __init__(self, box: str, clock: clocks.Clock, counters: metrics.Metrics) -> None:
        self._box = box
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._owned: dict[str, _OwnedEngine] = {}
        self._released: set[membership.Ownership] = set()
        self._fleet_limits = _FleetLimits()
        self.on_gained: Callable[[], None] = lambda: None
        """Called when engines were gained; set once, before any fleet state is applied."""

    def admit(self, engine: str, epoch: int, mean_evidence: float = 0.0) -> Admitted | NotAdmitted:
        """Count and admit one request, or return why it is not admitted."""
        with self._lock:
            owned = self._owned.get(engine)
            if self._clock.monotonic_s() >= self._fleet_limits.lease_until_s:
                return NotAdmitted(codes.ResultCode.NO_LEASE, -1)
            if owned is None or owned.ownership.epoch != epoch:
                return NotAdmitted(codes.ResultCode.NOT_OWNER, -1)
            if self._clock.monotonic_s() < owned.load_wait_until_s:
                return NotAdmitted(codes.ResultCode.LOAD_UNKNOWN, -1)
            limits = admission.Limits(
                cap_multiple=self._fleet_limits.cap_multiple,
                mean=self._mean_load(owned.engine.pool),
                mean_evidence=mean_evidence,
                slots=owned.slots,
            )
            if (
                owned.announced.is_in_effect(self._clock.monotonic_s())
                and not owned.announced.leaves
            ):
                return NotAdmitted(codes.ResultCode.ENDPOINTS_RESTING, -1)
            leaving = owned.engine.leaving or owned.announced.leaves
            code = admission.refusal_reason(owned.count, limits, leaving=leaving)
            if code is not None:
                return NotAdmitted(code, owned.count.load)
            owned.count.add_request()
            self._counters.engine_outstanding(engine, owned.count.outstanding)
            return Admitted(owned.engine)

    def remove_request(self, engine: str, epoch: int) -> None:
        """Remove one request from the count; ignored if the ownership has changed since."""
        with self._lock:
            owned = self._owned.get(engine)
            if owned is not None and owned.ownership.epoch == epoch:
                owned.count.remove_request()
                self._counters.engine_outstanding(engine, owned.count.outstanding)

    def apply_notice(self, engine: str, epoch: int, notice: withdrawal.Notice) -> None:
        """Apply what an engine announces in a response; ignored if the ownership has changed."""
        if notice.is_empty:
            return
        with self._lock:
            owned = self._owned.get(engine)
            if owned is None or owned.ownership.epoch != epoch:
                return
            news = owned.announced.apply(notice, self._clock.monotonic_s())
        if news.rests:
            events.emit(
                _LOG,
                events.Event.REST_ASKED,
                level=logging.WARNING,
                endpoint=engine,
                rest_s=round(notice.rest_s, 3),
            )
        if news.leaves:
            events.emit(_LOG, events.Event.LEAVING_SAID, endpoint=engine)

    def begin_load_query(self, engine: str) -> None:
        """Note that a query for an engine's load report is about to be sent."""
        with self._lock:
            owned = self._owned.get(engine)
            if owned is not None:
                owned.is_load_query_sent = True
                owned.count.begin_load_query()

    def store_load_report(self, engine: str, running: int, slots: int) -> None:
        """Store an engine's load report; ignored without a load query under this ownership."""
        with self._lock:
            owned = self._owned.get(engine)
            if owned is not None and owned.is_load_query_sent:
                owned.count.report(running)
                owned.slots = slots
                owned.load_wait_until_s = float("-inf")

    def engines(self) -> tuple[membership.Endpoint, ...]:
        """Return the engines that this box owns."""
        with self._lock:
            return tuple(owned.engine for owned in self._owned.values())

    def unheard(self) -> tuple[membership.Endpoint, ...]:
        """Return the engines that admit nothing until their first load report."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return tuple(
                each.engine for each in self._owned.values() if now_s < each.load_wait_until_s
            )

    def pool_loads(self) -> tuple[membership.PoolLoad, ...]:
        """Return the loads of this box's engines, summed up by pool."""
        with self._lock:
            pools = sorted({owned.engine.pool for owned in self._owned.values()})
            return tuple(self._pool_load(pool) for pool in pools)

    def _pool_load(self, pool: str) -> membership.PoolLoad:
        counts = [owned.count.load for owned in self._owned.values() if owned.engine.pool == pool]
        return membership.PoolLoad(pool, sum(counts), len(counts))

    def _mean_load(self, pool: str) -> float:
        no_load = membership.PoolLoad(pool, 0, 0)
        fleet_load = self._fleet_limits.fleet_loads.get(pool, no_load)
        reported_load = self._fleet_limits.reported_loads.get(pool, no_load)
        listed = self._fleet_limits.listed_engines.get(pool, 0)
        return admission.current_mean_load(fleet_load, reported_load, self._pool_load(pool), listed)

    def release(self, engines: tuple[str, ...]) -> tuple[membership.Ownership, ...]:
        """Stop admitting to ``engines``; return all released ownerships not yet reassigned."""
        with self._lock:
            for engine in engines:
                owned = self._owned.pop(engine, None)
                if owned is not None:
                    self._released.add(owned.ownership)
                    self._record_loss(owned)
            return tuple(sorted(self._released, key=lambda each: each.engine))

    def apply_fleet_state(
        self, fleet_state: state.FleetState, reported: tuple[membership.PoolLoad, ...]
    ) -> None:
        """Apply the ownerships and limits of a new fleet state.

        ``reported`` are this box's own loads as sent with the renewal that returned that state.
        """
        directory = fleet_state.directory
        mine = {owner for owner in directory.owners if owner.box == self._box}
        with self._lock:
            self._fleet_limits = _FleetLimits(
                lease_until_s=fleet_state.lease_until_s,
                cap_multiple=fleet_state.configuration.cap_multiple,
                fleet_loads={load.pool: load for load in fleet_state.loads},
                reported_loads={load.pool: load for load in reported},
                listed_engines=directory.engine_counts(),
            )
            self._released &= mine
            self._drop_lost(mine)
            known = set(self._owned)
            for owner in mine - self._released:
                self._update_owned(owner, directory)
            has_gained = not self._owned.keys() <= known
        if has_gained:
            self.on_gained()

    def _drop_lost(self, mine: set[membership.Ownership]) -> None:
        for engine, owned in list(self._owned.items()):
            if owned.ownership not in mine:
                del self._owned[engine]
                self._record_loss(owned)

    def _update_owned(self, owner: membership.Ownership, directory: membership.Directory) -> None:
        engine = directory.engine(owner.engine)
        if engine is None:
            return
        owned = self._owned.get(owner.engine)
        if owned is not None:
            if owned.engine.key != engine.key:
                owned.count.discard_report()
                owned.slots = 0
                owned.announced = withdrawal.Withdrawal()
            owned.engine = engine
            return
        waits_until_s = self._clock.monotonic_s() + MAX_LOAD_WAIT_S
        self._owned[owner.engine] = _OwnedEngine(owner, engine, waits_until_s)
        events.emit(_LOG, events.Event.OWNERSHIP_GAINED, ownership=attrs.asdict(owner))

    def _record_loss(self, owned: _OwnedEngine) -> None:
        self._counters.engine_forgotten(owned.engine.name)
        events.emit(_LOG, events.Event.OWNERSHIP_LOST, ownership=attrs.asdict(owned.ownership))
