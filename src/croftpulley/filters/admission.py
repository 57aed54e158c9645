"""Whether this box may take the request at all."""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, state, streams
from croftpulley.filters import base


class Admission(base.Filter):
    """Refuses without a lease, after the drain's grace, and beyond the limits."""

    def __init__(
        self,
        view: actors.View[state.FleetState],
        in_flight: streams.Streams,
        closed: actors.View[bool],
        clock: clocks.Clock,
    ) -> None:
        self._view = view
        self._streams = in_flight
        self._closed = closed
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Count the request in until its reply has ended."""
        if self._closed.get():
            raise errors.CroftpulleyError(codes.ResultCode.DRAINING)
        if not self._view.get().lease_holds(self._clock.monotonic_s()):
            raise errors.CroftpulleyError(codes.ResultCode.NO_LEASE)
        workspace = exchange.workspace
        if workspace is None:
            raise RuntimeError("the identify filter must come before the admission filter")
        self._streams.enter(workspace.name, workspace.in_flight_per_box)
        exchange.at_end.callback(self._streams.leave, workspace.name)
        return proceed(exchange)
