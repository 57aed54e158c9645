"""The listing controller: one box at a time reads the platform's list, for all routers.

On a control box it reads while that box leads. On a router it reads only while it has not heard
a list from the control boxes for a while. Each daemon says by a `Turn` when it reads.
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
LONGEST_WAIT_S = 5.0
"""A list that asks for a longer pause is read again all the same: what it says is 5 s old by then,
as long as endpoints that leave serve."""


@attrs.frozen
class Listing:
    """The endpoints as last read, and when; ``read_at_s`` is ``-inf`` before the first reading.

    ``cold_until_s`` holds, by their keys, until when endpoints are cold that were so then.
    """

    endpoints: versions.Versioned[Endpoints] = attrs.field(
        factory=lambda: versions.Versioned[Endpoints](())
    )
    read_at_s: float = float("-inf")
    cold_until_s: dict[str, float] = attrs.field(factory=dict)

    def cold(self, now_s: float) -> list[membership.Endpoint]:
        """Return the endpoints that are cold now."""
        if not self.cold_until_s:
            return []
        return [
            each for each in self.endpoints.value if self.cold_until_s.get(each.key, now_s) > now_s
        ]


@attrs.frozen
class SaidLeaving:
    """Says which lives, by their keys, have said themselves that they leave."""

    keys: tuple[str, ...]


class Turn(abc.ABC):
    """Whether it is this box's turn to read the list."""

    @abc.abstractmethod
    def has_come(self, now_s: float) -> bool:
        """Tell whether to read now."""


class SpoiledEntries:
    """Counts and logs entries that name no endpoint: a line a defect and change, not a reading."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._known: dict[str, int] = {}

    def found(self, reading: lists.Reading) -> None:
        """Take what one reading found."""
        now = reading.defects()
        problems = {each.defect.value: each.problem for each in reading.spoiled}
        for defect in sorted(self._known.keys() | now.keys()):
            count = now.get(defect, 0)
            self._counters.entries_spoiled(defect, count)
            if count != self._known.get(defect, 0):
                events.emit(
                    _LOG,
                    events.Event.PLATFORM_ENTRIES_SPOILED,
                    level=logging.WARNING if count else logging.INFO,
                    defect=defect,
                    entries=count,
                    problem=problems.get(defect, ""),
                )
        self._known = now


class ListingController(actors.Controller):
    """Reads the list while it is this box's turn, and publishes it.

    Ticks come more often than ``interval_s``, so that a box whose turn begins reads at once.
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
        self._spoiled = SpoiledEntries(counters)
        self._listed = incarnation_tracker.IncarnationTracker()
        self._due_at_s = float("-inf")
        self._read_fails = False

    def handle(self, message: object) -> None:
        """Read the list once, if it is due and this box's turn; or take who leaves."""
        if isinstance(message, SaidLeaving):
            self._leave(message.keys)
            return
        now_s = self._clock.monotonic_s()
        if now_s < self._due_at_s or not self._turn.has_come(now_s):
            return
        self._due_at_s = now_s + self._interval_s
        try:
            reading = self._platform.read()
        except errors.CroftpulleyError as failure:
            if isinstance(failure, lists.NotNowError):
                self._due_at_s = now_s + max(self._interval_s, min(failure.wait_s, LONGEST_WAIT_S))
            self._failed(failure)
            return
        if self._read_fails:
            events.emit(_LOG, events.Event.PLATFORM_LIST_READ, endpoints=len(reading.endpoints))
        self._read_fails = False
        self._spoiled.found(reading)
        read_at_s = self._clock.monotonic_s()
        known = {each.key: each for each in self._view.get().endpoints.value}
        kept = self._listed.update(reading.endpoints, read_at_s)
        self._announce(known, kept)
        cold_until_s = {key: read_at_s + left_s for key, left_s in reading.cold_left_s.items()}
        self._view.publish(Listing(versions.Versioned(kept), read_at_s, cold_until_s))

    def _leave(self, keys: tuple[str, ...]) -> None:
        """Publish the list with what endpoints said before it does."""
        news = {each.key: each for each in self._listed.mark_leaving(keys)}
        if not news:
            return
        known = self._view.get()
        before = {each.key: each for each in known.endpoints.value}
        kept = tuple(news.get(each.key, each) for each in known.endpoints.value)
        self._announce(before, kept)
        self._view.publish(attrs.evolve(known, endpoints=versions.Versioned(kept)))

    def _failed(self, failure: errors.CroftpulleyError) -> None:
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
    def _announce(known: dict[str, membership.Endpoint], kept: Endpoints) -> None:
        """Log every endpoint that came, leaves or is gone, by its key."""
        now = {each.key: each for each in kept}
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
