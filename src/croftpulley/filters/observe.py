"""Records the metrics of every request, also of failed ones."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.filters import base
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)


class Observe(base.Filter):
    """Counts results, and measures the time to the first text and to the end."""

    def __init__(self, counters: metrics.Metrics, clock: clocks.Clock) -> None:
        self._counters = counters
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Pass the request on and record its result when its reply ends."""
        try:
            reply = proceed(exchange)
        except errors.CroftpulleyError as failure:
            self._record_end(exchange, failure.code)
            raise
        if isinstance(reply, base.StreamedReply):
            return base.StreamedReply(self._observe_parts(exchange, reply.parts))
        self._record_end(exchange, codes.ResultCode.OK)
        return reply

    def _observe_parts(
        self, exchange: base.Exchange, parts: Iterator[base.TextPart | base.EndPart]
    ) -> Iterator[base.TextPart | base.EndPart]:
        """Yield the parts; a reader that stops early counts as a caller that disconnected."""
        code = codes.ResultCode.CALLER_GONE
        first = True
        try:
            for part in parts:
                if first:
                    self._counters.first_token(
                        exchange.workspace_name, exchange.class_name, self._elapsed_s(exchange)
                    )
                    first = False
                if isinstance(part, base.EndPart):
                    self._counters.prompt_tokens(
                        exchange.workspace_name, part.prompt_tokens, part.cached_tokens
                    )
                    code = codes.ResultCode.OK
                yield part
        except errors.CroftpulleyError as failure:
            code = failure.code
            raise
        finally:
            self._record_end(exchange, code)

    def _record_end(self, exchange: base.Exchange, code: codes.ResultCode) -> None:
        if code is codes.ResultCode.CALLER_GONE:
            events.emit(_LOG, events.Event.CALLER_GONE, request_id=exchange.request.request_id)
        self._counters.request_ended(
            exchange.workspace_name, exchange.class_name, code.name, self._elapsed_s(exchange)
        )

    def _elapsed_s(self, exchange: base.Exchange) -> float:
        return self._clock.monotonic_s() - exchange.request.arrived_s
