"""The HTTP protocol of engines: an event stream whose chunks carry offsets.

``POST /v1/generate`` with the body of `request_body` answers with server-sent events, each a JSON
object: ``{"offset": 0, "text": "…"}`` for text and ``{"end": {…}}`` at the end.
``POST /v1/cancel`` stops an attempt; ``GET /v1/load`` returns the load report. Status 503 means
that nothing ran; with ``Retry-After`` the engine asks this box to send it no requests for so many
seconds. ``X-Leaving: 1`` in any response announces that the engine shuts down.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import orjson
import urllib3

from croftpulley import cancel, codes, errors
from croftpulley.core import attempts, withdrawal
from croftpulley.endpoints import base, connection, event_stream
from croftpulley.transport import messages

_NOT_RUN_STATUS = 503
"""The status with which an engine rejects a request without having run it."""


def request_body(order: messages.DispatchOrder) -> bytes:
    """Return the body of a generate request."""
    return orjson.dumps(
        {
            "request_id": order.request_id,
            "attempt": order.attempt,
            "epoch": order.epoch,
            "workspace": order.workspace,
            "priority": order.priority,
            "chat_key": order.chat_key,
            "resume_offset_chars": order.resume_offset_chars,
            "prefix_text": order.prefix_text,
            "request": orjson.Fragment(order.body_json),
        }
    )


class HttpEngineStream(base.EngineStream):
    """An engine's event stream over HTTP."""

    def __init__(
        self,
        exchange: connection.Exchange,
        attempt: attempts.Attempt,
        notice: withdrawal.Notice,
    ) -> None:
        self.notice = notice
        self._exchange = exchange
        self._attempt = attempt
        self._reader = event_stream.EventReader(exchange, event_stream.parse_stream_event)

    def batches(self) -> Iterator[base.EventBatch]:
        """Yield the events of each read."""
        for batch in self._reader.batches():
            if isinstance(batch[-1], messages.Finished):
                self._attempt.enter(attempts.Phase.DONE)
                yield batch
                return
            yield batch
        raise self._exchange.error_for(EOFError("the stream ended before its end event"))

    def shutdown(self) -> None:
        """End `batches` from another thread."""
        self._exchange.shutdown()

    def close(self) -> None:
        """Close the connection."""
        self._exchange.close()


class HttpEngineClient(base.EngineClient):
    """A client for engines over HTTP."""

    def __init__(self, connect_timeout_s: float, silence_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._silence_timeout_s = silence_timeout_s

    def start(
        self,
        address: str,
        order: messages.DispatchOrder,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
    ) -> HttpEngineStream:
        """Send the request and return the response stream once the headers have arrived."""
        exchange = connection.Exchange(
            self._target(address), attempt, token, connection.ENGINE_FAILURES
        )
        try:
            request = connection.HttpRequest("POST", "/v1/generate", request_body(order))
            response = exchange.begin(request, attempts.Phase.SENT)
            notice = _notice(response)
            if response.status != 200:
                raise _refusal(address, response.status, notice, attempt)
            attempt.enter(attempts.Phase.ANSWERING)
        except BaseException:
            exchange.close()
            raise
        return HttpEngineStream(exchange, attempt, notice)

    def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Tell the engine to stop an attempt."""
        body = orjson.dumps({"request_id": request_id, "attempt": attempt})
        request = connection.HttpRequest("POST", "/v1/cancel", body)
        connection.send_and_read(self._target(address), request, connection.ENGINE_FAILURES)

    def load(self, address: str) -> base.LoadReport:
        """Fetch the engine's load report."""
        request = connection.HttpRequest("GET", "/v1/load")
        _, body = connection.send_and_read(
            self._target(address), request, connection.ENGINE_FAILURES
        )
        try:
            fields = orjson.loads(body)
            return base.LoadReport(
                event_stream.parse_count(fields["running"]),
                event_stream.parse_count(fields["slots"]),
            )
        except (ValueError, KeyError, TypeError) as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.ENGINE_BROKE, f"{address}: malformed load report: {failure}"
            ) from failure

    def _target(self, address: str) -> connection.Target:
        return connection.Target(address, self._connect_timeout_s, self._silence_timeout_s)


def _notice(response: urllib3.HTTPResponse) -> withdrawal.Notice:
    """Return what the response headers announce about the engine."""
    headers = response.headers
    return withdrawal.parse_notice(
        response.status,
        headers.getlist("Retry-After"),
        headers.getlist("X-Leaving"),
        headers.get("Date", ""),
        time.time(),
    )


def _refusal(
    address: str, status: int, notice: withdrawal.Notice, attempt: attempts.Attempt
) -> base.EngineRefusalError:
    """Return the error for a response that is no stream; status 503 means that nothing ran."""
    if status == _NOT_RUN_STATUS:
        attempt.enter(attempts.Phase.REFUSED)
    refusal = base.EngineRefusalError(
        codes.ResultCode.ENGINE_REFUSED,
        f"{address}: the engine answered with status {status}",
        run_state=attempt.run_state,
    )
    refusal.notice = notice
    return refusal
