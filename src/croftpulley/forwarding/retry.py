"""Decides whether a failed request is retried at another endpoint, and the caller's error if not.

This depends on whether the endpoint may have run the request (`attempts.Attempt`) and on whether
the route allows it to run twice (`fleet.Route.may_repeat`), never on the type of the exception.
"""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import reach, traffic
from croftpulley.core import attempts
from croftpulley.forwarding import attempt, base, failures, place, refusals
from croftpulley.observe import metrics

MAX_SENDS = 4
"""Maximum number of endpoints that a request is sent to, including those that declined it."""


class Retry:
    """Decides on retries, within the retry budget that all routers share."""

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

    def may_retry(
        self, exchange: base.Exchange, failure: errors.CroftpulleyError, tried: set[str]
    ) -> bool:
        """Return whether the request may be sent to an endpoint that is not in ``tried``.

        Takes one retry from the budget if so, except after an attempt that was never sent.
        """
        if exchange.token.reason is not None:
            return False
        log = exchange.attempts.attempts
        ran = sum(each.run_state is not codes.RunState.NOT_RUN for each in log)
        if len(log) >= MAX_SENDS or ran >= exchange.known_route.attempts:
            return False
        if failure.run_state is not codes.RunState.NOT_RUN and not exchange.known_route.may_repeat:
            return False
        if self._clock.monotonic_s() + attempt.MIN_BUDGET_S >= exchange.deadline_s:
            return False
        if not self._placement.has_untried(exchange, tried):
            return False
        if log and log[-1].phase is attempts.Phase.UNSENT:
            return self._may_reach_others(exchange)
        exchange.repeat = self._counts.acquire_repeat(exchange.pool)
        if not exchange.repeat.is_granted:
            failures.log_held_back(exchange)
        self._counters.repeat(exchange.repeat.is_granted)
        return exchange.repeat.is_granted

    def _may_reach_others(self, exchange: base.Exchange) -> bool:
        """Return whether other endpoints are likely reachable after a failure to reach one.

        They are not while the path to the pool is lost. A request from another box returns to it,
        which asks a third box: this box may have lost its path too without having noticed, unless
        it reached an endpoint of the pool recently.
        """
        if exchange.pool in self._reach.lost:
            return False
        return exchange.hop is None or self._reach.is_reached(exchange.pool)

    def require_retry(
        self, exchange: base.Exchange, failure: errors.CroftpulleyError, tried: set[str]
    ) -> None:
        """Return if another endpoint may be asked, else raise the error for the caller."""
        if not self.may_retry(exchange, failure, tried):
            raise self.final_error(exchange, failure) from failure
        failures.log_repeat(exchange, failure)

    def final_error(
        self, exchange: base.Exchange, failure: errors.CroftpulleyError
    ) -> errors.CroftpulleyError:
        """Return the error for the caller after all attempts, with the time to retry."""
        error = failures.error_for_caller(exchange, failure)
        if error.code is not codes.ResultCode.DECLINED:
            return error
        return refusals.declined_error(exchange, self._placement.survey(exchange), error)
