"""Relays a chat's answer and has it go on elsewhere when an attempt breaks off."""

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
    """Puts the answer together from as many attempts as it takes, up to a limit."""

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
        """Return the answer once its first part is there; a failure before it raises here."""
        parts = self._parts(exchange, proceed)
        exchange.at_end.callback(parts.close)  # type: ignore[attr-defined]
        first = next(parts)
        return base.AnswerReply(itertools.chain([first], parts))

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
                yield from self._follow(reply, answer)
                return
            except errors.CroftpulleyError as failure:
                self._after_failure(exchange, reply.attempt, failure)
            finally:
                reply.stream.close()
            exchange.answer_so_far = answer.text

    def _follow(
        self, reply: base.AttemptReply, answer: assembly.Assembler
    ) -> Iterator[base.TextPart | base.EndPart]:
        """Yield the parts of one attempt; raises `errors.CroftpulleyError` if it breaks off."""
        for batch in reply.stream.batches():
            self._counters.chunks_relayed(reply.path, len(batch))
            taken = _take(batch, reply.attempt, answer)
            if taken.text:
                yield base.TextPart(taken.text)
            if taken.failure is not None:
                raise taken.failure
            if taken.end is not None:
                yield taken.end
                return
            if self._coalesce_s:
                # What arrives meanwhile waits in the socket and is read at once.
                self._sleep(self._coalesce_s)

    def _after_failure(
        self,
        exchange: base.Exchange,
        attempt: attempts.Attempt,
        failure: errors.CroftpulleyError,
    ) -> None:
        """Prepare the next attempt, or raise where there is to be none."""
        exchange.end_if_over(failure)
        dispatch.log_failure(exchange, attempt.endpoint, failure)
        if exchange.attempts.failed_count >= self._attempts_limit:
            raise failure
        exchange.failed_engines.add(attempt.endpoint)
        if not exchange.untried:
            raise failure
        events.emit(_LOG, events.Event.ANSWER_RESUMED, request_id=exchange.request.request_id)


@attrs.define
class _Taken:
    """What a batch gave: the text that is now next, and the end or the failure behind it.

    Text before a failure has been counted as sent, so it must reach the caller all the same.
    """

    text: str = ""
    end: base.EndPart | None = None
    failure: errors.CroftpulleyError | None = None


def _take(
    batch: endpoints.EventBatch, attempt: attempts.Attempt, answer: assembly.Assembler
) -> _Taken:
    """Add a batch to the answer."""
    taken = _Taken()
    try:
        for event in batch:
            if isinstance(event, messages.Finished):
                _check_whole(event, answer)
                taken.end = _end(event)
                return taken
            taken.text += answer.add(attempt.number, event)
    except assembly.ContradictionError as failure:
        taken.failure = errors.CroftpulleyError(
            codes.ResultCode.ANSWER_CORRUPT, str(failure), run_state=attempt.run_state
        )
    return taken


def _check_whole(finished: messages.Finished, answer: assembly.Assembler) -> None:
    if not answer.check_end(finished.total_chars):
        raise assembly.ContradictionError(
            f"got {answer.offset_chars} characters, {finished.total_chars} were announced"
        )


def _end(finished: messages.Finished) -> base.EndPart:
    return base.EndPart(
        finished.finish_reason,
        finished.prompt_tokens,
        finished.cached_tokens,
        finished.completion_tokens,
    )
