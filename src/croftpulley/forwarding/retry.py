"""Whether another endpoint may be asked after a failure, and what the caller is told if not.

That depends on whether the endpoint can have run the request (`attempts.Attempt`) and on whether
it may run again (`fleet.Route.may_repeat`), never on which exception was caught.
"""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import reach, traffic
from croftpulley.core import attempts
from croftpulley.forwarding import attempt, base, failures, place, refusals
from croftpulley.observe import metrics

MOST_SENDS = 4
"""How many endpoints a request is sent to at most, those that declined it counted too."""


class Retry:
    """Decides on repeats, within the routers' common budget."""

    def __init__(
        self,
        placement: place.Placement,
        counts: traffic.Traffic,
        known: reach.Reach,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._placement = placement
        self._counts = counts
        self._reach = known
        self._counters = counters
        self._clock = clock

    def may_go_on(
        self, exchange: base.Exchange, failure: errors.CroftpulleyError, tried: set[str]
    ) -> bool:
        """Tell whether an endpoint that is not in ``tried`` may be asked.

        Takes one repeat from the budget if so.
        """
        if exchange.token.reason is not None:
            return False
        log = exchange.attempts.attempts
        ran = sum(each.run_state is not codes.RunState.NOT_RUN for each in log)
        if len(log) >= MOST_SENDS or ran >= exchange.known_route.attempts:
            return False
        if failure.run_state is not codes.RunState.NOT_RUN and not exchange.known_route.may_repeat:
            return False
        if self._clock.monotonic_s() + attempt.LEAST_BUDGET_S >= exchange.deadline_s:
            return False
        if not self._placement.has_other(exchange, tried):
            return False
        if log and log[-1].phase is attempts.Phase.UNSENT:
            return self._reaches_others(exchange)
        exchange.repeat = self._counts.take_repeat(exchange.pool)
        if not exchange.repeat.is_granted:
            failures.log_held_back(exchange)
        self._counters.repeat(exchange.repeat.is_granted)
        return exchange.repeat.is_granted

    def _reaches_others(self, exchange: base.Exchange) -> bool:
        """Tell whether another endpoint may be reached where one was not.

        Where the way is lost none is. A request that another box handed over goes back to it, which
        asks a third one: this box may have lost the way as well and not know yet, unless it has
        reached some endpoint of the pool lately.
        """
        if exchange.pool in self._reach.lost:
            return False
        return exchange.hop is None or self._reach.is_reached(exchange.pool)

    def go_on_or_raise(
        self, exchange: base.Exchange, failure: errors.CroftpulleyError, tried: set[str]
    ) -> None:
        """Return if another endpoint may be asked, else raise what the caller is told."""
        if not self.may_go_on(exchange, failure, tried):
            raise self.final(exchange, failure) from failure
        failures.log_repeat(exchange, failure)

    def final(
        self, exchange: base.Exchange, failure: errors.CroftpulleyError
    ) -> errors.CroftpulleyError:
        """Make what the caller is told of all attempts, and when to come back."""
        told = failures.final(exchange, failure)
        if told.code is not codes.ResultCode.DECLINED:
            return told
        return refusals.declined(exchange, self._placement.survey(exchange), told)
