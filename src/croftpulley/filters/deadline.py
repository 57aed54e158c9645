"""Sets the deadline of each request."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import streams
from croftpulley.filters import base


class Deadline(base.Filter):
    """Sets the deadline; has the request cancelled when it passes or the caller disconnects."""

    def __init__(self, watch: streams.Streams, default_ms: int, limit_ms: int) -> None:
        self._streams = watch
        self._default_ms = default_ms
        self._limit_ms = limit_ms

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Set the deadline from ``X-Deadline-Ms`` or the default.

        Raises `errors.CroftpulleyError` (BAD_REQUEST) for a malformed header.
        """
        budget_ms = self._budget_ms(exchange.request.header("x-deadline-ms"))
        exchange.deadline_s = exchange.request.arrived_s + budget_ms / 1000
        watched = streams.WatchedRequest(
            exchange.token, exchange.deadline_s, exchange.request.caller_gone
        )
        self._streams.watch(watched)
        exchange.at_end.callback(self._streams.unwatch, watched)
        return proceed(exchange)

    def _budget_ms(self, header: str) -> int:
        if not header:
            return self._default_ms
        if not header.isdecimal() or not 0 < int(header) <= self._limit_ms:
            raise errors.CroftpulleyError(
                codes.ResultCode.BAD_REQUEST,
                f"got X-Deadline-Ms {header!r}, allowed is 1 to {self._limit_ms}",
            )
        return int(header)
