"""What operators' programs decide for a request, and what is counted of it."""

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
    """Runs the programs of the arm that a request falls to."""

    def __init__(self, hall: str, counters: metrics.Metrics, clock: clocks.Clock) -> None:
        self._hall = hall
        self._counters = counters
        self._clock = clock

    def chosen(
        self,
        exchange: base.Exchange,
        candidates: Sequence[selection.Candidate],
        most_held_tokens: int,
        built_in: selection.Candidate,
    ) -> selection.Candidate:
        """Return the endpoint to take: the arm's, or ``built_in`` where none decides otherwise.

        ``candidates`` are those that may take one more. Raises ARM_REFUSED if the arm's program
        for admission has the caller come back later.
        """
        # Without arms a request is spared the values for programs.
        if exchange.state.tables.arms.is_empty:
            return built_in
        request = self._request(exchange)
        arm = exchange.state.tables.arms.of(request.key)
        if arm is None:
            return built_in
        exchange.arm = arm.name
        try:
            self._admit(exchange, arm, request, candidates, most_held_tokens)
            wanted = arms.chosen(arm, request, candidates, most_held_tokens)
        except language.ProgramError as failure:
            self._failed(exchange, failure)
            wanted = None
        if wanted is not None:
            alike = wanted.name == built_in.name
            self._counters.arm_decision(arm.name, "alike" if alike else "other")
        taken = wanted if wanted is not None and arm.acts else built_in
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
        """Refuse a request that has not been sent to anyone, if the arm says so."""
        if exchange.attempts.attempts:
            return
        wait_s = arms.wait_s(arm, request, candidates, most_held_tokens)
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
            # Requests with one beginning are one chat as far as a router can tell.
            key=facts.shared_prefix[-1].part_id if facts.shared_prefix else facts.request_id,
            prompt_tokens=facts.prompt_tokens,
            shared_tokens=facts.shared_tokens,
            priority=workspace.priority if workspace else exchange.known_route.priority,
            budget_ms=left_s * 1000,
            hall=self._hall,
        )

    def _failed(self, exchange: base.Exchange, failure: language.ProgramError) -> None:
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
