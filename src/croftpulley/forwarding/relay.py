"""The last step: attempts at endpoints until one answer is the caller's.

What may be done after a failure depends on whether the endpoint can have run the request
(`attempts.Attempt`) and on whether it may run again (`fleet.Route.may_repeat`), never on which
exception was caught.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator

import attrs

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import traffic
from croftpulley.core import attempts, event_cut, membership, tables, verdicts
from croftpulley.forwarding import base, headers, place, sender, vocabulary
from croftpulley.observe import events
from croftpulley.settings import fleet

_LOG = logging.getLogger(__name__)
MOST_SENDS = 4
"""How many endpoints a request is sent to at most, those that declined it counted too."""
WHOLE_ANSWER_BYTES = 16 * 1024 * 1024
"""The largest answer that is read to its end before the caller gets its first byte."""
LEAST_BUDGET_S = 0.02
"""With less time left than this no endpoint can answer; it is not asked."""


@attrs.define
class _Try:
    """One attempt under way: counted at its endpoint until it is closed."""

    endpoint: membership.Endpoint
    attempt: attempts.Attempt
    answer: sender.Answer
    counts: traffic.Traffic
    reading_tokens: int = 0
    closed: bool = False

    def prompt_is_read(self) -> None:
        """Note that the first event came: the prompt holds nobody up any more."""
        tokens, self.reading_tokens = self.reading_tokens, 0
        if tokens:
            self.counts.end_reading(self.endpoint.name, tokens)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.answer.close()
            self.prompt_is_read()
            self.counts.leave(self.endpoint.name)


class Relay(base.ForwardFilter):
    """Sends the request and returns the answer; a stream goes on elsewhere where it may."""

    def __init__(
        self,
        placement: place.Placement,
        way: sender.Sender,
        counts: traffic.Traffic,
        names: vocabulary.Vocabulary,
        clock: clocks.Clock,
    ) -> None:
        self._placement = placement
        self._sender = way
        self._counts = counts
        self._names = names
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Return the endpoint's answer; raises `errors.CroftpulleyError` if there is none."""
        self._counts.request(self._pool(exchange))
        tried: set[str] = set()
        while True:
            current = self._begin(exchange, tried)
            try:
                reply = self._reply(exchange, current, tried)
            except errors.CroftpulleyError as failure:
                current.close()
                self._broke(exchange, current, failure)
                self._go_on_or_raise(exchange, failure)
                continue
            except BaseException:
                current.close()
                raise
            return reply

    def _pool(self, exchange: base.Exchange) -> str:
        return tables.pool_for(exchange.known_route, exchange.facts.request_id)

    # --- one attempt --------------------------------------------------------------------------

    def _begin(self, exchange: base.Exchange, tried: set[str], resume_after: str = "") -> _Try:
        """Send to endpoints until one has begun an answer that is not a refusal to run.

        With ``resume_after``, the id of the last event that was passed on, only a success will do:
        the head of the answer went out with the first endpoint's.
        """
        last_event_id = resume_after or exchange.facts.last_event_id
        while True:
            try:
                placed = self._placement.choose(exchange, tried)
            except errors.CroftpulleyError as failure:
                raise _final(exchange, failure) from failure
            endpoint = placed.endpoint
            tried.add(endpoint.name)
            try:
                current = self._send(exchange, placed, last_event_id)
            except errors.CroftpulleyError as failure:
                self._counts.failed(endpoint.name)
                _log_failure(exchange, endpoint, failure)
                self._go_on_or_raise(exchange, failure)
                continue
            verdict = self._judge(exchange, current.answer)
            if verdict is verdicts.Verdict.FAILED:
                self._counts.erred(endpoint.name)
            if verdict is verdicts.Verdict.PASS_ON and (
                not resume_after or current.answer.is_success
            ):
                return current
            refusal = self._refusal(current, verdict)
            goes_on = self._may_go_on(exchange, refusal)
            if verdict is verdicts.Verdict.FAILED and not goes_on and not resume_after:
                return current
            current.close()
            _log_failure(exchange, endpoint, refusal)
            if not goes_on:
                raise _final(exchange, refusal)
            _log_repeat(exchange, refusal)

    def _send(self, exchange: base.Exchange, placed: place.Placed, last_event_id: str) -> _Try:
        endpoint = placed.endpoint
        budget_s = exchange.deadline_s - self._clock.monotonic_s()
        if budget_s < LEAST_BUDGET_S:
            raise _final(exchange, errors.CroftpulleyError(codes.ResultCode.DEADLINE_PASSED))
        attempt = exchange.attempts.begin(endpoint.name)
        outgoing = headers.Outgoing(
            endpoint=endpoint,
            budget_s=budget_s,
            last_event_id=last_event_id,
            cache_from=placed.cache_from,
        )
        order = sender.Order(
            endpoint=endpoint,
            method=exchange.request.method,
            target=exchange.request.target,
            headers=headers.to_endpoint(exchange, outgoing, self._names),
            body=exchange.request.body,
        )
        self._counts.enter(endpoint.name)
        self._counts.begin_reading(exchange.facts, endpoint.name, placed.reading_tokens)
        try:
            answer = self._sender.send(order, attempt, exchange.token)
        except BaseException:
            self._counts.end_reading(endpoint.name, placed.reading_tokens)
            self._counts.leave(endpoint.name)
            raise
        return _Try(endpoint, attempt, answer, self._counts, placed.reading_tokens)

    def _judge(self, exchange: base.Exchange, answer: sender.Answer) -> verdicts.Verdict:
        names = self._names
        return verdicts.judge(
            verdicts.AnswerFacts(
                status=answer.status,
                declined=bool(answer.header(names.not_run)),
                has_proof=bool(answer.header(names.proof)),
                id_matches=answer.header(names.request_id) == exchange.facts.request_id,
            )
        )

    def _refusal(self, current: _Try, verdict: verdicts.Verdict) -> errors.CroftpulleyError:
        """Note what an answer that is no success says of its endpoint; return it as an error."""
        status = current.answer.status
        where = f"{current.endpoint.address}: status {status}"
        if verdict is verdicts.Verdict.NOT_RUN:
            # The head says so, whatever the body would say: the attempt has no more to tell.
            current.attempt.phase = attempts.Phase.REFUSED
            if status == verdicts.MISDIRECTED:
                self._counts.gone(current.endpoint.name)
            return errors.CroftpulleyError(codes.ResultCode.DECLINED, where)
        code = codes.ResultCode.ENGINE_REFUSED
        if verdict is verdicts.Verdict.MISLEADING:
            self._counts.failed(current.endpoint.name)
            code = codes.ResultCode.ANSWER_CORRUPT
        return errors.CroftpulleyError(code, where, run_state=codes.RunState.RAN)

    # --- after a failure ----------------------------------------------------------------------

    def _may_go_on(self, exchange: base.Exchange, failure: errors.CroftpulleyError) -> bool:
        """Tell whether another endpoint may be asked; takes one repeat from the budget if so."""
        if exchange.token.reason is not None:
            return False
        log = exchange.attempts.attempts
        ran = sum(each.run_state is not codes.RunState.NOT_RUN for each in log)
        if len(log) >= MOST_SENDS or ran >= exchange.known_route.attempts:
            return False
        if failure.run_state is not codes.RunState.NOT_RUN and not exchange.known_route.may_repeat:
            return False
        if self._clock.monotonic_s() + LEAST_BUDGET_S >= exchange.deadline_s:
            return False
        if log and log[-1].phase is attempts.Phase.UNSENT:
            return True
        return self._counts.may_repeat(self._pool(exchange), len(exchange.state.boxes))

    def _go_on_or_raise(self, exchange: base.Exchange, failure: errors.CroftpulleyError) -> None:
        if not self._may_go_on(exchange, failure):
            raise _final(exchange, failure) from failure
        _log_repeat(exchange, failure)

    def _broke(
        self, exchange: base.Exchange, current: _Try, failure: errors.CroftpulleyError
    ) -> None:
        """Note that an answer broke off, unless we ended it ourselves."""
        if exchange.token.reason is None:
            self._counts.failed(current.endpoint.name)
        _log_failure(exchange, current.endpoint, failure)

    # --- answers ------------------------------------------------------------------------------

    def _reply(self, exchange: base.Exchange, current: _Try, tried: set[str]) -> base.ForwardReply:
        answer = current.answer
        passed_on = headers.to_caller(answer.headers)
        is_stream = exchange.known_route.kind is fleet.RouteKind.STREAM
        if not is_stream or not answer.is_success:
            body = sender.read_whole(answer, WHOLE_ANSWER_BYTES)
            current.close()
            if answer.status < verdicts.FIRST_SERVER_ERROR:
                self._counts.answered(current.endpoint.name)
            return base.ForwardReply(answer.status, passed_on, body)
        events_left = self._events(exchange, current, tried)
        exchange.at_end.callback(events_left.close)  # type: ignore[attr-defined]
        # The first event must be there before the head goes out: until then another endpoint may
        # be asked where the route allows it.
        first = next(events_left, b"")
        return base.ForwardReply(answer.status, passed_on, _chain(first, events_left))

    def _events(self, exchange: base.Exchange, current: _Try, tried: set[str]) -> Iterator[bytes]:
        """Yield whole events; where the route allows it, go on at another endpoint."""
        cutter = event_cut.EventCutter()
        cutter.last_id = exchange.facts.last_event_id
        begun = False
        try:
            while True:
                try:
                    for chunk in current.answer.chunks():
                        whole = cutter.feed(chunk)
                        if whole:
                            begun = True
                            current.prompt_is_read()
                            yield whole
                    _check_end(cutter, current)
                    self._counts.answered(current.endpoint.name)
                    return
                except errors.CroftpulleyError as failure:
                    if not begun:
                        raise
                    current.close()
                    self._broke(exchange, current, failure)
                    if not cutter.last_id:
                        # Events without ids: nothing says where to go on.
                        raise
                    self._go_on_or_raise(exchange, failure)
                cutter.drop_partial()
                current = self._begin(exchange, tried, cutter.last_id)
                events.emit(
                    _LOG,
                    events.Event.ANSWER_RESUMED,
                    request_id=exchange.facts.request_id,
                    endpoint=current.endpoint.name,
                    after_event=cutter.last_id,
                )
        finally:
            current.close()


def _check_end(cutter: event_cut.EventCutter, current: _Try) -> None:
    if not cutter.is_between_events:
        raise errors.CroftpulleyError(
            codes.ResultCode.WORKER_BROKE,
            f"{current.endpoint.address}: the stream ended within an event",
            run_state=codes.RunState.RAN,
        )


def _chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    yield from rest


def _final(exchange: base.Exchange, failure: errors.CroftpulleyError) -> errors.CroftpulleyError:
    """Make what the caller is told: of all attempts, and 503 only if none can have run.

    ``failure`` may be of a kind that is told otherwise than by what is known of all attempts.
    """
    run_state = exchange.attempts.run_state
    code = failure.code
    if exchange.token.reason is not None:
        code = exchange.token.reason
    elif run_state is codes.RunState.NOT_RUN and code in _NOT_SERVED:
        code = codes.ResultCode.DECLINED
    elif run_state is not codes.RunState.NOT_RUN and codes.INFO[code].http_status == _UNAVAILABLE:
        code = codes.ResultCode.WORKER_BROKE
    retry_after_s = failure.retry_after_s if code is failure.code else None
    return errors.CroftpulleyError(
        code, failure.detail, run_state=run_state, retry_after_s=retry_after_s
    )


_UNAVAILABLE = 503
_NOT_SERVED = (codes.ResultCode.WORKER_UNREACHABLE, codes.ResultCode.WORKER_BROKE)


def _log_repeat(exchange: base.Exchange, failure: errors.CroftpulleyError) -> None:
    events.emit(
        _LOG,
        events.Event.REQUEST_REPEATED,
        level=logging.WARNING,
        request_id=exchange.facts.request_id,
        attempts=len(exchange.attempts.attempts),
        code=failure.code.name,
        run_state=failure.run_state.label,
    )


def _log_failure(
    exchange: base.Exchange, endpoint: membership.Endpoint, failure: errors.CroftpulleyError
) -> None:
    events.emit(
        _LOG,
        events.Event.ENGINE_ATTEMPT_FAILED,
        level=logging.WARNING,
        request_id=exchange.facts.request_id,
        engine=endpoint.name,
        address=endpoint.address,
        code=failure.code.name,
        run_state=failure.run_state.label,
        problem=failure.detail,
    )
