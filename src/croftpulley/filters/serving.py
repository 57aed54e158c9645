"""Rejects requests while this box does not serve.

Without a lease its state may be stale, and so may any other reply.
"""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, state
from croftpulley.filters import base


class Serving(base.Filter):
    """Rejects requests without a lease, and after the grace period of a planned stop."""

    def __init__(
        self,
        view: actors.View[state.FleetState],
        closed: actors.View[bool],
        clock: clocks.Clock,
    ) -> None:
        self._view = view
        self._closed = closed
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Pass the request on while this box serves.

        Raises `errors.CroftpulleyError` (DRAINING or NO_LEASE) otherwise.
        """
        if self._closed.get():
            raise errors.CroftpulleyError(codes.ResultCode.DRAINING)
        if not self._view.get().lease_holds(self._clock.monotonic_s()):
            raise errors.CroftpulleyError(codes.ResultCode.NO_LEASE)
        return proceed(exchange)
