"""A waitress server set up for streams, with error bodies that carry result codes."""

from __future__ import annotations

import threading
from typing import Any

import waitress.channel
import waitress.server
import waitress.task

from croftpulley import codes, errors
from croftpulley.http import wsgi
from croftpulley.settings import schema

_CODES_BY_STATUS = {
    413: codes.ResultCode.BODY_TOO_LARGE,
    431: codes.ResultCode.HEADER_TOO_LARGE,
}
_SHUTDOWN_TIMEOUT_S = 0.5


class _CodedErrorTask(waitress.task.ErrorTask):
    """Answers what waitress itself refuses, with a result code."""

    def execute(self) -> None:
        refused: Any = self.request.error  # type: ignore[attr-defined]
        fallback = (
            codes.ResultCode.INTERNAL if refused.code >= 500 else codes.ResultCode.BAD_REQUEST
        )
        code = _CODES_BY_STATUS.get(refused.code, fallback)
        response = wsgi.error_response(errors.CroftpulleyError(code, str(refused.body)))
        body = response.body if isinstance(response.body, bytes) else b""
        self.status = f"{refused.code} {refused.reason}"
        self.response_headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            *response.headers,
        ]
        self.close_on_finish = True
        self.content_length = len(body)
        self.write(body)


class _CodedChannel(waitress.channel.HTTPChannel):
    """A connection that uses our error task."""

    error_task_class = _CodedErrorTask


class HttpServer:
    """One listening address with its own threads."""

    def __init__(
        self,
        application: wsgi.Application,
        address: str,
        threads: int,
        limits: schema.HttpLimits,
        body_factor: int = 1,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._map: dict[int, Any] = {}
        create_server: Any = waitress.server.create_server
        self._server = create_server(
            application,
            host=host,
            port=int(port),
            threads=threads,
            map=self._map,
            ident="croftpulley",
            connection_limit=limits.connections,
            channel_timeout=limits.idle_connection_s,
            cleanup_interval=max(1, limits.idle_connection_s // 4),
            max_request_body_size=limits.body_size_bytes * body_factor,
            max_request_header_size=limits.header_size_bytes,
            # Lets waitress notice a caller that goes away while its request runs.
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = _CodedChannel
        self.address = f"{host}:{self._server.effective_port}"
        self._thread = threading.Thread(target=self._server.run, name="http", daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and end the threads; a planned stop has waited for replies before."""
        self._server.close()
        self._server.task_dispatcher.shutdown(timeout=_SHUTDOWN_TIMEOUT_S)
