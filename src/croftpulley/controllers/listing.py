"""The listing controller: one box at a time reads the platform's list of endpoints for all routers.

On a control box it reads while that box leads; on a router, only while no list has come from the
control boxes for some time. Each daemon decides by its `Turn`.
"""

from __future__ import annotations

import abc
import logging

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors
from croftpulley.core import incarnation_tracker, membership, versions
from croftpulley.endpoints import lists
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
Endpoints = tuple[membership.Endpoint, ...]
MAX_WAIT_S = 5.0
"""Upper limit on the wait that a list may ask for. The last list is 5 s old by then, which is as
long as endpoints that shut down go on serving."""


@attrs.frozen
class Listing:
    """The endpoints as last read, and when; ``read_at_s`` is ``-inf`` before the first reading.

    ``cold_until_s`` holds, by endpoint key, when endpoints that were cold then cease to be so.
    """

    endpoints: versions.Versioned[Endpoints] = attrs.field(
        factory=lambda: versions.Versioned[Endpoints](())
    )
    read_at_s: float = float("-inf")
    cold_until_s: dict[str, float] = attrs.field(factory=dict)

    def cold_endpoints(self, now_s: float) -> list[membership.Endpoint]:
        """Return the endpoints that are cold at ``now_s``."""
        if not self.cold_until_s:
            return []
        return [
            each for each in self.endpoints.value if self.cold_until_s.get(each.key, now_s) > now_s
        ]


@attrs.frozen
class AnnouncedLeaving:
    """The keys of endpoint incarnations that have announced that they shut down."""

    keys: tuple[str, ...]


class Turn(abc.ABC):
    """Decides whether this box is the one to read the list."""

    @abc.abstractmethod
    def has_come(self, now_s: float) -> bool:
        """Tell whether this box has to read the list now."""


class InvalidEntries:
    """Counts invalid list entries at each reading; logs a kind of defect when its count changes."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._last_counts: dict[str, int] = {}

    def record(self, reading: lists.ListSnapshot) -> None:
        """Count the invalid entries of one reading and log the counts that changed."""
        counts = reading.count_defects()
        problems = {each.defect.value: each.problem for each in reading.invalid_entries}
        for defect in sorted(self._last_counts.keys() | counts.keys()):
            count = counts.get(defect, 0)
            self._counters.entries_spoiled(defect, count)
            if count != self._last_counts.get(defect, 0):
                events.emit(
                    _LOG,
                    events.Event.PLATFORM_ENTRIES_SPOILED,
                    level=logging.WARNING if count else logging.INFO,
                    defect=defect,
                    entries=count,
                    problem=problems.get(defect, ""),
                )
        self._last_counts = counts


class ListingController(actors.Controller):
    """Reads the list while it is this box's turn, and publishes it as a `Listing`.

    Ticks come more often than ``interval_s``, so that a box whose turn begins reads at once. While
    the list cannot be read, the last one stays published.
    """

    def __init__(
        self,
        platform: lists.PlatformList,
        turn: Turn,
        view: actors.View[Listing],
        interval_s: float,
        clock: clocks.Clock,
        counters: metrics.Metrics,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._turn = turn
        self._view = view
        self._interval_s = interval_s
        self._clock = clock
        self._invalid_entries = InvalidEntries(counters)
        self._tracker = incarnation_tracker.IncarnationTracker()
        self._due_at_s = float("-inf")
        self._read_fails = False

    def handle(self, message: object) -> None:
        """Read the list if it is due and this box's turn, or mark endpoints as shutting down."""
        if isinstance(message, AnnouncedLeaving):
            self._mark_leaving(message.keys)
            return
        now_s = self._clock.monotonic_s()
        if now_s < self._due_at_s or not self._turn.has_come(now_s):
            return
        self._due_at_s = now_s + self._interval_s
        try:
            reading = self._platform.read()
        except errors.CroftpulleyError as failure:
            if isinstance(failure, lists.RetryLaterError):
                self._due_at_s = now_s + max(self._interval_s, min(failure.wait_s, MAX_WAIT_S))
            self._note_failed_reading(failure)
            return
        if self._read_fails:
            events.emit(_LOG, events.Event.PLATFORM_LIST_READ, endpoints=len(reading.endpoints))
        self._read_fails = False
        self._invalid_entries.record(reading)
        read_at_s = self._clock.monotonic_s()
        known = {each.key: each for each in self._view.get().endpoints.value}
        current = self._tracker.update(reading.endpoints, read_at_s)
        self._log_changes(known, current)
        cold_until_s = {key: read_at_s + left_s for key, left_s in reading.cold_remaining_s.items()}
        self._view.publish(Listing(versions.Versioned(current), read_at_s, cold_until_s))

    def _mark_leaving(self, keys: tuple[str, ...]) -> None:
        """Mark endpoints as leaving that announced it before the platform's list says so."""
        updated = {each.key: each for each in self._tracker.mark_leaving(keys)}
        if not updated:
            return
        known = self._view.get()
        before = {each.key: each for each in known.endpoints.value}
        current = tuple(updated.get(each.key, each) for each in known.endpoints.value)
        self._log_changes(before, current)
        self._view.publish(attrs.evolve(known, endpoints=versions.Versioned(current)))

    def _note_failed_reading(self, failure: errors.CroftpulleyError) -> None:
        if not self._read_fails:
            events.emit(
                _LOG,
                events.Event.PLATFORM_LIST_FAILED,
                level=logging.WARNING,
                problem=str(failure),
                kept_age_s=self._clock.monotonic_s() - self._view.get().read_at_s,
            )
        self._read_fails = True

    @staticmethod
    def _log_changes(known: dict[str, membership.Endpoint], current: Endpoints) -> None:
        """Log every endpoint that was added, changed or removed, by its key."""
        now = {each.key: each for each in current}
        for key in known.keys() | now.keys():
            before, after = known.get(key), now.get(key)
            if before == after:
                continue
            event = events.Event.ENDPOINT_LISTED if after else events.Event.ENDPOINT_UNLISTED
            leaving = after.leaving if after else True
            each = after or before
            pool = each.pool if each else ""
            version = each.version if each else ""
            events.emit(_LOG, event, endpoint=key, pool=pool, version=version, leaving=leaving)
