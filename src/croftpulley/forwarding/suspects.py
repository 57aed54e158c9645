"""Whether a request may be sent under which, or under a part of whose prompt, endpoints ended.

Asked before each send, so that it bounds what one request does on its own as well as what it does
when it comes again. A request that no endpoint ended under passes with two look-ups, and one more
for each part of its prompt that others share.
"""

from __future__ import annotations

import logging

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import suspicion, suspicion_reports
from croftpulley.core import (
    attempts,
    crash_candidates,
    fingerprints,
    membership,
    suspect_messages,
    verdicts,
)
from croftpulley.endpoints import dialing
from croftpulley.forwarding import base
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
_UNANSWERED_RETRY_S = 1.0
"""When to come back if no control box said whether it may be tried: an election takes so long."""
_BUSY_RETRY_S = 0.5
"""When to come back while it is tried elsewhere: most requests take less."""
_SURVIVED_S = 0.5
"""From the first event of an answer on: endpoints end within 0.1 s of beginning one."""
_TRIAL_SLACK_S = 1.0
"""Beyond the request's own time: what a router takes to end it and to say so."""


class Gate:
    """Holds suspects back, and notes what becomes of attempts."""

    def __init__(
        self,
        known: suspicion.Suspicion,
        trials: suspicion_reports.Trials,
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
        against = self._known.against((exchange.fingerprint, *exchange.part_features))
        if not against:
            return
        for feature, standing in against.items():
            if standing.is_refused_to(_asker(exchange, feature, against)):
                raise self._refused(feature, standing.crashes, standing.refused_for_s)
        for feature, standing in against.items():
            if standing.put_off_for_s > 0:
                raise self._put_off(feature, standing.crashes, _BUSY_RETRY_S)
        self._begin_trials(exchange, against)

    def end_trial(self, exchange: base.Exchange) -> None:
        """Note that the trial of a request is over, if it has one."""
        if exchange.trial:
            tried = exchange.attempts.attempts[exchange.attempts_before_trial :]
            was_sent = any(each.phase is not attempts.Phase.UNSENT for each in tried)
            for feature in exchange.tried_features:
                self._known.trial_ended(
                    suspect_messages.TrialEnd(feature, exchange.trial, was_sent)
                )
            exchange.trial = ""
            exchange.tried_features = ()

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

    def answered(self, endpoint: membership.Endpoint) -> None:
        """Note that an endpoint has begun a success."""
        self._known.lives_on(endpoint)

    def wrote(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, attempt: attempts.Attempt
    ) -> None:
        """Note that an event of a stream has come."""
        if attempt.has_survived:
            return
        now_s = self._clock.monotonic_s()
        if attempt.began_s is None:
            attempt.began_s = now_s
        elif now_s - attempt.began_s >= _SURVIVED_S:
            attempt.has_survived = True
            self._known.writes(endpoint, _named(exchange), attempt)

    def _look_where_it_broke(self, exchange: base.Exchange) -> None:
        """Find out whether endpoints ended, where that decides on this request."""
        unclear = self._known.unclear(exchange.fingerprint)
        if not unclear:
            return
        crashes = self._known.standing(exchange.fingerprint).crashes
        if crashes + len(unclear) < suspect_messages.SUSPECTED_CRASHES:
            return
        for endpoint in exchange.state.endpoints:
            if endpoint.key in unclear:
                listed = exchange.state.endpoints
                suspicion_reports.look(
                    self._known, endpoint, listed, self._connect_timeout_s, self._dialer
                )

    def _begin_trials(
        self, exchange: base.Exchange, against: dict[str, suspicion.Standing]
    ) -> None:
        """Get a trial for each suspect of a request, or raise and give back those that it got."""
        trial = suspicion_reports.new_trial()
        granted: list[str] = []
        try:
            for feature, standing in against.items():
                asker = _asker(exchange, feature, against)
                if self._grants(exchange, feature, trial, standing, asker):
                    granted.append(feature)
        except errors.CroftpulleyError:
            for feature in granted:
                self._known.trial_ended(suspect_messages.TrialEnd(feature, trial, was_sent=False))
            raise
        if not granted:
            return
        exchange.trial = trial
        exchange.tried_features = tuple(granted)
        exchange.attempts_before_trial = len(exchange.attempts.attempts)
        exchange.at_end.callback(self.end_trial, exchange)
        self._counters.suspect("tried")
        log_trial(exchange, max(against[each].crashes for each in granted))

    def _grants(
        self,
        exchange: base.Exchange,
        feature: str,
        trial: str,
        standing: suspicion.Standing,
        asker: suspect_messages.Asker,
    ) -> bool:
        """Tell whether a trial is granted, or none is needed any more; raises where it is not."""
        left_s = max(0.0, exchange.deadline_s - self._clock.monotonic_s())
        answer = self._trials.ask(feature, trial, left_s + _TRIAL_SLACK_S, asker)
        if answer is None:
            # It may have been granted all the same.
            self._known.trial_ended(suspect_messages.TrialEnd(feature, trial, was_sent=False))
            self._known.put_off(feature)
            raise self._put_off(feature, standing.crashes, _UNANSWERED_RETRY_S)
        match answer.verdict:
            case suspect_messages.Verdict.REFUSED:
                raise self._refused(feature, answer.crashes, answer.wait_s)
            case suspect_messages.Verdict.BUSY:
                self._known.put_off(feature)
                raise self._put_off(feature, answer.crashes, _BUSY_RETRY_S)
        return answer.verdict is suspect_messages.Verdict.GRANTED

    def _refused(self, feature: str, crashes: int, wait_s: float) -> errors.CroftpulleyError:
        self._counters.suspect("refused")
        return _error(codes.ResultCode.REQUEST_CRASHES, feature, crashes, wait_s)

    def _put_off(self, feature: str, crashes: int, wait_s: float) -> errors.CroftpulleyError:
        self._counters.suspect("put_off")
        return _error(codes.ResultCode.REQUEST_ON_TRIAL, feature, crashes, wait_s)


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
        features=list(exchange.tried_features),
    )


def _asker(
    exchange: base.Exchange, feature: str, against: dict[str, suspicion.Standing]
) -> suspect_messages.Asker:
    others = (each for each in against if each != feature and fingerprints.is_part(each))
    return suspect_messages.Asker(exchange.workspace_name, tuple(others))


def _named(exchange: base.Exchange) -> crash_candidates.RequestIdentity:
    return crash_candidates.RequestIdentity(
        exchange.fingerprint, exchange.workspace_name, exchange.part_features, exchange.pool
    )


def _ending(attempt: attempts.Attempt, *, is_cancelled: bool) -> crash_candidates.Ending:
    if attempt.run_state is codes.RunState.NOT_RUN:
        return crash_candidates.Ending.UNCLEAR
    if attempt.is_end_ambiguous and is_cancelled:
        return crash_candidates.Ending.GIVEN_UP
    if attempt.is_end_ambiguous:
        is_read = attempt.phase is attempts.Phase.DONE and not attempt.is_truncated
        is_whole = is_read and attempt.status in verdicts.SUCCESS_STATUSES
        return crash_candidates.Ending.CLOSED if is_whole else crash_candidates.Ending.BROKE
    if attempt.phase is not attempts.Phase.DONE:
        return crash_candidates.Ending.GIVEN_UP
    # An endpoint that fails requests may do so before it begins to run them.
    is_success = attempt.status in verdicts.SUCCESS_STATUSES
    return crash_candidates.Ending.SURVIVED if is_success else crash_candidates.Ending.UNCLEAR


def _error(
    code: codes.ResultCode, feature: str, crashes: int, wait_s: float
) -> errors.CroftpulleyError:
    kind = "the prompts' part" if fingerprints.is_part(feature) else "request"
    detail = f"{crashes} endpoints ended under {kind} {feature}"
    return errors.CroftpulleyError(code, detail, retry_after_s=round(wait_s, 1))
