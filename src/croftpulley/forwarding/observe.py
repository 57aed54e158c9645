"""Records metrics and the final log line of every forwarded request."""

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
    """Counts results by workspace and route; measures the time to first byte and total time."""

    def __init__(self, counters: metrics.Metrics, clock: clocks.Clock) -> None:
        self._counters = counters
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on and record its result, for a stream once its body has ended."""
        try:
            reply = proceed(exchange)
        except errors.CroftpulleyError as failure:
            self._count_result(exchange, failure.code)
            not_run = exchange.attempts.run_state is codes.RunState.NOT_RUN
            self._count_arm_result(exchange, "refused" if not_run else "failed")
            raise
        first_s = self._elapsed_s(exchange)
        if exchange.hop is None:
            self._counters.first_token(exchange.workspace_name, exchange.route_name, first_s)
        if isinstance(reply.body, bytes):
            self._record_response(exchange, reply.status, codes.ResultCode.OK, first_s)
            return reply
        body = self._observe_stream(exchange, reply, first_s)
        return base.ForwardReply(reply.status, reply.headers, body)

    def _observe_stream(
        self, exchange: base.Exchange, reply: base.ForwardReply, first_s: float
    ) -> Iterator[bytes]:
        """Yield the body's chunks, then record the result.

        A generator closed early means that the caller disconnected (CALLER_GONE).
        """
        code = codes.ResultCode.CALLER_GONE
        try:
            yield from reply.body  # type: ignore[misc]
            code = codes.ResultCode.OK
        except errors.CroftpulleyError as failure:
            code = failure.code
            raise
        finally:
            self._record_response(exchange, reply.status, code, first_s)

    def _record_response(
        self, exchange: base.Exchange, status: int, code: codes.ResultCode, first_s: float
    ) -> None:
        """Record a response: its metrics and the log line REQUEST_ANSWERED."""
        is_success = code is codes.ResultCode.OK and status < verdicts.FIRST_SERVER_ERROR
        in_time = first_s <= exchange.known_route.objective_ms / 1000
        self._count_arm_result(
            exchange, ("in_time" if in_time else "late") if is_success else "failed"
        )
        last_attempt = exchange.attempts.attempts[-1] if exchange.attempts.attempts else None
        events.emit(
            _LOG,
            events.Event.REQUEST_ANSWERED,
            request_id=exchange.facts.request_id,
            workspace=exchange.workspace_name,
            route=exchange.route_name,
            status=status,
            code=code.name,
            hop_from=exchange.hop.box if exchange.hop else "",
            endpoint=last_attempt.endpoint if last_attempt else "",
            attempts=len(exchange.attempts.attempts),
            first_s=round(first_s, 3),
            objective_s=exchange.known_route.objective_ms / 1000,
            after_s=round(self._elapsed_s(exchange), 3),
        )
        self._count_result(exchange, code)

    def _count_result(self, exchange: base.Exchange, code: codes.ResultCode) -> None:
        """Count the result of a request."""
        if exchange.hop is not None:
            # The box that handed the request over counts its result.
            self._counters.hop(exchange.pool if exchange.route else "", "taken")
            return
        self._counters.request_ended(
            exchange.workspace_name, exchange.route_name, code.name, self._elapsed_s(exchange)
        )

    def _count_arm_result(self, exchange: base.Exchange, result: str) -> None:
        """Count the result under the request's policy arm, if it has one."""
        if exchange.arm and exchange.hop is None:
            self._counters.arm_request(exchange.arm, result)

    def _elapsed_s(self, exchange: base.Exchange) -> float:
        return self._clock.monotonic_s() - exchange.request.arrived_s
