"""What callers and the platform speak with a router."""

from __future__ import annotations

import abc
import urllib.parse
from collections.abc import Callable

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state
from croftpulley.core import halls, membership
from croftpulley.forwarding import vocabulary
from croftpulley.http import wsgi
from croftpulley.interfaces import base

OTHERS_NAMED_S = 1.5
"""How long after the end of its lease a box still names others. One of them may have ended 4 s
before that: unheard for 1 s, then told with a renewal, then for a lease of 2.8 s. The users count a
box as ended 6 s after its end at the earliest."""


class CallerInterface(base.Interface):
    """What callers and the platform speak with a router; decides nothing."""

    @property
    @abc.abstractmethod
    def names(self) -> vocabulary.HeaderNames:
        """The names of the headers."""

    @abc.abstractmethod
    def directory(
        self,
        view: actors.View[router_state.RouterState],
        regions: halls.HallRegions,
        ttl_s: float,
        clock: clocks.Clock,
    ) -> wsgi.Handler:
        """Make the handler that tells callers which boxes to use."""

    @abc.abstractmethod
    def readiness(self, not_ready: Callable[[], str]) -> wsgi.Handler:
        """Make the handler that tells whether this box is ready."""


class OwnCallerInterface(base.OwnInterface, CallerInterface):
    """The fleet's own interface (``docs/INTERFACES.md``)."""

    @property
    def names(self) -> vocabulary.HeaderNames:
        """The names of the headers."""
        return vocabulary.FLEET_HEADER_NAMES

    def directory(
        self,
        view: actors.View[router_state.RouterState],
        regions: halls.HallRegions,
        ttl_s: float,
        clock: clocks.Clock,
    ) -> wsgi.Handler:
        """Make the handler of ``GET /v1/entry``: boxes of the caller's hall first."""

        def handle(request: wsgi.Request) -> wsgi.Response:
            require(request, "GET", "/v1/entry")
            given = dict(urllib.parse.parse_qsl(request.query))
            caller = halls.CallerLocation(
                given.get("hall", ""), given.get("region", ""), given.get("host", "")
            )
            boxes = named_boxes(view.get(), caller, regions, clock.monotonic_s())
            entries = [{"address": box.caller_address, "hall": box.hall} for box in boxes]
            return wsgi.json_response({"entries": entries, "ttl_s": ttl_s})

        return handle

    def readiness(self, not_ready: Callable[[], str]) -> wsgi.Handler:
        """Make the handler of ``GET /readyz``."""
        return readiness_handler("/readyz", not_ready)


def named_boxes(
    state: router_state.RouterState,
    caller: halls.CallerLocation,
    regions: halls.HallRegions,
    now_s: float,
) -> list[membership.Box]:
    """Return the boxes that a caller may use, the nearest first.

    Raises NO_LEASE if there is none, and from a box whose lease has ended: its list is old and
    names itself, while callers who ask another box learn of those that serve. One that serves some
    requests without a lease names itself alone after `OTHERS_NAMED_S`.
    """
    if not (state.lease_holds(now_s) or state.tables.can_serve_without_lease):
        raise errors.CroftpulleyError(codes.ResultCode.NO_LEASE, "this box is out of touch")
    is_old = now_s - state.lease_until_s > OTHERS_NAMED_S
    known = [box for box in state.boxes if not is_old or box.name == state.box_name]
    named = [box for box in known if not box.draining]
    if not named:
        raise errors.CroftpulleyError(codes.ResultCode.NO_LEASE, "no entry box is in service")
    return regions.nearest_boxes(named, caller, state.tables.home_regions_of_host(caller.host))


def readiness_handler(path: str, not_ready: Callable[[], str]) -> wsgi.Handler:
    """Make a handler that answers 200 while ``not_ready`` gives no reason, else 503."""

    def handle(request: wsgi.Request) -> wsgi.Response:
        require(request, "GET", path)
        reason = not_ready()
        document = {"ready": not reason, "reason": reason}
        return wsgi.json_response(document, 503 if reason else 200)

    return handle


def require(request: wsgi.Request, method: str, path: str) -> None:
    """Raise NOT_FOUND or METHOD_NOT_ALLOWED unless the request is this call."""
    if request.path != path:
        raise errors.CroftpulleyError(codes.ResultCode.NOT_FOUND, f"got path {request.path!r}")
    wsgi.require_method(request, method)
