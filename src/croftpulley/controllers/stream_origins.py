"""What a router remembers of where streams began, and what other routers remember.

`StreamOrigins` is shared by all request threads and guarded by a lock. `OriginController` tells
other boxes, so that no stream waits for that unless its version has just come.
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
NEW_S = 5.0
"""How long a version counts as new at a box that has just seen it. Another box may hold that its
pool has one version only for `router_state.SETTLED_S`, by a list that the leader read up to 2 s
before, and which lagged."""
TIMEOUT_S = 0.25
"""For a message to another box: a lost one must leave time for the next."""
MOST_CONNECTIONS = 16
"""Kept to one box: so many threads may ask it at once, as after the loss of another."""
AVOIDED_S = 1.0
"""How long a box that did not answer is told nothing, and asked last."""
MOST_A_MESSAGE = 32
"""Streams in one message, about 4 kB: bodies of other boxes are bounded as those of callers."""


@attrs.frozen
class Found:
    """What was found out of a stream that a caller takes up.

    ``origin`` is ``None`` where two were told. ``known_by`` names the box that knew, or is empty.
    """

    origin: origins.Origin | None
    known_by: str = ""


class StreamOrigins:
    """The origins that this router knows, and the ways to those that others know."""

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
        self._keepers = peers.OriginHolders(box)
        self._links = links.Links(TIMEOUT_S, counters, MOST_CONNECTIONS)
        self._links_lock = threading.Lock()
        self._avoided = peers.RecentFailures(AVOIDED_S)
        self._seen_at_s: dict[tuple[str, str], float] = {}
        self.on_news: Callable[[], None] = lambda: None
        """Called where there is something to tell; set once, before requests come."""

    def __len__(self) -> int:
        return len(self._origins)

    # --- this box's own streams ----------------------------------------------------------------

    def begun(self, told: origins.OriginAnnouncement, *, always_told: bool) -> None:
        """Note that an endpoint wrote a stream's first event, which has not been passed on yet.

        While its pool may have endpoints of several versions, or if it is ``always_told``, other
        boxes learn of it. Raises `errors.CroftpulleyError` where its version is so new that some
        box may not know of it, and no other box could be told.
        """
        now_s = self._clock.monotonic_s()
        state = self._view.get()
        is_settled = state.is_settled(told.origin.pool, now_s)
        is_new = not is_settled and self._is_new(told.origin, now_s)
        with self._lock:
            self._origins.remember(told, now_s, is_announced=False)
        if is_new:
            self._tell_at_once(told, state)
        if always_told or not is_settled:
            self.on_news()

    def ended_whole(self, stream: origins.StreamId) -> None:
        """Note that a stream's answer has ended whole at this box."""
        with self._lock:
            self._origins.mark_completed(stream, self._clock.monotonic_s())

    def keep(self, endpoints: Iterable[membership.Endpoint]) -> None:
        """Take the list of endpoints: versions that were not there before are new."""
        now_s = self._clock.monotonic_s()
        listed = {(each.pool, each.version) for each in endpoints}
        seen = self._seen_at_s
        self._seen_at_s = {each: seen.get(each, now_s) for each in listed}

    def _is_new(self, origin: origins.Origin, now_s: float) -> bool:
        seen_at_s = self._seen_at_s.get((origin.pool, origin.version), now_s)
        return now_s < seen_at_s + NEW_S

    def _tell_at_once(
        self, told: origins.OriginAnnouncement, state: router_state.RouterState
    ) -> None:
        """Return once one box has taken it that is asked by others, or where there is none."""
        boxes = self._by_answers(self._keepers.for_stream(told.stream, state.boxes))
        message = box_messages.OriginsTold(streams=(told,))
        if boxes and not any(self.tell(each, message) for each in boxes):
            raise errors.CroftpulleyError(
                codes.ResultCode.ORIGIN_UNTOLD,
                f"version {told.origin.version!r} of pool {told.origin.pool!r} is new, and none of "
                f"{', '.join(each.name for each in boxes)} could be told",
                run_state=codes.RunState.RAN,
            )

    # --- streams that callers take up ----------------------------------------------------------

    def find(self, stream: origins.StreamId) -> Found | None:
        """Return where a stream began, asking other boxes if need be; ``None``: nobody knows."""
        own = self.remembered(stream)
        if own is not None:
            return Found(own.origin, self._box)
        state = self._view.get()
        for each in self._by_answers(self._keepers.for_stream(stream, state.boxes)):
            answer = self._ask(each, stream)
            if answer is not None and answer.is_known:
                return Found(answer.origin, each.name)
        return None

    def remembered(self, stream: origins.StreamId) -> origins.StreamRecord | None:
        """Return what this box itself remembers of a stream."""
        with self._lock:
            return self._origins.find(stream, self._clock.monotonic_s())

    def _ask(
        self, box: membership.Box, stream: origins.StreamId
    ) -> box_messages.OriginAnswer | None:
        asked = box_messages.OriginAsked(stream=stream)
        try:
            body = self._post(box, box_messages.ORIGIN_ASKED_PATH, json_codec.encode(asked))
            return json_codec.decode(body, box_messages.OriginAnswer)
        except errors.CroftpulleyError:
            # The link has counted it; another box is asked.
            return None

    # --- what other boxes tell -----------------------------------------------------------------

    def take(self, streams: Iterable[origins.OriginAnnouncement]) -> None:
        """Remember what another box tells."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for each in streams:
                self._origins.remember(each, now_s)

    # --- for the controller --------------------------------------------------------------------

    def take_untold(self, always_told: frozenset[str]) -> list[origins.OriginAnnouncement]:
        """Return what other boxes are to be told now; it counts as told."""
        now_s = self._clock.monotonic_s()
        state = self._view.get()
        with self._lock:
            pools = [
                pool
                for pool in self._origins.pools_with_unannounced()
                if pool in always_told or not state.is_settled(pool, now_s)
            ]
            return self._origins.take_unannounced(pools, now_s)

    def all_told(self) -> list[origins.OriginAnnouncement]:
        """Return all that several boxes should know."""
        with self._lock:
            return list(self._origins.announced(self._clock.monotonic_s()))

    def to_tell(self, stream: origins.StreamId) -> tuple[membership.Box, ...]:
        """Return the boxes that are to keep a stream, beside this one."""
        return self._keepers.for_stream(stream, self._view.get().boxes)[: peers.ORIGIN_COPIES]

    def forget(self) -> None:
        """Drop what is kept no longer, and the links to boxes that are gone."""
        with self._lock:
            self._origins.remove_expired(self._clock.monotonic_s())
        addresses = {each.peer_address for each in self._view.get().boxes}
        with self._links_lock:
            self._links.keep(addresses)

    def is_avoided(self, box: membership.Box) -> bool:
        """Tell whether a box did not answer a moment ago."""
        return self._avoided.has_failed_recently(box.name, self._clock.monotonic_s())

    def tell(self, box: membership.Box, message: box_messages.OriginsTold) -> bool:
        """Tell another box; return whether it remembers now."""
        try:
            self._post(box, box_messages.ORIGINS_TOLD_PATH, json_codec.encode(message))
        except errors.CroftpulleyError:
            # The link has counted it; the other boxes that are told keep it too.
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
            self._avoided.failed(box.name, self._clock.monotonic_s())
            raise

    def _by_answers(self, boxes: Iterable[membership.Box]) -> list[membership.Box]:
        """Return the boxes with those last that did not answer a moment ago."""
        return sorted(boxes, key=self.is_avoided)


@attrs.frozen
class _Tell:
    """Asks to tell what is new."""


class OriginController(actors.Controller):
    """Tells other boxes where streams began: those that keep it, and others as boxes change."""

    def __init__(
        self,
        known: StreamOrigins,
        box: str,
        view: actors.View[router_state.RouterState],
    ) -> None:
        super().__init__()
        self._known = known
        self._view = view
        self._keepers_before = peers.OriginHolders(box)
        self._boxes: tuple[membership.Box, ...] = ()
        self._is_asked = False

    def on_start(self) -> None:
        """Have requests' threads say when there is something to tell."""
        self._known.on_news = self._ask_to_tell

    def _ask_to_tell(self) -> None:
        if not self._is_asked:
            self._is_asked = True
            self.tell_self(_Tell())

    def handle(self, message: object) -> None:
        """Tell what is new; at a tick also what other boxes should know now."""
        self._is_asked = False
        if isinstance(message, actors.Tick):
            self._known.forget()
            self._tell_again()
        always_told = self._view.get().tables.split_pools
        self._tell(self._known.take_untold(always_told), self._known.to_tell)

    def _tell_again(self) -> None:
        """Tell boxes what they should keep from now on, as others have come or gone."""
        before, self._boxes = self._boxes, self._view.get().boxes
        if before == self._boxes or not before:
            return
        self._tell(self._known.all_told(), lambda stream: self._added(stream, before))

    def _added(
        self, stream: origins.StreamId, before: tuple[membership.Box, ...]
    ) -> tuple[membership.Box, ...]:
        known = {
            each.name
            for each in self._keepers_before.for_stream(stream, before)[: peers.ORIGIN_COPIES]
        }
        return tuple(each for each in self._known.to_tell(stream) if each.name not in known)

    def _tell(
        self,
        streams: Iterable[origins.OriginAnnouncement],
        boxes_for: Callable[[origins.StreamId], tuple[membership.Box, ...]],
    ) -> None:
        by_box: dict[membership.Box, list[origins.OriginAnnouncement]] = {}
        for each in streams:
            for box in boxes_for(each.stream):
                by_box.setdefault(box, []).append(each)
        for box, told in by_box.items():
            self._tell_one(box, told)

    def _tell_one(self, box: membership.Box, told: list[origins.OriginAnnouncement]) -> None:
        for start in range(0, len(told), MOST_A_MESSAGE):
            if self._known.is_avoided(box):
                self._lost(box, len(told) - start)
                return
            part = tuple(told[start : start + MOST_A_MESSAGE])
            self._known.tell(box, box_messages.OriginsTold(streams=part))

    @staticmethod
    def _lost(box: membership.Box, count: int) -> None:
        events.emit(
            _LOG,
            events.Event.ORIGINS_UNTOLD,
            level=logging.WARNING,
            peer=box.name,
            streams=count,
        )
