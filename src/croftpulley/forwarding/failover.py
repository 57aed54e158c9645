"""Tries one endpoint after another until one begins a response for the caller."""

from __future__ import annotations

from croftpulley import errors
from croftpulley.controllers import reach, traffic
from croftpulley.core import verdicts
from croftpulley.forwarding import (
    attempt,
    base,
    departures,
    failures,
    judge,
    place,
    retry,
    suspects,
)


class Failover:
    """Sends attempts until a response is accepted or no other endpoint may be tried."""

    def __init__(
        self,
        placement: place.Placement,
        opener: attempt.AttemptOpener,
        response_judge: judge.ResponseClassifier,
        repeats: retry.Retry,
        gate: suspects.SuspectGate,
        counts: traffic.Traffic,
        pool_reach: reach.Reach,
    ) -> None:
        self._placement = placement
        self._gate = gate
        self._opener = opener
        self._judge = response_judge
        self._retry = repeats
        self._counts = counts
        self._reach = pool_reach

    def begin(
        self, exchange: base.Exchange, tried: set[str], resume_after: str = ""
    ) -> attempt.OpenAttempt:
        """Send to endpoints until one has begun a response for the caller.

        With ``resume_after``, the id of the last event that was relayed, only a success is
        accepted: the caller already has the head of the first endpoint's response. Endpoints in
        ``tried`` are left out, and those that are tried are added. Raises
        `errors.CroftpulleyError` if no other endpoint may be tried.
        """
        last_event_id = resume_after or exchange.facts.last_event_id
        while True:
            current = self._open(exchange, tried, last_event_id)
            if self._accept_response(exchange, current, tried, resumes=bool(resume_after)):
                return current

    def close_failed(
        self,
        exchange: base.Exchange,
        current: attempt.OpenAttempt,
        failure: errors.CroftpulleyError,
    ) -> None:
        """Close an attempt whose response broke off; count it as failed unless it was cancelled."""
        current.close()
        if exchange.token.reason is None:
            self._reach.failed(current.endpoint)
        failures.log_attempt(exchange, current.endpoint, failure)

    def _open(
        self, exchange: base.Exchange, tried: set[str], last_event_id: str
    ) -> attempt.OpenAttempt:
        """Send to endpoints until one has begun a response, whatever its status."""
        while True:
            placed = self._place(exchange, tried)
            try:
                return self._opener.open(exchange, placed, last_event_id)
            except departures.HeldBackError:
                # Nothing was sent, and this is no failure of the endpoint.
                continue
            except errors.CroftpulleyError as failure:
                self._reach.failed(placed.endpoint)
                failures.log_attempt(exchange, placed.endpoint, failure)
                self._retry.require_retry(exchange, failure, tried)

    def _place(self, exchange: base.Exchange, tried: set[str]) -> place.PlacementDecision:
        try:
            self._gate.admit(exchange)
            placed = self._placement.choose(exchange, tried)
        except errors.CroftpulleyError as failure:
            raise failures.error_for_caller(exchange, failure) from failure
        tried.add(placed.endpoint.key)
        return placed

    def _accept_response(
        self,
        exchange: base.Exchange,
        current: attempt.OpenAttempt,
        tried: set[str],
        *,
        resumes: bool,
    ) -> bool:
        """Tell whether the response goes to the caller; if not, close the attempt.

        Raises `errors.CroftpulleyError` if it does not and no other endpoint may be tried.
        """
        verdict = self._judge.classify(exchange, current.response)
        failed = verdict is verdicts.Verdict.FAILED
        if failed:
            self._counts.erred(current.endpoint.key)
        if verdict is verdicts.Verdict.PASS_ON and (not resumes or current.response.is_success):
            return True
        refusal = self._judge.record_failure(current, verdict)
        goes_on = self._retry.may_retry(exchange, refusal, tried)
        if failed and not goes_on and not resumes:
            return True
        current.close()
        failures.log_attempt(exchange, current.endpoint, refusal)
        if not goes_on:
            raise self._retry.final_error(exchange, refusal)
        failures.log_repeat(exchange, refusal)
        return False
