"""Decides whether a request may be sent that is suspected of crashing endpoints.

The suspect is the request itself or a part of its prompt. The check runs before each send, so it
limits the crashes by retries of one request as well as by new requests with the same content. A
request that is implicated in no crash costs two lookups, and one more for each part of its prompt
that others share.
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
"""Retry time if no control box answered whether a trial is granted: the length of an election."""
_BUSY_RETRY_S = 0.5
"""Retry time while a trial runs elsewhere: most requests take less."""
_SURVIVAL_TIME_S = 0.5
"""An endpoint that streams this long after the first event has survived the request. Crashes occur
within 0.1 s of the first event."""
_TRIAL_SLACK_S = 1.0
"""Added to the request's remaining time: a router needs it to end the request and report that."""


class SuspectGate:
    """Rejects suspect requests or sends them as trials, and records how attempts end."""

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
        """Return if the request may be sent to an endpoint now, if needed as a trial.

        Raises REQUEST_CRASHES or REQUEST_ON_TRIAL.
        """
        self.end_trial(exchange)
        self._probe_unclear_endpoints(exchange)
        implicated = self._known.needing_trial((exchange.fingerprint, *exchange.part_features))
        if not implicated:
            return
        for feature, standing in implicated.items():
            if standing.is_refused_to(_asker(exchange, feature, implicated)):
                raise self._refused_error(feature, standing.crashes, standing.refused_for_s)
        for feature, standing in implicated.items():
            if standing.trial_delay_s > 0:
                raise self._put_off_error(feature, standing.crashes, _BUSY_RETRY_S)
        self._begin_trials(exchange, implicated)

    def end_trial(self, exchange: base.Exchange) -> None:
        """Record that the request's trial is over, if it has one."""
        if exchange.trial:
            tried = exchange.attempts.attempts[exchange.attempts_before_trial :]
            was_sent = any(each.phase is not attempts.Phase.UNSENT for each in tried)
            for feature in exchange.tried_features:
                self._known.trial_ended(
                    suspect_messages.TrialEnd(feature, exchange.trial, was_sent)
                )
            exchange.trial = ""
            exchange.tried_features = ()

    def attempt_started(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, attempt: attempts.Attempt
    ) -> None:
        """Record that the request is about to be sent to an endpoint."""
        self._known.begin(endpoint, _identify(exchange), attempt)

    def attempt_ended(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, attempt: attempts.Attempt
    ) -> None:
        """Record how an attempt ended."""
        ending = _classify_end(attempt, is_cancelled=exchange.token.reason is not None)
        self._known.end(endpoint, _identify(exchange), attempt, ending)

    def response_started(self, endpoint: membership.Endpoint) -> None:
        """Record that an endpoint has begun a successful response, so it is alive."""
        self._known.confirm_alive(endpoint)

    def event_received(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, attempt: attempts.Attempt
    ) -> None:
        """Record a stream event; clears the prompt parts once the stream has lasted long enough."""
        if attempt.has_survived:
            return
        now_s = self._clock.monotonic_s()
        if attempt.began_s is None:
            attempt.began_s = now_s
        elif now_s - attempt.began_s >= _SURVIVAL_TIME_S:
            attempt.has_survived = True
            self._known.clear_parts(endpoint, _identify(exchange), attempt)

    def _probe_unclear_endpoints(self, exchange: base.Exchange) -> None:
        """Probe endpoints that may have crashed under the request, if that affects this request.

        It does if their crashes would make the request a suspect.
        """
        unclear = self._known.unexplained_breaks(exchange.fingerprint)
        if not unclear:
            return
        crashes = self._known.status(exchange.fingerprint).crashes
        if crashes + len(unclear) < suspect_messages.SUSPECTED_CRASHES:
            return
        for endpoint in exchange.state.endpoints:
            if endpoint.key in unclear:
                listed = exchange.state.endpoints
                suspicion_reports.probe(
                    self._known, endpoint, listed, self._connect_timeout_s, self._dialer
                )

    def _begin_trials(
        self, exchange: base.Exchange, implicated: dict[str, suspicion.SuspectStatus]
    ) -> None:
        """Get a trial for each suspect feature of a request; if one fails, return all and raise."""
        trial = suspicion_reports.new_trial_id()
        granted: list[str] = []
        try:
            for feature, standing in implicated.items():
                asker = _asker(exchange, feature, implicated)
                if self._request_trial(exchange, feature, trial, standing, asker):
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
        _log_trial(exchange, max(implicated[each].crashes for each in granted))

    def _request_trial(
        self,
        exchange: base.Exchange,
        feature: str,
        trial: str,
        standing: suspicion.SuspectStatus,
        asker: suspect_messages.Asker,
    ) -> bool:
        """Return ``True`` if a trial is granted, ``False`` if none is needed any more.

        Raises REQUEST_CRASHES or REQUEST_ON_TRIAL if the trial is not granted.
        """
        left_s = max(0.0, exchange.deadline_s - self._clock.monotonic_s())
        answer = self._trials.ask(feature, trial, left_s + _TRIAL_SLACK_S, asker)
        if answer is None:
            # The trial may have been granted although no answer arrived.
            self._known.trial_ended(suspect_messages.TrialEnd(feature, trial, was_sent=False))
            self._known.delay_trials(feature)
            raise self._put_off_error(feature, standing.crashes, _UNANSWERED_RETRY_S)
        match answer.verdict:
            case suspect_messages.Verdict.REFUSED:
                raise self._refused_error(feature, answer.crashes, answer.wait_s)
            case suspect_messages.Verdict.BUSY:
                self._known.delay_trials(feature)
                raise self._put_off_error(feature, answer.crashes, _BUSY_RETRY_S)
        return answer.verdict is suspect_messages.Verdict.GRANTED

    def _refused_error(self, feature: str, crashes: int, wait_s: float) -> errors.CroftpulleyError:
        self._counters.suspect("refused")
        return _suspect_error(codes.ResultCode.REQUEST_CRASHES, feature, crashes, wait_s)

    def _put_off_error(self, feature: str, crashes: int, wait_s: float) -> errors.CroftpulleyError:
        self._counters.suspect("put_off")
        return _suspect_error(codes.ResultCode.REQUEST_ON_TRIAL, feature, crashes, wait_s)


def _log_trial(exchange: base.Exchange, crashes: int) -> None:
    """Log that a suspect request is sent as a trial."""
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
    exchange: base.Exchange, feature: str, implicated: dict[str, suspicion.SuspectStatus]
) -> suspect_messages.Asker:
    """Return who asks for a trial of ``feature``, with the other suspect prompt parts."""
    others = (each for each in implicated if each != feature and fingerprints.is_part(each))
    return suspect_messages.Asker(exchange.workspace_name, tuple(others))


def _identify(exchange: base.Exchange) -> crash_candidates.RequestIdentity:
    return crash_candidates.RequestIdentity(
        exchange.fingerprint, exchange.workspace_name, exchange.part_features, exchange.pool
    )


def _classify_end(attempt: attempts.Attempt, *, is_cancelled: bool) -> crash_candidates.Ending:
    """Return what the end of an attempt says about a crash of the endpoint."""
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
    # An endpoint that answers with an error may have failed before it ran the request.
    is_success = attempt.status in verdicts.SUCCESS_STATUSES
    return crash_candidates.Ending.SURVIVED if is_success else crash_candidates.Ending.UNCLEAR


def _suspect_error(
    code: codes.ResultCode, feature: str, crashes: int, wait_s: float
) -> errors.CroftpulleyError:
    kind = "the prompts' part" if fingerprints.is_part(feature) else "request"
    detail = f"{crashes} endpoints ended under {kind} {feature}"
    return errors.CroftpulleyError(code, detail, retry_after_s=round(wait_s, 1))
