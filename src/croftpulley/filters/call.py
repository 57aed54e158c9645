"""The last filter for plain services: calls a worker."""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.core import attempts
from croftpulley.endpoints import base as endpoints
from croftpulley.filters import base

_TIMEOUT_MARGIN_S = 1.0
"""Added to the read timeout, so that the deadline's watch ends the call first and with its own
result code."""


class CallWorker(base.Filter):
    """Tries the workers in order until one answers, without running a call with a key twice.

    A call with an idempotency key is retried only if the failed attempt did not run it; a call
    without one is always retried.
    """

    def __init__(self, client: endpoints.WorkerClient, clock: clocks.Clock) -> None:
        self._client = client
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Return the response of the first worker that answers.

        Raises `errors.CroftpulleyError` when none does.
        """
        call = _worker_call(exchange)
        failure = errors.CroftpulleyError(codes.ResultCode.WORKER_UNREACHABLE)
        for worker in exchange.candidates:
            attempt = exchange.attempts.begin(worker.name)
            remaining_s = exchange.deadline_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                raise errors.CroftpulleyError(codes.ResultCode.DEADLINE_PASSED)
            try:
                answer = self._client.call(
                    worker.address, call, attempt, exchange.token, remaining_s + _TIMEOUT_MARGIN_S
                )
            except errors.CroftpulleyError as raised:
                failure = raised
                if exchange.token.reason is not None or not _may_retry(call, attempt):
                    break
                continue
            return base.CompleteReply(answer.http_status, answer.content_type, answer.body)
        raise failure


def _may_retry(call: endpoints.WorkerCall, attempt: attempts.Attempt) -> bool:
    return attempt.run_state is codes.RunState.NOT_RUN or not call.idempotency_key


def _worker_call(exchange: base.Exchange) -> endpoints.WorkerCall:
    call = exchange.request.service_call
    if call is None:
        raise RuntimeError("the service chain got a chat request")
    return endpoints.WorkerCall(
        request_id=exchange.request.request_id,
        service=call.service,
        call=call.call,
        content_type=exchange.request.content_type,
        body=exchange.request.body,
        idempotency_key=exchange.request.header("idempotency-key"),
    )
