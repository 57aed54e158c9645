"""Resumes a stream at the pool and software version that began it.

The origin of the stream may be known at this box or at others. If no box knows it and endpoints of
two versions may have written streams of the pool recently, the request is rejected: events of two
versions may not fit together.

Boxes that know the origin may be out of reach, and this box may have stood still, its clock with
it. So that a pool has one version counts only by a report of the leading control box for which this
box asked after the request had come: the stream's version was committed before the stream began.
"""

from __future__ import annotations

import logging

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, stream_origins
from croftpulley.core import origins
from croftpulley.forwarding import base
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
UNHEARD_RETRY_S = 0.3
"""Retry time if only the pool versions from the leading control box are missing: it reads the list
of endpoints and its message arrives within that."""
REPORT_WAIT_S = 1.0
"""How long a request waits at most for a report of the leading control box: four renewals, at the
default interval."""


class ResumeStream(base.ForwardFilter):
    """Binds a request that resumes a stream to the pool and version that began the stream."""

    def __init__(
        self,
        known: stream_origins.StreamOrigins,
        view: actors.View[router_state.RouterState],
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._known_origins = known
        self._view = view
        self._counters = counters
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on; raises ORIGIN_UNKNOWN or NO_ENGINE if the stream cannot resume."""
        if exchange.resumes_stream:
            exchange.origin = self._origin(exchange)
        return proceed(exchange)

    def _origin(self, exchange: base.Exchange) -> origins.Origin:
        """Return the origin of the stream."""
        asked_at_s = self._clock.monotonic_s()
        found = self._known_origins.find(exchange.stream_id) if exchange.facts.resumes else None
        if found is None:
            only = self._only_origin(exchange, asked_at_s)
            if only is not None:
                self._log(exchange, "fits_anywhere", stream_origins.FoundOrigin(only))
                return only
            raise self._unknown_error(exchange, "no box that was asked knows where it began")
        if found.origin is None:
            raise self._unknown_error(exchange, "two streams had its id")
        shares = exchange.known_route.shares
        if found.origin.pool not in {each.pool for each in shares if each.weight}:
            self._log(exchange, "moved", found)
            raise errors.CroftpulleyError(
                codes.ResultCode.NO_ENGINE,
                f"the route leads no more to pool {found.origin.pool!r}, where the stream began",
            )
        self._log(exchange, "known", found)
        return found.origin

    def _only_origin(self, exchange: base.Exchange, asked_at_s: float) -> origins.Origin | None:
        """Return where all streams of the pool began, ``None`` if that may have been in several.

        The stream is bound to it: this box may know of an endpoint of a newer version before the
        leading control box does.
        """
        if not exchange.facts.resumes and exchange.known_route.is_split:
            return None
        if exchange.known_route.time_limit_ms / 1000 > router_state.MAX_SETTLED_TIME_LIMIT_S:
            return None
        if not self._view.get().may_be_settled(exchange.pool):
            return None
        left_s = exchange.deadline_s - self._clock.monotonic_s()
        self._view.wait_for(
            lambda state: state.heard_at_s > asked_at_s, max(0.0, min(REPORT_WAIT_S, left_s))
        )
        version = self._view.get().settled_version_asked_after(exchange.pool, asked_at_s)
        return None if version is None else origins.Origin(exchange.pool, version)

    def _unknown_error(self, exchange: base.Exchange, why: str) -> errors.CroftpulleyError:
        self._log(exchange, "unknown", None)
        is_heard = self._view.get().settled is not None
        return errors.CroftpulleyError(
            codes.ResultCode.ORIGIN_UNKNOWN,
            f"stream {exchange.facts.resumes[: origins.MAX_REQUEST_ID_LENGTH]!r}: {why}",
            retry_after_s=None if is_heard else UNHEARD_RETRY_S,
        )

    def _log(
        self, exchange: base.Exchange, outcome: str, found: stream_origins.FoundOrigin | None
    ) -> None:
        self._counters.taken_up(exchange.pool, outcome)
        origin = found.origin if found is not None else None
        events.emit(
            _LOG,
            events.Event.STREAM_TAKEN_UP,
            request_id=exchange.facts.request_id,
            resumes=exchange.facts.resumes[: origins.MAX_REQUEST_ID_LENGTH],
            after_event=exchange.facts.last_event_id[: origins.MAX_REQUEST_ID_LENGTH],
            outcome=outcome,
            pool=origin.pool if origin else exchange.pool,
            version=origin.version if origin else "",
            known_by=found.known_by if found is not None else "",
        )
