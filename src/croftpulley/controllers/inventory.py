"""The inventory controller of a control box: what engines keep, when nobody else can know it.

While routers run they tell each other which prompts they sent where. After a loss of all processes
that is forgotten, though the engines still hold it. So a box that comes to lead soon after its own
start asks every engine once, and has the answers passed on to all routers.
"""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from typing import Any

import pykka

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, listing, replica_standing, sessions
from croftpulley.core import membership, prompt_part_index
from croftpulley.endpoints import caches
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
YOUNG_S = 10.0
"""How long after its start a box takes the fleet to have started with it. One that leads later
was a follower while others led, so routers know what they sent; asking costs engines time."""
MOST_AT_ONCE = 16
"""Engines that are asked at the same time. Asked one after the other, 13 engines took 0.51 s, 0.4 s
of them for one that was down; routers served from 0.1 s on, and of their first 164 requests 91 were
read anew, 245,000 tokens (logs of a loss of all power on ten boxes)."""


class InventoryController(actors.Controller):
    """Asks each engine once, at the first list that a young leader reads."""

    def __init__(
        self,
        reader: caches.CacheReader,
        replica_status: actors.View[replica_standing.ReplicaStatus],
        listed: actors.View[listing.Listing],
        configured_pools: Callable[[], frozenset[str]],
        session_controller: pykka.ActorRef[Any],
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._reader = reader
        self._replica_status = replica_status
        self._listed = listed
        self._configured_pools = configured_pools
        self._sessions = session_controller
        self._clock = clock
        self._young_until_s = clock.monotonic_s() + YOUNG_S
        self._done = False

    def handle(self, message: object) -> None:
        """Ask all engines, if it is time; later ticks do nothing."""
        now_s = self._clock.monotonic_s()
        self._done = self._done or now_s > self._young_until_s
        listed = self._listed.get()
        if (
            self._done
            or not self._replica_status.get().has_authority(now_s)
            or not listed.endpoints.value
        ):
            return
        pools = self._configured_pools()
        if not pools:
            return
        self._done = True
        engines = _engines(listed.endpoints.value, pools)
        for first in range(min(MOST_AT_ONCE, len(engines))):
            asked = engines[first::MOST_AT_ONCE]
            threading.Thread(
                target=self._ask_each, args=(asked,), name="inventory", daemon=True
            ).start()

    def _ask_each(self, engines: list[membership.Endpoint]) -> None:
        # A box that stops meanwhile has nobody left to tell.
        with contextlib.suppress(pykka.ActorDeadError):
            for engine in engines:
                self._ask(engine)

    def _ask(self, engine: membership.Endpoint) -> None:
        try:
            kept = self._reader.read(engine)
        except errors.CroftpulleyError as failure:
            events.emit(
                _LOG,
                events.Event.CACHE_UNREAD,
                level=logging.WARNING,
                engine=engine.key,
                problem=str(failure),
            )
            return
        # The longest first: routers get them in this order, some at a time.
        longest = sorted(kept, key=lambda each: each.tokens, reverse=True)
        parts = tuple(
            each.part for each in longest if each.tokens >= prompt_part_index.MIN_PART_TOKENS
        )
        events.emit(
            _LOG, events.Event.CACHE_READ, engine=engine.key, parts=len(kept), told=len(parts)
        )
        if parts:
            self._sessions.tell(sessions.PostNotes({engine.key: parts}))


def _engines(endpoints: listing.Endpoints, pools: frozenset[str]) -> list[membership.Endpoint]:
    """Return the engines of pools that are configured: others may be no engines of ours."""
    kind = membership.EndpointKind.ENGINE
    return [each for each in endpoints if each.kind is kind and each.pool in pools]
