"""The step that lets requests wait while this box has only just started."""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley.controllers import actors, router_state
from croftpulley.core import starting
from croftpulley.forwarding import base


class AwaitStart(base.ForwardFilter):
    """Holds requests until this box's first lease, for as long as that is likely near.

    A box that has had a lease and lost it holds nobody: others may serve at once.
    """

    def __init__(self, view: actors.View[router_state.RouterState], clock: clocks.Clock) -> None:
        self._view = view
        self._clock = clock
        self._started_s = clock.monotonic_s()

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Pass the request on with what is known once this box may serve, or the wait is over."""
        if not exchange.state.has_had_lease:
            age_s = self._clock.monotonic_s() - self._started_s
            hold_s = starting.hold_s(age_s, exchange.facts.budget_s)
            if hold_s > 0:
                self._view.wait_for(self._may_serve, hold_s)
                exchange.state = self._view.get()
        return proceed(exchange)

    def _may_serve(self, state: router_state.RouterState) -> bool:
        return state.may_serve(self._clock.monotonic_s())
