"""Limits the requests in flight at this box."""

from __future__ import annotations

from croftpulley.controllers import streams
from croftpulley.filters import base


class Admission(base.Filter):
    """Counts requests in flight, in total and per workspace."""

    def __init__(self, in_flight: streams.Streams) -> None:
        self._streams = in_flight

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Count the request as in flight until its reply ends.

        Raises `errors.CroftpulleyError` where a limit is reached.
        """
        workspace = exchange.workspace
        if workspace is None:
            raise RuntimeError("the identify filter must come before the admission filter")
        self._streams.enter(workspace.name, workspace.in_flight_per_box)
        exchange.at_end.callback(self._streams.leave, workspace.name)
        return proceed(exchange)
