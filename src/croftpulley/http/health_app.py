"""The application that every daemon has: health, metrics and status."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from croftpulley import codes, errors
from croftpulley.http import wsgi
from croftpulley.observe import metrics

_PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8"


class HealthApp:
    """``/healthz``, ``/readyz``, ``/metrics`` and ``/v1/status``, which every daemon has."""

    def __init__(
        self,
        counters: metrics.Metrics,
        not_ready: Callable[[], str],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self._counters = counters
        self._not_ready = not_ready
        self._status = status

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Answer one request."""
        wsgi.require_method(request, "GET")
        match request.path:
            case "/healthz":
                return wsgi.json_response({"alive": True})
            case "/readyz":
                reason = self._not_ready()
                return wsgi.json_response(
                    {"ready": not reason, "reason": reason}, 503 if reason else 200
                )
            case "/metrics":
                return wsgi.Response(200, _PROMETHEUS_TEXT, self._counters.render())
            case "/v1/status":
                return wsgi.json_response(self._status())
        raise errors.CroftpulleyError(codes.ResultCode.NOT_FOUND, f"got path {request.path!r}")
