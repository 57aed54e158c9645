"""Whether this box serves at all; everything else it would say without a lease may be stale."""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, state
from croftpulley.filters import base


class Serving(base.Filter):
    """Refuses without a lease and after the grace of a planned stop."""

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
        """Pass the request on while this box serves."""
        if self._closed.get():
            raise errors.CroftpulleyError(codes.ResultCode.DRAINING)
        if not self._view.get().lease_holds(self._clock.monotonic_s()):
            raise errors.CroftpulleyError(codes.ResultCode.NO_LEASE)
        return proceed(exchange)
