"""The first filters: memory limit, route and workspace lookup, and the deadline."""

from __future__ import annotations

import sys
from collections.abc import Callable

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, streams
from croftpulley.forwarding import base
from croftpulley.settings import fleet

OTHER_BOX_RETRY_S = 0.1
"""Retry time if only this box has lost contact with the control boxes: another box can serve now.
With 1 s, as when the whole fleet waits for a leader, callers of four isolated boxes were served
late (worth 0.613 with it, 0.626 without, on a day with three more boxes down; 0.745 and 0.761 on
another; one run each)."""


class LimitMemory(base.ForwardFilter):
    """Rejects new requests while this box is near its machine's limit on memory."""

    def __init__(self, is_short: Callable[[], bool]) -> None:
        self._is_short = is_short

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on if there is memory for it, else raise BOX_FULL."""
        if self._is_short():
            raise errors.CroftpulleyError(
                codes.ResultCode.BOX_FULL, "this box is near its machine's memory"
            )
        return proceed(exchange)


class LimitUnreadBytes(base.ForwardFilter):
    """Rejects new requests while too many response bytes wait for slow callers at this box."""

    def __init__(self, unread_bytes: Callable[[], int], max_bytes: int) -> None:
        self._unread_bytes = unread_bytes
        self._max_bytes = max_bytes

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on if there is memory for its response, else raise BOX_FULL."""
        unread_bytes = self._unread_bytes()
        if unread_bytes > self._max_bytes:
            raise errors.CroftpulleyError(
                codes.ResultCode.BOX_FULL,
                f"{unread_bytes} bytes wait for callers, {self._max_bytes} are allowed",
            )
        return proceed(exchange)


class FindRoute(base.ForwardFilter):
    """Finds the route and authenticates the caller by its key.

    Without a lease this box cannot know whether its configuration is current. It then answers
    NO_LEASE instead of ROUTE_UNKNOWN, and to every request that needs a key. After ``closes_at_s``
    of a planned stop it takes no request.
    """

    def __init__(self, closes_at_s: actors.View[float], clock: clocks.Clock) -> None:
        self._closes_at_s = closes_at_s
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Set the exchange's route and workspace, and pass the request on.

        Raises DRAINING, NO_CONFIGURATION, NO_LEASE, ROUTE_UNKNOWN or KEY_UNKNOWN.
        """
        now_s = self._clock.monotonic_s()
        if now_s >= self._closes_at_s.get():
            raise errors.CroftpulleyError(codes.ResultCode.DRAINING)
        state = exchange.state
        if state.configuration.version == 0:
            raise errors.CroftpulleyError(codes.ResultCode.NO_CONFIGURATION)
        if (
            exchange.hop is not None
            and exchange.hop.configuration_version > state.configuration.version
        ):
            # The caller may already have seen the effects of the newer version.
            raise errors.CroftpulleyError(
                codes.ResultCode.NO_CONFIGURATION,
                f"box {exchange.hop.box!r} uses version {exchange.hop.configuration_version}, "
                f"this one {state.configuration.version}",
            )
        has_lease = state.lease_holds(now_s)
        exchange.route = state.tables.routes.find(exchange.request.host, exchange.request.path)
        if exchange.route is None:
            detail = f"got host {exchange.request.host!r} and path {exchange.request.path!r}"
            if not has_lease:
                raise _no_lease(state, detail)
            raise errors.CroftpulleyError(codes.ResultCode.ROUTE_UNKNOWN, detail)
        if state.tables.requires_key and not exchange.route.open:
            if not has_lease:
                raise _no_lease(state)
            exchange.workspace = _workspace(exchange)
        return proceed(exchange)


def _no_lease(state: router_state.RouterState, detail: str = "") -> errors.CroftpulleyError:
    retry_after_s = OTHER_BOX_RETRY_S if state.is_cut_off else None
    return errors.CroftpulleyError(codes.ResultCode.NO_LEASE, detail, retry_after_s=retry_after_s)


def _workspace(exchange: base.Exchange) -> fleet.Workspace:
    workspace = exchange.state.tables.workspaces.get(exchange.facts.key)
    if workspace is None:
        raise errors.CroftpulleyError(codes.ResultCode.KEY_UNKNOWN)
    return workspace


class LimitTime(base.ForwardFilter):
    """Sets the deadline; cancels the request at it or when the caller disconnects."""

    def __init__(self, watch: streams.Streams) -> None:
        self._watch = watch

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on; it is watched until the exchange ends.

        Until then it also counts towards the limits of its workspace and box. Raises
        WORKSPACE_LIMIT or TOO_MANY_STREAMS if one is reached, and DRAINING if the box stops before
        any endpoint has the request.
        """
        limit_s = exchange.known_route.time_limit_ms / 1000
        budget_s = exchange.facts.budget_s
        allowed_s = limit_s if budget_s is None else min(limit_s, budget_s)
        exchange.deadline_s = exchange.request.arrived_s + allowed_s
        workspace = exchange.workspace_name
        limit = exchange.workspace.in_flight_per_box if exchange.workspace else sys.maxsize
        self._watch.enter(workspace, limit)
        exchange.at_end.callback(self._watch.leave, workspace)
        watched = streams.WatchedRequest(
            exchange.token,
            exchange.deadline_s,
            exchange.request.caller_gone,
            exchange.facts.request_id,
            exchange.attempts,
        )
        self._watch.watch(watched)
        exchange.at_end.callback(self._watch.unwatch, watched)
        try:
            return proceed(exchange)
        except errors.CroftpulleyError as failure:
            is_not_run = exchange.attempts.run_state is codes.RunState.NOT_RUN
            if failure.code is codes.ResultCode.BOX_STOPPED and is_not_run:
                raise errors.CroftpulleyError(codes.ResultCode.DRAINING) from failure
            raise
