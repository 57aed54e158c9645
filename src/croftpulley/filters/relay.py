"""Relays a chat's response, and resumes it at another engine when an attempt breaks off."""

from __future__ import annotations

import itertools
import logging
import time
from collections.abc import Callable, Iterator

import attrs

from croftpulley import codes, errors
from croftpulley.core import assembly, attempts
from croftpulley.endpoints import base as endpoints
from croftpulley.filters import base, dispatch
from croftpulley.observe import events, metrics
from croftpulley.transport import messages

_LOG = logging.getLogger(__name__)


class Relay(base.Filter):
    """Assembles the response from one or more attempts, up to a limit."""

    def __init__(
        self,
        attempts_limit: int,
        coalesce_s: float,
        counters: metrics.Metrics,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._attempts_limit = attempts_limit
        self._coalesce_s = coalesce_s
        self._counters = counters
        self._sleep = sleep

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Return the response once its first part has arrived.

        Raises `errors.CroftpulleyError` for a failure before that.
        """
        parts = self._parts(exchange, proceed)
        exchange.at_end.callback(parts.close)  # type: ignore[attr-defined]
        first = next(parts)
        return base.StreamedReply(itertools.chain([first], parts))

    def _parts(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> Iterator[base.TextPart | base.EndPart]:
        answer = assembly.Assembler()
        while True:
            reply = proceed(exchange)
            if not isinstance(reply, base.AttemptReply):
                raise RuntimeError("the dispatch filter must come after the relay filter")
            answer.begin_attempt(reply.attempt.number)
            try:
                yield from self._relay_attempt(reply, answer)
                return
            except errors.CroftpulleyError as failure:
                self._prepare_next_attempt(exchange, reply.attempt, failure)
            finally:
                reply.stream.close()
            exchange.answer_so_far = answer.text

    def _relay_attempt(
        self, reply: base.AttemptReply, answer: assembly.Assembler
    ) -> Iterator[base.TextPart | base.EndPart]:
        """Yield the parts of one attempt; raises `errors.CroftpulleyError` if it breaks off."""
        for batch in reply.stream.batches():
            self._counters.chunks_relayed(reply.path, len(batch))
            result = _assemble(batch, reply.attempt, answer)
            if result.text:
                yield base.TextPart(result.text)
            if result.failure is not None:
                raise result.failure
            if result.end is not None:
                yield result.end
                return
            if self._coalesce_s:
                # Chunks that arrive meanwhile stay in the socket's buffer and are read together.
                self._sleep(self._coalesce_s)

    def _prepare_next_attempt(
        self,
        exchange: base.Exchange,
        attempt: attempts.Attempt,
        failure: errors.CroftpulleyError,
    ) -> None:
        """Prepare the next attempt; raise ``failure`` if there is none left."""
        exchange.raise_if_final(failure)
        dispatch.log_failure(exchange, attempt.endpoint, failure)
        if exchange.attempts.failed_count >= self._attempts_limit:
            raise failure
        exchange.failed_engines.add(attempt.endpoint)
        if not exchange.untried:
            raise failure
        events.emit(_LOG, events.Event.ANSWER_RESUMED, request_id=exchange.request.request_id)


@attrs.define
class _BatchResult:
    """The result of a batch: its new text, and the end or the failure that follows it.

    Text before a failure is already counted as sent, so it must still reach the caller.
    """

    text: str = ""
    end: base.EndPart | None = None
    failure: errors.CroftpulleyError | None = None


def _assemble(
    batch: endpoints.EventBatch, attempt: attempts.Attempt, answer: assembly.Assembler
) -> _BatchResult:
    """Add a batch of events to the response and return its new text, end or failure."""
    result = _BatchResult()
    try:
        for event in batch:
            if isinstance(event, messages.Finished):
                _check_complete(event, answer)
                result.end = _end_part(event)
                return result
            result.text += answer.add(attempt.number, event)
    except assembly.ContradictionError as failure:
        result.failure = errors.CroftpulleyError(
            codes.ResultCode.ANSWER_CORRUPT, str(failure), run_state=attempt.run_state
        )
    return result


def _check_complete(finished: messages.Finished, answer: assembly.Assembler) -> None:
    if not answer.check_end(finished.total_chars):
        raise assembly.ContradictionError(
            f"got {answer.offset_chars} characters, {finished.total_chars} were announced"
        )


def _end_part(finished: messages.Finished) -> base.EndPart:
    return base.EndPart(
        finished.finish_reason,
        finished.prompt_tokens,
        finished.cached_tokens,
        finished.completion_tokens,
    )
