"""One endpoint after another, until one has begun an answer that is the caller's."""

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
    """Chooses, sends and judges until an answer is taken or no other endpoint may be asked."""

    def __init__(
        self,
        placement: place.Placement,
        opener: attempt.Opener,
        heads: judge.Judge,
        repeats: retry.Retry,
        gate: suspects.Gate,
        counts: traffic.Traffic,
        known: reach.Reach,
    ) -> None:
        self._placement = placement
        self._gate = gate
        self._opener = opener
        self._judge = heads
        self._retry = repeats
        self._counts = counts
        self._reach = known

    def begin(
        self, exchange: base.Exchange, tried: set[str], resume_after: str = ""
    ) -> attempt.OpenAttempt:
        """Send to endpoints until one has begun an answer that is not a refusal to run.

        With ``resume_after``, the id of the last event that was passed on, only a success will do:
        the head of the answer went out with the first endpoint's. Endpoints in ``tried`` are left
        out, and those that are asked are added. Raises `errors.CroftpulleyError`.
        """
        last_event_id = resume_after or exchange.facts.last_event_id
        while True:
            current = self._open(exchange, tried, last_event_id)
            if self._is_taken(exchange, current, tried, resumes=bool(resume_after)):
                return current

    def broke_off(
        self,
        exchange: base.Exchange,
        current: attempt.OpenAttempt,
        failure: errors.CroftpulleyError,
    ) -> None:
        """Close an attempt whose answer broke off, and note that unless we ended it ourselves."""
        current.close()
        if exchange.token.reason is None:
            self._reach.failed(current.endpoint)
        failures.log_attempt(exchange, current.endpoint, failure)

    def _open(
        self, exchange: base.Exchange, tried: set[str], last_event_id: str
    ) -> attempt.OpenAttempt:
        """Send to endpoints until one has begun an answer, whatever it says."""
        while True:
            placed = self._place(exchange, tried)
            try:
                return self._opener.open(exchange, placed, last_event_id)
            except departures.HeldBackError:
                # Nothing left, and the endpoint has done nothing wrong.
                continue
            except errors.CroftpulleyError as failure:
                self._reach.failed(placed.endpoint)
                failures.log_attempt(exchange, placed.endpoint, failure)
                self._retry.go_on_or_raise(exchange, failure, tried)

    def _place(self, exchange: base.Exchange, tried: set[str]) -> place.Placed:
        try:
            self._gate.admit(exchange)
            placed = self._placement.choose(exchange, tried)
        except errors.CroftpulleyError as failure:
            raise failures.final(exchange, failure) from failure
        tried.add(placed.endpoint.key)
        return placed

    def _is_taken(
        self,
        exchange: base.Exchange,
        current: attempt.OpenAttempt,
        tried: set[str],
        *,
        resumes: bool,
    ) -> bool:
        """Tell whether the answer is the caller's; if not, close it.

        Raises `errors.CroftpulleyError` if it is not and no other endpoint may be asked.
        """
        verdict = self._judge.verdict(exchange, current.answer)
        failed = verdict is verdicts.Verdict.FAILED
        if failed:
            self._counts.erred(current.endpoint.key)
        if verdict is verdicts.Verdict.PASS_ON and (not resumes or current.answer.is_success):
            return True
        refusal = self._judge.refusal(current, verdict)
        goes_on = self._retry.may_go_on(exchange, refusal, tried)
        if failed and not goes_on and not resumes:
            return True
        current.close()
        failures.log_attempt(exchange, current.endpoint, refusal)
        if not goes_on:
            raise self._retry.final(exchange, refusal)
        failures.log_repeat(exchange, refusal)
        return False
