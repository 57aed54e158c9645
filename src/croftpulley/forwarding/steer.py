"""Runs the operators' policy programs for a request and counts their decisions."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.core import selection
from croftpulley.forwarding import base
from croftpulley.observe import events, metrics
from croftpulley.policy import arms, language

_LOG = logging.getLogger(__name__)


class Steering:
    """Runs the programs of the arm that a request is assigned to."""

    def __init__(self, hall: str, counters: metrics.Metrics, clock: clocks.Clock) -> None:
        self._hall = hall
        self._counters = counters
        self._clock = clock

    def choose(
        self,
        exchange: base.Exchange,
        candidates: Sequence[selection.Candidate],
        most_held_tokens: int,
        built_in: selection.Candidate,
    ) -> selection.Candidate:
        """Return the endpoint that the arm chooses, or ``built_in`` if it makes no choice.

        ``candidates`` are the endpoints that may get one more request. Raises ARM_REFUSED if the
        arm's admission program has the caller retry later. An arm that does not act only counts.
        """
        # Without arms the input values of programs are not computed.
        if exchange.state.tables.arms.is_empty:
            return built_in
        request = self._request(exchange)
        arm = exchange.state.tables.arms.arm_for(request.key)
        if arm is None:
            return built_in
        exchange.arm = arm.name
        try:
            self._admit(exchange, arm, request, candidates, most_held_tokens)
            arm_choice = arms.choose_endpoint(arm, request, candidates, most_held_tokens)
        except language.ProgramError as failure:
            self._record_failure(exchange, failure)
            arm_choice = None
        if arm_choice is not None:
            alike = arm_choice.name == built_in.name
            self._counters.arm_decision(arm.name, "alike" if alike else "other")
        taken = arm_choice if arm_choice is not None and arm.acts else built_in
        held = min(taken.held_tokens, request.prompt_tokens)
        self._counters.arm_tokens(arm.name, held, request.prompt_tokens - held)
        return taken

    def _admit(
        self,
        exchange: base.Exchange,
        arm: arms.Arm,
        request: arms.Request,
        candidates: Sequence[selection.Candidate],
        most_held_tokens: int,
    ) -> None:
        """Raise ARM_REFUSED if the arm rejects a request that was not sent to any endpoint yet."""
        if exchange.attempts.attempts:
            return
        wait_s = arms.wait_before_retry_s(arm, request, candidates, most_held_tokens)
        if wait_s <= 0:
            return
        self._counters.arm_decision(arm.name, "refused")
        if arm.acts:
            raise errors.CroftpulleyError(
                codes.ResultCode.ARM_REFUSED, f"by arm {arm.name!r}", retry_after_s=wait_s
            )

    def _request(self, exchange: base.Exchange) -> arms.Request:
        facts = exchange.facts
        workspace = exchange.workspace
        left_s = exchange.deadline_s - self._clock.monotonic_s()
        return arms.Request(
            # A router takes requests with the same shared prefix for one chat.
            key=facts.shared_prefix[-1].part_id if facts.shared_prefix else facts.request_id,
            prompt_tokens=facts.prompt_tokens,
            shared_tokens=facts.shared_tokens,
            priority=workspace.priority if workspace else exchange.known_route.priority,
            budget_ms=left_s * 1000,
            hall=self._hall,
        )

    def _record_failure(self, exchange: base.Exchange, failure: language.ProgramError) -> None:
        self._counters.arm_decision(exchange.arm, "failed")
        events.emit(
            _LOG,
            events.Event.PROGRAM_FAILED,
            level=logging.WARNING,
            request_id=exchange.facts.request_id,
            arm=exchange.arm,
            configuration_version=exchange.state.configuration.version,
            problem=str(failure),
        )
