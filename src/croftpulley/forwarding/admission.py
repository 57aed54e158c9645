"""The step that has a request wait for room at its pool's endpoints, or refuses it at once."""

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
_SPREAD = 1.0
"""Of the time until there should be room: the least urgent return after twice as long."""


class TakePermit(base.ForwardFilter):
    """Passes a request on once this box has a permit for it, where boxes share room."""

    def __init__(
        self,
        held: permits.Permits,
        counts: traffic.Traffic,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._permits = held
        self._counts = counts
        self._counters = counters
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on; its permit is given back when the exchange ends."""
        if self._counts.bounds_room(exchange.pool):
            permit = self._take(exchange)
            exchange.at_end.callback(self._permits.give_back, permit)
        return proceed(exchange)

    def _take(self, exchange: base.Exchange) -> permits.Permit:
        request = permits.Request(
            pool=exchange.pool,
            workspace=exchange.workspace_name,
            urgency=headers.urgency(exchange),
            objective_s=exchange.known_route.objective_ms / 1000,
            deadline_s=exchange.deadline_s,
            token=exchange.token,
        )
        try:
            permit = self._permits.take(request)
        except permits.NoPermitError as failure:
            self._counters.admission(request.workspace, request.urgency, "refused")
            _tell(events.Event.ROOM_REFUSED, exchange, request, failure.figures, failure.waited_s)
            failure.retry_after_s = self._come_back_s(exchange, request, failure.figures)
            raise
        except errors.CroftpulleyError:
            self._counters.admission(request.workspace, request.urgency, "left")
            raise
        how = "at_once" if permit.figures is None else "waited"
        self._counters.admission(request.workspace, request.urgency, how)
        if permit.figures is not None:
            self._counters.waited_for_room(request.urgency, permit.waited_s)
            _tell(events.Event.ROOM_WAITED, exchange, request, permit.figures, permit.waited_s)
        return permit

    def _come_back_s(
        self, exchange: base.Exchange, request: permits.Request, figures: waiting_line.Figures
    ) -> float:
        """Return when there should be room: the more urgent return first, not all together."""
        chance = retry_times.hash_fraction(exchange.facts.request_id)
        position = retry_times.queue_position(request.urgency, chance)
        left_s = exchange.deadline_s - self._clock.monotonic_s()
        # Where no start can be expected: when there are most likely others.
        opens_in_s = min(figures.starts_in_s, retry_times.MAX_WAIT_SHARE * left_s)
        return retry_times.wait_s(opens_in_s, left_s, _SPREAD, position)


def _tell(
    event: events.Event,
    exchange: base.Exchange,
    request: permits.Request,
    figures: waiting_line.Figures,
    waited_s: float,
) -> None:
    told = {name: round(value, 3) for name, value in attrs.asdict(figures).items()}
    events.emit(
        _LOG,
        event,
        request_id=exchange.facts.request_id,
        pool=request.pool,
        workspace=request.workspace,
        urgency=request.urgency,
        waited_s=round(waited_s, 3),
        **told,
    )
