"""Controllers that watch endpoints: the platform's list, and load reports of owned engines."""

from __future__ import annotations

import logging

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, gate, listing
from croftpulley.core import incarnation_tracker, membership
from croftpulley.endpoints import base, lists
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)


class PlatformController(actors.Controller):
    """Reads the platform's list and publishes it; keeps the last one while it cannot be read."""

    def __init__(
        self,
        platform: lists.PlatformList,
        view: actors.View[tuple[membership.Endpoint, ...]],
        clock: clocks.Clock,
        counters: metrics.Metrics,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._view = view
        self._clock = clock
        self._tracker = incarnation_tracker.IncarnationTracker()
        self._invalid_entries = listing.InvalidEntries(counters)
        self._read_fails = False
        self._due_at_s = float("-inf")

    def handle(self, message: object) -> None:
        """Read and publish the list, unless the platform asked for a later reading."""
        now_s = self._clock.monotonic_s()
        if now_s < self._due_at_s:
            return
        try:
            reading = self._platform.read()
        except errors.CroftpulleyError as failure:
            if isinstance(failure, lists.RetryLaterError):
                self._due_at_s = now_s + min(failure.wait_s, listing.MAX_WAIT_S)
            if not self._read_fails:
                _log_failure(events.Event.PLATFORM_LIST_FAILED, failure)
            self._read_fails = True
            return
        self._read_fails = False
        self._invalid_entries.record(reading)
        self._view.publish(self._tracker.update(reading.endpoints, self._clock.monotonic_s()))


@attrs.frozen
class _EnginesGained:
    """Asks for the load reports of engines just gained; until they come, nothing is admitted."""


class LoadReportController(actors.Controller):
    """Reads the load reports of owned engines at each tick, and of new ones as soon as gained."""

    def __init__(self, client: base.EngineClient, engine_gate: gate.EngineGate) -> None:
        super().__init__()
        self._client = client
        self._gate = engine_gate
        self._failing: set[str] = set()
        engine_gate.on_gained = lambda: self.tell_self(_EnginesGained())

    def handle(self, message: object) -> None:
        """Read every report once, or after a gain only the missing ones."""
        is_gained = isinstance(message, _EnginesGained)
        for engine in self._gate.unheard() if is_gained else self._gate.engines():
            self._read(engine)

    def _read(self, engine: membership.Endpoint) -> None:
        self._gate.begin_load_query(engine.name)
        try:
            report = self._client.load(engine.address)
        except errors.CroftpulleyError as failure:
            if engine.name not in self._failing:
                _log_failure(events.Event.LOAD_REPORT_FAILED, failure)
            self._failing.add(engine.name)
            return
        self._failing.discard(engine.name)
        self._gate.store_load_report(engine.name, report.running, report.slots)


def _log_failure(event: events.Event, failure: errors.CroftpulleyError) -> None:
    events.emit(_LOG, event, level=logging.WARNING, problem=str(failure))
