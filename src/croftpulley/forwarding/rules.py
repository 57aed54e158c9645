"""The first steps: whether this box serves, which route and workspace, and until when."""

from __future__ import annotations

import sys
from collections.abc import Callable

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, streams
from croftpulley.forwarding import base
from croftpulley.settings import fleet

ELSEWHERE_RETRY_S = 0.1
"""When to come back if only this box is out of touch: another serves now. A second, as where the
whole fleet waits for a leader, made callers of four boxes that were cut off late (worth 0.613 with
it, 0.626 without, a day with three more boxes down; 0.745 and 0.761 on another; single plays)."""


class LimitUnread(base.ForwardFilter):
    """Refuses new requests while too much waits at this box for callers that do not read."""

    def __init__(self, unread_bytes: Callable[[], int], most_bytes: int) -> None:
        self._unread_bytes = unread_bytes
        self._most_bytes = most_bytes

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on if there is memory for its answer."""
        unread_bytes = self._unread_bytes()
        if unread_bytes > self._most_bytes:
            raise errors.CroftpulleyError(
                codes.ResultCode.BOX_FULL,
                f"{unread_bytes} bytes wait for callers, {self._most_bytes} are allowed",
            )
        return proceed(exchange)


class FindRoute(base.ForwardFilter):
    """Finds the route and checks the caller's key.

    Without a lease this box cannot know that its configuration still holds, so it says neither
    that a route or key does not exist nor serves a request that needs a key.
    """

    def __init__(self, closed: actors.View[bool], clock: clocks.Clock) -> None:
        self._closed = closed
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on once it is known whose it is."""
        if self._closed.get():
            raise errors.CroftpulleyError(codes.ResultCode.DRAINING)
        state = exchange.state
        if state.configuration.version == 0:
            raise errors.CroftpulleyError(codes.ResultCode.NO_CONFIGURATION)
        if (
            exchange.hop is not None
            and exchange.hop.configuration_version > state.configuration.version
        ):
            # The caller may have seen the newer one at work already.
            raise errors.CroftpulleyError(
                codes.ResultCode.NO_CONFIGURATION,
                f"box {exchange.hop.box!r} uses version {exchange.hop.configuration_version}, "
                f"this one {state.configuration.version}",
            )
        holds = state.lease_holds(self._clock.monotonic_s())
        exchange.route = state.tables.routes.find(exchange.request.host, exchange.request.path)
        if exchange.route is None:
            detail = f"got host {exchange.request.host!r} and path {exchange.request.path!r}"
            if not holds:
                raise _no_lease(state, detail)
            raise errors.CroftpulleyError(codes.ResultCode.ROUTE_UNKNOWN, detail)
        if state.tables.requires_key and not exchange.route.open:
            if not holds:
                raise _no_lease(state)
            exchange.workspace = _workspace(exchange)
        return proceed(exchange)


def _no_lease(state: router_state.RouterState, detail: str = "") -> errors.CroftpulleyError:
    retry_after_s = ELSEWHERE_RETRY_S if state.is_cut_off else None
    return errors.CroftpulleyError(codes.ResultCode.NO_LEASE, detail, retry_after_s=retry_after_s)


def _workspace(exchange: base.Exchange) -> fleet.Workspace:
    workspace = exchange.state.tables.workspaces.get(exchange.facts.key)
    if workspace is None:
        raise errors.CroftpulleyError(codes.ResultCode.KEY_UNKNOWN)
    return workspace


class LimitTime(base.ForwardFilter):
    """Sets the deadline, and has the request watched for it and for its caller going away."""

    def __init__(self, watch: streams.Streams) -> None:
        self._watch = watch

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on; it is watched until the exchange ends."""
        limit_s = exchange.known_route.time_limit_ms / 1000
        budget_s = exchange.facts.budget_s
        held_s = limit_s if budget_s is None else min(limit_s, budget_s)
        exchange.deadline_s = exchange.request.arrived_s + held_s
        workspace = exchange.workspace_name
        limit = exchange.workspace.in_flight_per_box if exchange.workspace else sys.maxsize
        self._watch.enter(workspace, limit)
        exchange.at_end.callback(self._watch.leave, workspace)
        watched = streams.Watched(exchange.token, exchange.deadline_s, exchange.request.caller_gone)
        self._watch.watch(watched)
        exchange.at_end.callback(self._watch.unwatch, watched)
        return proceed(exchange)
