from __future__ import annotations

import pytest

from croftpulley import codes, errors
from croftpulley.core import assembly, attempts, membership
from croftpulley.endpoints import base as endpoints
from croftpulley.filters import base, relay
from croftpulley.observe import metrics
from croftpulley.settings import fleet
from croftpulley.transport import messages


class ScriptedStream(endpoints.EngineStream):
    """An engine stream that yields the given batches and raises an exception among them."""

    def __init__(self, *batches):
        self._batches = batches
        self.closed = False

    def batches(self):
        for batch in self._batches:
            if isinstance(batch, Exception):
                raise batch
            yield batch

    def shutdown(self):
        raise NotImplementedError

    def close(self):
        self.closed = True


def engine(name):
    kind = membership.EndpointKind.ENGINE
    return membership.Endpoint(name, kind, "llm", "127.0.0.1:1", "hall-a", "1")


def finished(total_chars):
    return messages.Finished("stop", total_chars, 3, 0, 2)


def broke():
    return errors.CroftpulleyError(codes.ResultCode.ENGINE_BROKE)


@pytest.fixture
def exchange():
    request = base.CallerRequest(
        request_id="r-1", headers={}, content_type="", body=b"", arrived_s=0.0
    )
    made = base.Exchange(
        request=request,
        configuration=fleet.FleetConfiguration(),
        directory=membership.Directory(),
    )
    made.candidates = [engine("a"), engine("b"), engine("c")]
    return made


def run(exchange, *streams, attempts_limit=6, cancel_at=None):
    """Relay from the streams, one per attempt; return text, end, requested offsets and failure."""
    offsets = []
    left = list(streams)

    def proceed(seen):
        if not seen.candidates or not left:
            raise errors.CroftpulleyError(codes.ResultCode.NO_ENGINE)
        offsets.append(len(seen.answer_so_far))
        attempt = seen.attempts.begin(seen.candidates[0].name)
        attempt.enter(attempts.Phase.SENT)
        return base.AttemptReply(attempt, left.pop(0), metrics.DIRECT)

    reply = relay.Relay(attempts_limit, 0.0, metrics.Metrics()).handle(exchange, proceed)
    texts, end, failure = [], None, None
    try:
        for part in reply.parts:
            if isinstance(part, base.EndPart):
                end = part
            else:
                texts.append(part.text)
    except errors.CroftpulleyError as raised:
        failure = raised
    return "".join(texts), end, offsets, failure


def test_a_response_resumes_from_the_offset_reached(exchange):
    first = ScriptedStream((assembly.Chunk(0, "abc"),), broke())
    second = ScriptedStream((assembly.Chunk(3, "def"), finished(6)))
    text, end, offsets, _ = run(exchange, first, second)
    assert (text, end.finish_reason, offsets) == ("abcdef", "stop", [0, 3])
    assert first.closed
    assert second.closed


def test_text_in_the_batch_of_a_corrupt_end_reaches_the_caller(exchange):
    # Guards against text that is counted as sent but not yielded: the response then had a gap.
    first = ScriptedStream((assembly.Chunk(0, "abc"), finished(7)))
    second = ScriptedStream((assembly.Chunk(3, "defg"), finished(7)))
    text, _, offsets, _ = run(exchange, first, second)
    assert (text, offsets) == ("abcdefg", [0, 3])


def test_a_contradiction_ends_the_attempt_and_keeps_the_text_sent_before(exchange):
    first = ScriptedStream((assembly.Chunk(0, "abc"),), (assembly.Chunk(1, "XX"),))
    second = ScriptedStream((assembly.Chunk(3, "d"), finished(4)))
    text, _, _, failure = run(exchange, first, second)
    assert (text, failure) == ("abcd", None)


def test_attempts_stop_at_the_limit_with_the_last_failure(exchange):
    streams = [ScriptedStream((assembly.Chunk(0, "a"),), broke()) for _ in range(3)]
    _, _, offsets, failure = run(exchange, *streams, attempts_limit=2)
    assert failure.code is codes.ResultCode.ENGINE_BROKE
    assert offsets == [0, 1]


def test_a_cancelled_request_makes_no_further_attempt(exchange):
    class Cancelling(ScriptedStream):
        def batches(self):
            yield (assembly.Chunk(0, "a"),)
            exchange.token.cancel(codes.ResultCode.CALLER_GONE)
            raise errors.CroftpulleyError(codes.ResultCode.CALLER_GONE)

    text, _, offsets, failure = run(exchange, Cancelling(), ScriptedStream((finished(1),)))
    assert (text, offsets) == ("a", [0])
    assert failure.code is codes.ResultCode.CALLER_GONE
