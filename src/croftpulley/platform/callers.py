"""The calls by which callers and the platform reach a router there."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable

from croftpulley import clock as clocks
from croftpulley.controllers import actors, router_state
from croftpulley.core import halls
from croftpulley.forwarding import vocabulary
from croftpulley.http import wsgi
from croftpulley.interfaces import callers
from croftpulley.platform import instances, names

_MOST_ADDRESSES = 64
"""Callers look at no more addresses of one answer."""


class PlatformCallers(instances.PlatformInterface, callers.CallerInterface):
    """The platform's interface for callers."""

    @property
    def names(self) -> vocabulary.HeaderNames:
        """The names of the headers."""
        return names.VOCABULARY

    def directory(
        self,
        view: actors.View[router_state.RouterState],
        regions: halls.HallRegions,
        ttl_s: float,
        clock: clocks.Clock,
    ) -> wsgi.Handler:
        """Make the handler of ``GET /resolution``."""

        def handle(request: wsgi.Request) -> wsgi.Response:
            callers.require(request, "GET", "/resolution")
            given = dict(urllib.parse.parse_qsl(request.query))
            caller = halls.CallerLocation(
                given.get("zone", ""), given.get("region", ""), given.get("name", "")
            )
            boxes = callers.named_boxes(view.get(), caller, regions, clock.monotonic_s())
            addresses = [box.caller_address for box in boxes[:_MOST_ADDRESSES]]
            return wsgi.json_response({"addresses": addresses, "ttlS": ttl_s})

        return handle

    def readiness(self, not_ready: Callable[[], str]) -> wsgi.Handler:
        """Make the handler of ``GET /readiness``."""
        return callers.readiness_handler("/readiness", not_ready)
