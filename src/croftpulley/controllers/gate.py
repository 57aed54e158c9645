"""The gate of the engines that this box owns: admits, counts, and refuses.

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
LOAD_WAIT_S = 0.5
"""So long a new owner waits for an engine to tell what runs there, which takes milliseconds. One
that hangs is no reason to hold requests up for longer: they wait 2 s in all by the settings."""


@attrs.frozen
class Admitted:
    """The engine counts the request until `EngineGate.leave`."""

    engine: membership.Endpoint


@attrs.frozen
class NotAdmitted:
    """Why not, and what the engine holds; ``load`` is -1 where this box does not own it."""

    code: codes.ResultCode
    load: int


@attrs.define
class _Owned:
    ownership: membership.Ownership
    engine: membership.Endpoint
    waits_until_s: float
    """Nothing is admitted until then, or until the engine has told what runs there: the owner
    before may have left streams, and 30 to 32 requests were seen where the cap allows 28.5."""
    count: admission.EngineCount = attrs.field(factory=admission.EngineCount)
    slots: int = 0
    said: withdrawal.Withdrawal = attrs.field(factory=withdrawal.Withdrawal)
    """What the engine said of itself to this owner."""
    is_asked: bool = False
    """Whether it was asked since it was gained; what it told an earlier owner here is too old."""


@attrs.define
class _Terms:
    """What the latest fleet state allows."""

    lease_until_s: float = float("-inf")
    cap_multiple: float = 1.0
    heard: dict[str, membership.PoolLoad] = attrs.field(factory=dict)
    reported: dict[str, membership.PoolLoad] = attrs.field(factory=dict)
    listed_engines: dict[str, int] = attrs.field(factory=dict)


class EngineGate:
    """Exact counts of the engines that this box owns."""

    def __init__(self, box: str, clock: clocks.Clock, counters: metrics.Metrics) -> None:
        self._box = box
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._owned: dict[str, _Owned] = {}
        self._given_up: set[membership.Ownership] = set()
        self._terms = _Terms()
        self.on_gained: Callable[[], None] = lambda: None
        """Called where engines were gained; set once, before any fleet state is followed."""

    def admit(self, engine: str, epoch: int, mean_evidence: float = 0.0) -> Admitted | NotAdmitted:
        """Count one request in, or say why not."""
        with self._lock:
            owned = self._owned.get(engine)
            if self._clock.monotonic_s() >= self._terms.lease_until_s:
                return NotAdmitted(codes.ResultCode.NO_LEASE, -1)
            if owned is None or owned.ownership.epoch != epoch:
                return NotAdmitted(codes.ResultCode.NOT_OWNER, -1)
            if self._clock.monotonic_s() < owned.waits_until_s:
                return NotAdmitted(codes.ResultCode.LOAD_UNKNOWN, -1)
            limits = admission.Limits(
                cap_multiple=self._terms.cap_multiple,
                mean=self._mean(owned.engine.pool),
                mean_evidence=mean_evidence,
                slots=owned.slots,
            )
            if owned.said.is_in_effect(self._clock.monotonic_s()) and not owned.said.leaves:
                return NotAdmitted(codes.ResultCode.ENDPOINTS_RESTING, -1)
            leaving = owned.engine.leaving or owned.said.leaves
            code = admission.refusal_reason(owned.count, limits, leaving=leaving)
            if code is not None:
                return NotAdmitted(code, owned.count.load)
            owned.count.add_request()
            self._counters.engine_outstanding(engine, owned.count.outstanding)
            return Admitted(owned.engine)

    def leave(self, engine: str, epoch: int) -> None:
        """Count one request out; nothing to do where the engine has gone to another owner."""
        with self._lock:
            owned = self._owned.get(engine)
            if owned is not None and owned.ownership.epoch == epoch:
                owned.count.remove_request()
                self._counters.engine_outstanding(engine, owned.count.outstanding)

    def hear(self, engine: str, epoch: int, notice: withdrawal.Notice) -> None:
        """Take what an engine says of itself in an answer to this owner."""
        if notice.is_empty:
            return
        with self._lock:
            owned = self._owned.get(engine)
            if owned is None or owned.ownership.epoch != epoch:
                return
            heard = owned.said.apply(notice, self._clock.monotonic_s())
        if heard.rests:
            events.emit(
                _LOG,
                events.Event.REST_ASKED,
                level=logging.WARNING,
                endpoint=engine,
                rest_s=round(notice.rest_s, 3),
            )
        if heard.leaves:
            events.emit(_LOG, events.Event.LEAVING_SAID, endpoint=engine)

    def ask(self, engine: str) -> None:
        """Note that an engine is about to be asked for its load report."""
        with self._lock:
            owned = self._owned.get(engine)
            if owned is not None:
                owned.is_asked = True
                owned.count.begin_load_query()

    def report(self, engine: str, running: int, slots: int) -> None:
        """Take an engine's load report."""
        with self._lock:
            owned = self._owned.get(engine)
            if owned is not None and owned.is_asked:
                owned.count.report(running)
                owned.slots = slots
                owned.waits_until_s = float("-inf")

    def engines(self) -> tuple[membership.Endpoint, ...]:
        """Return the engines that this box owns."""
        with self._lock:
            return tuple(owned.engine for owned in self._owned.values())

    def unheard(self) -> tuple[membership.Endpoint, ...]:
        """Return the engines that admit nothing until they have told what runs there."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return tuple(each.engine for each in self._owned.values() if now_s < each.waits_until_s)

    def pool_loads(self) -> tuple[membership.PoolLoad, ...]:
        """Return what this box's engines hold, by pool."""
        with self._lock:
            pools = sorted({owned.engine.pool for owned in self._owned.values()})
            return tuple(self._pool_load(pool) for pool in pools)

    def _pool_load(self, pool: str) -> membership.PoolLoad:
        counts = [owned.count.load for owned in self._owned.values() if owned.engine.pool == pool]
        return membership.PoolLoad(pool, sum(counts), len(counts))

    def _mean(self, pool: str) -> float:
        nothing = membership.PoolLoad(pool, 0, 0)
        heard = self._terms.heard.get(pool, nothing)
        reported = self._terms.reported.get(pool, nothing)
        listed = self._terms.listed_engines.get(pool, 0)
        return admission.current_mean_load(heard, reported, self._pool_load(pool), listed)

    def give_up(self, engines: tuple[str, ...]) -> tuple[membership.Ownership, ...]:
        """Admit nothing more to ``engines``; return all ownerships given up and not yet moved."""
        with self._lock:
            for engine in engines:
                owned = self._owned.pop(engine, None)
                if owned is not None:
                    self._given_up.add(owned.ownership)
                    self._lost(owned)
            return tuple(sorted(self._given_up, key=lambda each: each.engine))

    def follow(
        self, fleet_state: state.FleetState, reported: tuple[membership.PoolLoad, ...]
    ) -> None:
        """Take over the ownerships and limits of a newly published fleet state.

        ``reported`` is what this box told of its own loads when it learned that state.
        """
        directory = fleet_state.directory
        mine = {owner for owner in directory.owners if owner.box == self._box}
        with self._lock:
            self._terms = _Terms(
                lease_until_s=fleet_state.lease_until_s,
                cap_multiple=fleet_state.configuration.cap_multiple,
                heard={load.pool: load for load in fleet_state.loads},
                reported={load.pool: load for load in reported},
                listed_engines=directory.engine_counts(),
            )
            self._given_up &= mine
            self._drop_lost(mine)
            known = set(self._owned)
            for owner in mine - self._given_up:
                self._take_over(owner, directory)
            has_gained = not self._owned.keys() <= known
        if has_gained:
            self.on_gained()

    def _drop_lost(self, mine: set[membership.Ownership]) -> None:
        for engine, owned in list(self._owned.items()):
            if owned.ownership not in mine:
                del self._owned[engine]
                self._lost(owned)

    def _take_over(self, owner: membership.Ownership, directory: membership.Directory) -> None:
        engine = directory.engine(owner.engine)
        if engine is None:
            return
        owned = self._owned.get(owner.engine)
        if owned is not None:
            if owned.engine.key != engine.key:
                owned.count.discard_report()
                owned.slots = 0
                owned.said = withdrawal.Withdrawal()
            owned.engine = engine
            return
        waits_until_s = self._clock.monotonic_s() + LOAD_WAIT_S
        self._owned[owner.engine] = _Owned(owner, engine, waits_until_s)
        events.emit(_LOG, events.Event.OWNERSHIP_GAINED, ownership=attrs.asdict(owner))

    def _lost(self, owned: _Owned) -> None:
        self._counters.engine_forgotten(owned.engine.name)
        events.emit(_LOG, events.Event.OWNERSHIP_LOST, ownership=attrs.asdict(owned.ownership))
