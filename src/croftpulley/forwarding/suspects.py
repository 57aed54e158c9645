"""Whether a request under which endpoints ended may be sent once more.

Asked before each send, so that it bounds what one request does on its own as well as what it does
when it comes again. A request that no endpoint ended under passes with two look-ups.
"""

from __future__ import annotations

import logging

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import suspicion
from croftpulley.core import attempts, doubts, membership, verdicts
from croftpulley.core import suspects as core
from croftpulley.endpoints import dialing
from croftpulley.forwarding import base
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
_UNANSWERED_RETRY_S = 1.0
"""When to come back if no control box said whether it may be tried: an election takes so long."""
_BUSY_RETRY_S = 0.5
"""When to come back while it is tried elsewhere: most requests take less."""
_TRIAL_SLACK_S = 1.0
"""Beyond the request's own time: what a router takes to end it and to say so."""


class Gate:
    """Holds suspects back, and notes what becomes of attempts."""

    def __init__(
        self,
        known: suspicion.Suspicion,
        trials: suspicion.Trials,
        connect_timeout_s: float,
        counters: metrics.Metrics,
        clock: clocks.Clock,
        dialer: dialing.Dialer = dialing.DIRECT,
    ) -> None:
        self._dialer = dialer
        self._known = known
        self._trials = trials
        self._connect_timeout_s = connect_timeout_s
        self._counters = counters
        self._clock = clock

    def admit(self, exchange: base.Exchange) -> None:
        """Return if the request may be sent to an endpoint now; raises REQUEST_CRASHES or
        REQUEST_ON_TRIAL.
        """
        self.end_trial(exchange)
        self._look_where_it_broke(exchange)
        standing = self._known.standing(exchange.fingerprint)
        if not standing.needs_trial:
            return
        if standing.refused_for_s > 0:
            raise self._refused(exchange, standing.crashes, standing.refused_for_s)
        if standing.put_off_for_s > 0:
            raise self._put_off(exchange, standing.crashes, _BUSY_RETRY_S)
        self._begin_trial(exchange, standing)

    def end_trial(self, exchange: base.Exchange) -> None:
        """Note that the trial of a request is over, if it has one."""
        if exchange.trial:
            tried = exchange.attempts.attempts[exchange.attempts_before_trial :]
            was_sent = any(each.phase is not attempts.Phase.UNSENT for each in tried)
            self._end_trial(exchange, exchange.trial, was_sent)
            exchange.trial = ""

    def _end_trial(self, exchange: base.Exchange, trial: str, was_sent: bool) -> None:
        self._known.trial_ended(core.TrialEnd(exchange.fingerprint, trial, was_sent))

    def began(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, attempt: attempts.Attempt
    ) -> None:
        """Note that the request is about to be sent to an endpoint."""
        self._known.begin(endpoint, _named(exchange), attempt)

    def ended(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, attempt: attempts.Attempt
    ) -> None:
        """Note how an attempt ended."""
        ending = _ending(attempt, is_cancelled=exchange.token.reason is not None)
        self._known.end(endpoint, _named(exchange), attempt, ending)

    def _look_where_it_broke(self, exchange: base.Exchange) -> None:
        """Find out whether endpoints ended, where that decides on this request."""
        unclear = self._known.unclear(exchange.fingerprint)
        if not unclear:
            return
        crashes = self._known.standing(exchange.fingerprint).crashes
        if crashes + len(unclear) < core.SUSPECTED_CRASHES:
            return
        for endpoint in exchange.state.endpoints:
            if endpoint.key in unclear:
                listed = exchange.state.endpoints
                suspicion.look(self._known, endpoint, listed, self._connect_timeout_s, self._dialer)

    def _begin_trial(self, exchange: base.Exchange, standing: suspicion.Standing) -> None:
        left_s = max(0.0, exchange.deadline_s - self._clock.monotonic_s())
        trial = suspicion.new_trial()
        answer = self._trials.ask(exchange.fingerprint, trial, left_s + _TRIAL_SLACK_S)
        if answer is None:
            # It may have been granted all the same.
            self._end_trial(exchange, trial, was_sent=False)
            self._known.put_off(exchange.fingerprint)
            raise self._put_off(exchange, standing.crashes, _UNANSWERED_RETRY_S)
        match answer.verdict:
            case core.Verdict.FREE:
                return
            case core.Verdict.REFUSED:
                raise self._refused(exchange, answer.crashes, answer.wait_s)
            case core.Verdict.BUSY:
                self._known.put_off(exchange.fingerprint)
                raise self._put_off(exchange, answer.crashes, _BUSY_RETRY_S)
            case core.Verdict.GRANTED:
                exchange.trial = trial
                exchange.attempts_before_trial = len(exchange.attempts.attempts)
                exchange.at_end.callback(self.end_trial, exchange)
                self._counters.suspect("tried")
                log_trial(exchange, answer.crashes)

    def _refused(
        self, exchange: base.Exchange, crashes: int, wait_s: float
    ) -> errors.CroftpulleyError:
        self._counters.suspect("refused")
        return _error(codes.ResultCode.REQUEST_CRASHES, exchange, crashes, wait_s)

    def _put_off(
        self, exchange: base.Exchange, crashes: int, wait_s: float
    ) -> errors.CroftpulleyError:
        self._counters.suspect("put_off")
        return _error(codes.ResultCode.REQUEST_ON_TRIAL, exchange, crashes, wait_s)


def log_trial(exchange: base.Exchange, crashes: int) -> None:
    """Log that a suspect is tried."""
    events.emit(
        _LOG,
        events.Event.SUSPECT_TRIED,
        level=logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=exchange.fingerprint,
        crashes=crashes,
        trial=exchange.trial,
    )


def _named(exchange: base.Exchange) -> doubts.Named:
    return doubts.Named(exchange.fingerprint, exchange.workspace_name)


def _ending(attempt: attempts.Attempt, *, is_cancelled: bool) -> doubts.Ending:
    if attempt.run_state is codes.RunState.NOT_RUN:
        return doubts.Ending.UNCLEAR
    if attempt.in_doubt:
        return doubts.Ending.GIVEN_UP if is_cancelled else doubts.Ending.BROKE
    if attempt.phase is not attempts.Phase.DONE:
        return doubts.Ending.GIVEN_UP
    # An endpoint that fails requests may do so before it begins to run them.
    is_success = attempt.status in verdicts.SUCCESSES
    return doubts.Ending.SURVIVED if is_success else doubts.Ending.UNCLEAR


def _error(
    code: codes.ResultCode, exchange: base.Exchange, crashes: int, wait_s: float
) -> errors.CroftpulleyError:
    detail = f"{crashes} endpoints ended under request {exchange.fingerprint}"
    return errors.CroftpulleyError(code, detail, retry_after_s=round(wait_s, 1))
