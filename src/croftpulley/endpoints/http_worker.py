"""The HTTP protocol of a plain service's workers: ``POST /call/{service}/{call}``."""

from __future__ import annotations

import urllib.parse

from croftpulley import cancel
from croftpulley.core import attempts
from croftpulley.endpoints import base, connection

_MAX_ANSWER_BYTES = 16 * 1024 * 1024


class HttpWorkerClient(base.WorkerClient):
    """A client for workers over HTTP."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s

    def call(
        self,
        address: str,
        call: base.WorkerCall,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
        timeout_s: float,
    ) -> base.WorkerAnswer:
        """Send a call and return the complete response."""
        headers = {"X-Request-Id": call.request_id}
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        path = "/call/" + "/".join(
            urllib.parse.quote(part, safe="") for part in (call.service, call.call)
        )
        request = connection.HttpRequest("POST", path, call.body, call.content_type, headers)
        target = connection.Target(address, self._connect_timeout_s, timeout_s)
        response, body = connection.send_and_read(
            target,
            request,
            connection.WORKER_FAILURES,
            attempt,
            token,
            max_body_bytes=_MAX_ANSWER_BYTES,
        )
        attempt.enter(attempts.Phase.DONE)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return base.WorkerAnswer(response.status, content_type, body)
