"""The origins of streams: those that a router remembers, and queries for those of other routers.

`StreamOrigins` is shared by all request threads and guarded by a lock. `OriginController` announces
origins to other boxes in the background. A stream waits for that only if its version is new.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable

import attrs

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state
from croftpulley.core import membership, origins, peers
from croftpulley.observe import events, metrics
from croftpulley.transport import box_messages, json_codec, links

_LOG = logging.getLogger(__name__)
NEW_VERSION_S = 5.0
"""How long a version counts as new at a box after the box has first seen it. For
`router_state.SETTLED_TTL_S`, another box may still assume that the pool has a single version, from
a list that the leader read up to 2 s earlier and that lagged."""
TIMEOUT_S = 0.25
"""Timeout for a message to another box, short enough to leave time for trying the next box."""
MAX_CONNECTIONS = 16
"""Most connections kept to one box: many threads may query it at once, such as after the loss of
another box."""
BACKOFF_S = 1.0
"""How long a box that did not answer gets no announcements and is queried last."""
MAX_STREAMS_PER_MESSAGE = 32
"""Most streams in one message, about 4 kB: request bodies of other boxes have the same size limit
as those of callers."""


@attrs.frozen
class FoundOrigin:
    """The result of a search for the origin of a stream that a caller resumes.

    ``origin`` is ``None`` if two different ones were announced. ``known_by`` names the box that
    knew the stream, or is empty.
    """

    origin: origins.Origin | None
    known_by: str = ""


class StreamOrigins:
    """The origins that this router knows, and the links to other boxes to query and announce."""

    def __init__(
        self,
        box: str,
        view: actors.View[router_state.RouterState],
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._box = box
        self._view = view
        self._counters = counters
        self._clock = clock
        self._lock = threading.Lock()
        self._origins = origins.OriginTable()
        self._holders = peers.OriginHolders(box)
        self._links = links.Links(TIMEOUT_S, counters, MAX_CONNECTIONS)
        self._links_lock = threading.Lock()
        self._recent_failures = peers.RecentFailures(BACKOFF_S)
        self._first_seen_at_s: dict[tuple[str, str], float] = {}
        self.on_unannounced: Callable[[], None] = lambda: None
        """Called when there is something to announce; set once, before requests arrive."""

    def __len__(self) -> int:
        return len(self._origins)

    # --- this box's own streams ----------------------------------------------------------------

    def remember_begun(
        self, announcement: origins.OriginAnnouncement, *, always_announced: bool
    ) -> None:
        """Remember a stream whose first event arrived and was not relayed to the caller yet.

        The stream is announced to other boxes while its pool may have endpoints of several
        versions, or if it is ``always_announced``. Raises `errors.CroftpulleyError` if its version
        is so new that some box may not know of it, and no other box took the announcement.
        """
        now_s = self._clock.monotonic_s()
        state = self._view.get()
        origin = announcement.origin
        is_settled = state.settled_version(origin.pool, now_s) == origin.version
        is_new = not is_settled and self._is_new(origin, now_s)
        with self._lock:
            self._origins.remember(announcement, now_s, is_announced=False)
        if is_new:
            self._announce_now(announcement, state)
        if always_announced or not is_settled:
            self.on_unannounced()

    def mark_completed(self, stream: origins.StreamId) -> None:
        """Note that a stream's response was completed at this box."""
        with self._lock:
            self._origins.mark_completed(stream, self._clock.monotonic_s())

    def update_listed(self, endpoints: Iterable[membership.Endpoint]) -> None:
        """Update the listed versions from the list of endpoints; note when each was first seen."""
        now_s = self._clock.monotonic_s()
        listed = {(each.pool, each.version) for each in endpoints}
        seen = self._first_seen_at_s
        self._first_seen_at_s = {each: seen.get(each, now_s) for each in listed}

    def _is_new(self, origin: origins.Origin, now_s: float) -> bool:
        seen_at_s = self._first_seen_at_s.get((origin.pool, origin.version), now_s)
        return now_s < seen_at_s + NEW_VERSION_S

    def _announce_now(
        self, announcement: origins.OriginAnnouncement, state: router_state.RouterState
    ) -> None:
        """Announce a stream until one of its holders has taken it.

        Does nothing if no other box holds it; raises `errors.CroftpulleyError` if none took it.
        """
        boxes = self._responsive_first(self._holders.for_stream(announcement.stream, state.boxes))
        message = box_messages.OriginAnnouncements(streams=(announcement,))
        if boxes and not any(self.announce(each, message) for each in boxes):
            raise errors.CroftpulleyError(
                codes.ResultCode.ORIGIN_UNTOLD,
                f"version {announcement.origin.version!r} of pool {announcement.origin.pool!r} "
                f"is new, and none of {', '.join(each.name for each in boxes)} could be told",
                run_state=codes.RunState.RAN,
            )

    # --- streams that callers resume -----------------------------------------------------------

    def find(self, stream: origins.StreamId) -> FoundOrigin | None:
        """Return where a stream began, from memory or another box; ``None`` if no box knows."""
        own = self.remembered(stream)
        if own is not None:
            return FoundOrigin(own.origin, self._box)
        state = self._view.get()
        for each in self._responsive_first(self._holders.for_stream(stream, state.boxes)):
            answer = self._ask(each, stream)
            if answer is not None and answer.is_known:
                return FoundOrigin(answer.origin, each.name)
        return None

    def remembered(self, stream: origins.StreamId) -> origins.StreamRecord | None:
        """Return what this box itself remembers of a stream."""
        with self._lock:
            return self._origins.find(stream, self._clock.monotonic_s())

    def _ask(
        self, box: membership.Box, stream: origins.StreamId
    ) -> box_messages.OriginAnswer | None:
        asked = box_messages.OriginQuery(stream=stream)
        try:
            body = self._post(box, box_messages.ORIGIN_QUERY_PATH, json_codec.encode(asked))
            return json_codec.decode(body, box_messages.OriginAnswer)
        except errors.CroftpulleyError:
            # The link has counted the failure; the next box is queried.
            return None

    # --- announcements of other boxes ----------------------------------------------------------

    def remember_announced(self, streams: Iterable[origins.OriginAnnouncement]) -> None:
        """Remember the streams that another box announces."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for each in streams:
                self._origins.remember(each, now_s)

    # --- for the controller --------------------------------------------------------------------

    def take_unannounced(
        self, always_announced: frozenset[str]
    ) -> list[origins.OriginAnnouncement]:
        """Return the streams to announce now, and mark them as announced.

        Those are unannounced streams of pools in ``always_announced`` or not known to be settled.
        """
        now_s = self._clock.monotonic_s()
        state = self._view.get()
        with self._lock:
            pools = [
                pool
                for pool in self._origins.pools_with_unannounced()
                if pool in always_announced or state.settled_version(pool, now_s) is None
            ]
            return self._origins.take_unannounced(pools, now_s)

    def all_announced(self) -> list[origins.OriginAnnouncement]:
        """Return all announced streams, which several boxes should know."""
        with self._lock:
            return list(self._origins.announced(self._clock.monotonic_s()))

    def other_holders(self, stream: origins.StreamId) -> tuple[membership.Box, ...]:
        """Return the boxes that should remember a stream, other than this one."""
        return self._holders.for_stream(stream, self._view.get().boxes)[: peers.ORIGIN_COPIES]

    def remove_expired(self) -> None:
        """Remove expired streams and the links to boxes that are gone."""
        with self._lock:
            self._origins.remove_expired(self._clock.monotonic_s())
        addresses = {each.peer_address for each in self._view.get().boxes}
        with self._links_lock:
            self._links.retain(addresses)

    def has_failed_recently(self, box: membership.Box) -> bool:
        """Tell whether a box failed to answer in the last `BACKOFF_S`."""
        return self._recent_failures.has_failed_recently(box.name, self._clock.monotonic_s())

    def announce(self, box: membership.Box, message: box_messages.OriginAnnouncements) -> bool:
        """Announce streams to another box; return whether it took them."""
        try:
            self._post(box, box_messages.ORIGIN_ANNOUNCEMENTS_PATH, json_codec.encode(message))
        except errors.CroftpulleyError:
            # The link has counted the failure; the other holders remember the streams too.
            self._counters.origins_told("lost", len(message.streams))
            return False
        self._counters.origins_told("taken", len(message.streams))
        return True

    def _post(self, box: membership.Box, path: str, body: bytes) -> bytes:
        with self._links_lock:
            link = self._links.to(box.peer_address)
        try:
            return link.post(path, body)
        except errors.CroftpulleyError:
            self._recent_failures.failed(box.name, self._clock.monotonic_s())
            raise

    def _responsive_first(self, boxes: Iterable[membership.Box]) -> list[membership.Box]:
        """Return the boxes with those last that recently failed to answer."""
        return sorted(boxes, key=self.has_failed_recently)


@attrs.frozen
class _AnnounceNew:
    """Message: announce what is not announced yet."""


class OriginController(actors.Controller):
    """Announces the origins of streams to their holders, also to new ones as boxes change."""

    def __init__(
        self,
        known: StreamOrigins,
        box: str,
        view: actors.View[router_state.RouterState],
    ) -> None:
        super().__init__()
        self._known = known
        self._view = view
        self._holders_before = peers.OriginHolders(box)
        self._boxes: tuple[membership.Box, ...] = ()
        self._is_requested = False

    def on_start(self) -> None:
        """Subscribe to streams that request threads begin."""
        self._known.on_unannounced = self._request_announcement

    def _request_announcement(self) -> None:
        if not self._is_requested:
            self._is_requested = True
            self.tell_self(_AnnounceNew())

    def handle(self, message: object) -> None:
        """Announce new streams; at a tick also expire old ones and announce to new holders."""
        self._is_requested = False
        if isinstance(message, actors.Tick):
            self._known.remove_expired()
            self._announce_to_new_holders()
        always_announced = self._view.get().tables.split_pools
        self._announce(self._known.take_unannounced(always_announced), self._known.other_holders)

    def _announce_to_new_holders(self) -> None:
        """Announce streams to the boxes that became their holders by a change of the box list."""
        before, self._boxes = self._boxes, self._view.get().boxes
        if before == self._boxes or not before:
            return
        self._announce(
            self._known.all_announced(), lambda stream: self._new_holders(stream, before)
        )

    def _new_holders(
        self, stream: origins.StreamId, before: tuple[membership.Box, ...]
    ) -> tuple[membership.Box, ...]:
        known = {
            each.name
            for each in self._holders_before.for_stream(stream, before)[: peers.ORIGIN_COPIES]
        }
        return tuple(each for each in self._known.other_holders(stream) if each.name not in known)

    def _announce(
        self,
        streams: Iterable[origins.OriginAnnouncement],
        boxes_for: Callable[[origins.StreamId], tuple[membership.Box, ...]],
    ) -> None:
        by_box: dict[membership.Box, list[origins.OriginAnnouncement]] = {}
        for each in streams:
            for box in boxes_for(each.stream):
                by_box.setdefault(box, []).append(each)
        for box, announcements in by_box.items():
            self._announce_to(box, announcements)

    def _announce_to(
        self, box: membership.Box, announcements: list[origins.OriginAnnouncement]
    ) -> None:
        for start in range(0, len(announcements), MAX_STREAMS_PER_MESSAGE):
            if self._known.has_failed_recently(box):
                self._log_unannounced(box, len(announcements) - start)
                return
            part = tuple(announcements[start : start + MAX_STREAMS_PER_MESSAGE])
            self._known.announce(box, box_messages.OriginAnnouncements(streams=part))

    @staticmethod
    def _log_unannounced(box: membership.Box, count: int) -> None:
        events.emit(
            _LOG,
            events.Event.ORIGINS_UNTOLD,
            level=logging.WARNING,
            peer=box.name,
            streams=count,
        )
