"""The end of the chain for plain services: calls a worker."""

from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.core import attempts
from croftpulley.endpoints import base as endpoints
from croftpulley.filters import base

_GRACE_S = 1.0
"""The deadline's own watch must end the call, so that its result code says so."""


class CallWorker(base.Filter):
    """Tries the workers in order; goes on to the next only where that cannot run a call twice."""

    def __init__(self, client: endpoints.WorkerClient, clock: clocks.Clock) -> None:
        self._client = client
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Call a worker; raises when none answered."""
        call = _worker_call(exchange)
        failure = errors.CroftpulleyError(codes.ResultCode.WORKER_UNREACHABLE)
        for worker in exchange.candidates:
            attempt = exchange.attempts.begin(worker.name)
            remaining_s = exchange.deadline_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                raise errors.CroftpulleyError(codes.ResultCode.DEADLINE_PASSED)
            try:
                answer = self._client.call(
                    worker.address, call, attempt, exchange.token, remaining_s + _GRACE_S
                )
            except errors.CroftpulleyError as raised:
                failure = raised
                if exchange.token.reason is not None or not _may_try_again(call, attempt):
                    break
                continue
            return base.WholeReply(answer.http_status, answer.content_type, answer.body)
        raise failure


def _may_try_again(call: endpoints.WorkerCall, attempt: attempts.Attempt) -> bool:
    return attempt.run_state is codes.RunState.NOT_RUN or not call.idempotency_key


def _worker_call(exchange: base.Exchange) -> endpoints.WorkerCall:
    call = exchange.request.service_call
    if call is None:
        raise RuntimeError("a chat came to the end of the services' chain")
    return endpoints.WorkerCall(
        request_id=exchange.request.request_id,
        service=call.service,
        call=call.call,
        content_type=exchange.request.content_type,
        body=exchange.request.body,
        idempotency_key=exchange.request.header("idempotency-key"),
    )
