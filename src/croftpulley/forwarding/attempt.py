"""Sends one attempt to one endpoint and counts it as in flight until it is closed."""

from __future__ import annotations

import functools
from collections.abc import Callable

import attrs

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import reach, traffic
from croftpulley.core import attempts, membership
from croftpulley.forwarding import (
    base,
    departures,
    failures,
    headers,
    notices,
    place,
    sender,
    suspects,
    vocabulary,
)

MIN_BUDGET_S = 0.02
"""With less time left than this no endpoint can respond, so no attempt is sent."""


@attrs.define
class OpenAttempt:
    """An attempt whose response has begun; it counts as in flight until it is closed.

    ``on_close`` is called once, when it is closed, and ``on_event`` for each event of a stream.
    ``prefill_tokens`` are those that count as the engine's prefill until the first event.
    """

    endpoint: membership.Endpoint
    attempt: attempts.Attempt
    response: sender.Response
    counts: traffic.Traffic
    on_close: Callable[[], None]
    on_event: Callable[[], None]
    prefill_tokens: int = 0
    closed: bool = False

    def record_event(self) -> None:
        """Record that an event of the response has arrived."""
        self.end_prefill()
        self.on_event()

    def end_prefill(self) -> None:
        """Stop counting the prompt as prefill; a second call does nothing."""
        tokens, self.prefill_tokens = self.prefill_tokens, 0
        if tokens:
            self.counts.end_prefill(self.endpoint.key, tokens)

    def close(self) -> None:
        """Free the connection and stop counting the attempt; a second call does nothing."""
        if not self.closed:
            self.closed = True
            self.response.close()
            self.end_prefill()
            self.counts.leave(self.endpoint.key)
            self.on_close()


class AttemptOpener:
    """Sends attempts to endpoints and keeps the counts of what is in flight."""

    def __init__(
        self,
        attempt_sender: sender.Sender,
        counts: traffic.Traffic,
        gate: suspects.SuspectGate,
        endpoint_notices: notices.NoticeReader,
        pre_send_check: departures.PreSendCheck,
        pool_reach: reach.Reach,
        header_names: vocabulary.HeaderNames,
        clock: clocks.Clock,
    ) -> None:
        self._sender = attempt_sender
        self._counts = counts
        self._gate = gate
        self._notices = endpoint_notices
        self._pre_send_check = pre_send_check
        self._reach = pool_reach
        self._header_names = header_names
        self._clock = clock

    def open(
        self, exchange: base.Exchange, placed: place.PlacementDecision, last_event_id: str
    ) -> OpenAttempt:
        """Send the request to an endpoint and return once the head of its response is there.

        Raises `errors.CroftpulleyError`; the attempt then no longer counts as in flight.
        """
        try:
            return self._open(exchange, placed, last_event_id)
        except BaseException:
            if placed.send_record is not None:
                # Nothing more is sent, so the time of sending is at most now.
                self._counts.mark_cold_sent(placed.send_record)
            raise

    def _open(
        self, exchange: base.Exchange, placed: place.PlacementDecision, last_event_id: str
    ) -> OpenAttempt:
        endpoint = placed.endpoint
        budget_s = exchange.deadline_s - self._clock.monotonic_s()
        if budget_s < MIN_BUDGET_S:
            deadline_error = errors.CroftpulleyError(codes.ResultCode.DEADLINE_PASSED)
            raise failures.error_for_caller(exchange, deadline_error)
        attempt = exchange.attempts.begin(endpoint.key)
        outgoing = headers.Outgoing(
            endpoint=endpoint,
            budget_s=budget_s,
            last_event_id=last_event_id,
            cache_from=placed.cache_from,
        )
        outgoing_request = self._outgoing_request(exchange, outgoing, placed)
        self._counts.enter(endpoint.key)
        self._counts.begin_prefill(exchange.facts, endpoint.key, placed.reading_tokens)
        self._gate.attempt_started(exchange, endpoint, attempt)
        on_close = functools.partial(self._gate.attempt_ended, exchange, endpoint, attempt)
        on_event = functools.partial(self._gate.event_received, exchange, endpoint, attempt)
        try:
            response = self._sender.send(outgoing_request, attempt, exchange.token)
        except BaseException as failure:
            if isinstance(failure, departures.HeldBackError):
                exchange.attempts.discard(attempt)
            self._counts.end_prefill(endpoint.key, placed.reading_tokens)
            self._counts.leave(endpoint.key)
            on_close()
            raise
        self._reach.answered(endpoint)
        if response.is_success:
            self._gate.response_started(endpoint)
        self._notices.process(exchange, endpoint, response)
        return OpenAttempt(
            endpoint, attempt, response, self._counts, on_close, on_event, placed.reading_tokens
        )

    def _outgoing_request(
        self, exchange: base.Exchange, outgoing: headers.Outgoing, placed: place.PlacementDecision
    ) -> sender.OutgoingRequest:
        repeat = exchange.repeat.repeat if exchange.repeat else None
        send_callback = self._pre_send_check.send_callback(exchange, placed, repeat)
        return sender.OutgoingRequest(
            endpoint=outgoing.endpoint,
            method=exchange.request.method,
            target=exchange.request.target,
            headers=headers.to_endpoint(exchange, outgoing, self._header_names),
            body=exchange.request.body,
            # The shared retry budget counts a repeat as long as it may still arrive.
            arrival_limit_s=self._counts.arrival_s if repeat is not None else None,
            on_leaving=send_callback,
        )
