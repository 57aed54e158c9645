"""Admission control: queues a request until its pool has capacity, or rejects it."""

from __future__ import annotations

import logging

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import permits, traffic
from croftpulley.core import retry_times, waiting_line
from croftpulley.forwarding import base, headers
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
_JITTER_SHARE = 1.0
"""Jitter: callers retry within this share of the wait after its end, the least urgent ones last.
At 1.0 the least urgent retry after twice the expected wait for capacity."""


class TakePermit(base.ForwardFilter):
    """Passes a request on once this box has a permit for it.

    Applies only where boxes share a pool's capacity or its endpoints are brittle.
    """

    def __init__(
        self,
        box_permits: permits.Permits,
        counts: traffic.Traffic,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._permits = box_permits
        self._counts = counts
        self._counters = counters
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on; its permit is released when the exchange ends.

        Raises `permits.NoPermitError` if there is no permit in time.
        """
        if self._counts.needs_permit(exchange.pool):
            permit = self._acquire(exchange)
            exchange.at_end.callback(self._permits.release, permit)
        return proceed(exchange)

    def _acquire(self, exchange: base.Exchange) -> permits.Permit:
        """Return a permit, waiting for it if needed; count and log the outcome."""
        request = permits.Request(
            pool=exchange.pool,
            workspace=exchange.workspace_name,
            urgency=headers.urgency(exchange),
            objective_s=exchange.known_route.objective_ms / 1000,
            deadline_s=exchange.deadline_s,
            token=exchange.token,
        )
        try:
            permit = self._permits.acquire(request)
        except permits.NoPermitError as failure:
            self._counters.admission(request.workspace, request.urgency, "refused")
            _log_event(
                events.Event.ROOM_REFUSED, exchange, request, failure.figures, failure.waited_s
            )
            failure.retry_after_s = self._retry_after_s(exchange, request, failure.figures)
            raise
        except errors.CroftpulleyError:
            self._counters.admission(request.workspace, request.urgency, "left")
            raise
        outcome = "at_once" if permit.figures is None else "waited"
        self._counters.admission(request.workspace, request.urgency, outcome)
        if permit.figures is not None:
            self._counters.waited_for_room(request.urgency, permit.waited_s)
            _log_event(events.Event.ROOM_WAITED, exchange, request, permit.figures, permit.waited_s)
        return permit

    def _retry_after_s(
        self, exchange: base.Exchange, request: permits.Request, figures: waiting_line.Figures
    ) -> float:
        """Return in how many seconds the caller should retry: urgent first, spread over time."""
        tie_breaker = retry_times.hash_fraction(exchange.facts.request_id)
        position = retry_times.queue_position(request.urgency, tie_breaker)
        left_s = exchange.deadline_s - self._clock.monotonic_s()
        # ``starts_in_s`` is infinite if no start is expected; the upper limit then applies, when
        # other requests have most likely ended.
        opens_in_s = min(figures.starts_in_s, retry_times.MAX_WAIT_SHARE * left_s)
        return retry_times.wait_s(opens_in_s, left_s, _JITTER_SHARE, position)


def _log_event(
    event: events.Event,
    exchange: base.Exchange,
    request: permits.Request,
    figures: waiting_line.Figures,
    waited_s: float,
) -> None:
    """Log an event with the queue figures that the permit decision was based on."""
    rounded_figures = {name: round(value, 3) for name, value in attrs.asdict(figures).items()}
    events.emit(
        _LOG,
        event,
        request_id=exchange.facts.request_id,
        pool=request.pool,
        workspace=request.workspace,
        urgency=request.urgency,
        waited_s=round(waited_s, 3),
        **rounded_figures,
    )
