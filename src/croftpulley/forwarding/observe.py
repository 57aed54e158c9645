"""Metrics and the last log line of every forwarded request."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.core import verdicts
from croftpulley.forwarding import base
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)


class Observe(base.ForwardFilter):
    """Counts results by workspace and route, and times the first byte and the end."""

    def __init__(self, counters: metrics.Metrics, clock: clocks.Clock) -> None:
        self._counters = counters
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on and record its end."""
        try:
            reply = proceed(exchange)
        except errors.CroftpulleyError as failure:
            self._ended(exchange, failure.code)
            not_run = exchange.attempts.run_state is codes.RunState.NOT_RUN
            self._arm(exchange, "refused" if not_run else "failed")
            raise
        first_s = self._elapsed_s(exchange)
        if exchange.hop is None:
            self._counters.first_token(exchange.workspace_name, exchange.route_name, first_s)
        if isinstance(reply.body, bytes):
            self._answered(exchange, reply.status, codes.ResultCode.OK, first_s)
            return reply
        body = self._observed(exchange, reply, first_s)
        return base.ForwardReply(reply.status, reply.headers, body)

    def _observed(
        self, exchange: base.Exchange, reply: base.ForwardReply, first_s: float
    ) -> Iterator[bytes]:
        """Pass the chunks on; a reader that stops early is a caller that went away."""
        code = codes.ResultCode.CALLER_GONE
        try:
            yield from reply.body  # type: ignore[misc]
            code = codes.ResultCode.OK
        except errors.CroftpulleyError as failure:
            code = failure.code
            raise
        finally:
            self._answered(exchange, reply.status, code, first_s)

    def _answered(
        self, exchange: base.Exchange, status: int, code: codes.ResultCode, first_s: float
    ) -> None:
        well = code is codes.ResultCode.OK and status < verdicts.FIRST_SERVER_ERROR
        in_time = first_s <= exchange.known_route.objective_ms / 1000
        self._arm(exchange, ("in_time" if in_time else "late") if well else "failed")
        last = exchange.attempts.attempts[-1] if exchange.attempts.attempts else None
        events.emit(
            _LOG,
            events.Event.REQUEST_ANSWERED,
            request_id=exchange.facts.request_id,
            workspace=exchange.workspace_name,
            route=exchange.route_name,
            status=status,
            code=code.name,
            hop_from=exchange.hop.box if exchange.hop else "",
            endpoint=last.endpoint if last else "",
            attempts=len(exchange.attempts.attempts),
            first_s=round(first_s, 3),
            objective_s=exchange.known_route.objective_ms / 1000,
            after_s=round(self._elapsed_s(exchange), 3),
        )
        self._ended(exchange, code)

    def _ended(self, exchange: base.Exchange, code: codes.ResultCode) -> None:
        if exchange.hop is not None:
            # The box that handed it over counts it.
            self._counters.hop(exchange.pool if exchange.route else "", "taken")
            return
        self._counters.request_ended(
            exchange.workspace_name, exchange.route_name, code.name, self._elapsed_s(exchange)
        )

    def _arm(self, exchange: base.Exchange, result: str) -> None:
        if exchange.arm and exchange.hop is None:
            self._counters.arm_request(exchange.arm, result)

    def _elapsed_s(self, exchange: base.Exchange) -> float:
        return self._clock.monotonic_s() - exchange.request.arrived_s
