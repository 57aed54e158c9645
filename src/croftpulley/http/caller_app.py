"""The application for callers: which box to ask, chat completions, and calls to services."""

from __future__ import annotations

import logging
import urllib.parse
from collections.abc import Callable
from typing import TypeVar

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, state
from croftpulley.core import rendezvous
from croftpulley.filters import base
from croftpulley.http import completions, wsgi
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
T = TypeVar("T")
_SERVICES_PREFIX = "/v1/services/"


class CallerApp:
    """Routes callers' requests to the chains and shapes the replies."""

    def __init__(
        self,
        view: actors.View[state.FleetState],
        chat_chain: base.Proceed,
        service_chain: base.Proceed,
        entry_ttl_s: float,
        clock: clocks.Clock,
        new_id: Callable[[], str],
    ) -> None:
        self._view = view
        self._chat_chain = chat_chain
        self._service_chain = service_chain
        self._entry_ttl_s = entry_ttl_s
        self._clock = clock
        self._new_id = new_id

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Answer one request; raises `errors.CroftpulleyError`."""
        if request.path == "/v1/entry":
            wsgi.require_method(request, "GET")
            return self._entry(request)
        if request.path == "/v1/chat/completions":
            wsgi.require_method(request, "POST")
            return self._chat(request)
        if request.path == "/v1/models":
            wsgi.require_method(request, "GET")
            return self._models()
        if request.path.startswith(_SERVICES_PREFIX):
            wsgi.require_method(request, "POST")
            return self._service(request)
        raise errors.CroftpulleyError(codes.ResultCode.NOT_FOUND, f"got path {request.path!r}")

    def _entry(self, request: wsgi.Request) -> wsgi.Response:
        """Name the boxes to use, preferred first."""
        query = dict(urllib.parse.parse_qsl(request.query))
        known = self._view.get()
        models = known.configuration.models
        name = query.get("model") or (models[0].name if models else "")
        model = known.configuration.model(name)
        workspace = query.get("workspace", "")
        key = rendezvous.chat_key(workspace, name, query.get("chat", ""), [])
        boxes = rendezvous.entry_boxes(key, model.pool if model else None, known.directory)
        if not boxes:
            raise errors.CroftpulleyError(codes.ResultCode.NO_LEASE, "no entry box is in service")
        entries = [{"address": box.caller_address, "hall": box.hall} for box in boxes]
        return wsgi.json_response({"entries": entries, "ttl_s": self._entry_ttl_s})

    def _models(self) -> wsgi.Response:
        models = self._view.get().configuration.models
        data = [{"id": each.name, "object": "model", "owned_by": "croftpulley"} for each in models]
        return wsgi.json_response({"object": "list", "data": data})

    def _chat(self, request: wsgi.Request) -> wsgi.Response:
        exchange = self._exchange(request, None)
        reply = self._run(self._chat_chain, exchange)
        if not isinstance(reply, base.StreamedReply) or exchange.chat is None:
            raise RuntimeError(f"the chat chain gave {type(reply).__name__}")
        shape = completions.Shape(
            answer_id=f"chatcmpl-{exchange.request.request_id}",
            created_s=int(self._clock.wall_s()),
            model=exchange.chat.model,
            include_usage=exchange.chat.include_usage,
        )
        headers = (("X-Request-Id", exchange.request.request_id),)
        if exchange.chat.stream:
            body = completions.stream(reply.parts, shape, exchange)
            close = exchange.at_end.close
            return wsgi.Response(200, wsgi.EVENT_STREAM, body, headers, close)
        whole = self._finish(exchange, lambda: completions.whole(reply.parts, shape))
        return wsgi.Response(200, wsgi.JSON, whole, headers)

    def _service(self, request: wsgi.Request) -> wsgi.Response:
        service, _, call = request.path.removeprefix(_SERVICES_PREFIX).partition("/")
        if not service or not call or "/" in call:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_FOUND,
                f"got {request.path!r}, expected {_SERVICES_PREFIX}{{service}}/{{call}}",
            )
        exchange = self._exchange(request, base.ServiceCall(service=service, call=call))
        reply = self._finish(exchange, lambda: self._run(self._service_chain, exchange))
        if not isinstance(reply, base.CompleteReply):
            raise RuntimeError(f"the service chain gave {type(reply).__name__}")
        headers = (
            ("X-Request-Id", exchange.request.request_id),
            ("X-Run-State", codes.RunState.RAN.label),
        )
        return wsgi.Response(reply.http_status, reply.content_type, reply.body, headers)

    def _exchange(
        self, request: wsgi.Request, service_call: base.ServiceCall | None
    ) -> base.Exchange:
        known = self._view.get()
        caller_request = base.CallerRequest(
            request_id=self._new_id(),
            headers=request.headers,
            content_type=request.environ.get("CONTENT_TYPE") or wsgi.JSON,
            body=request.body,
            arrived_s=self._clock.monotonic_s(),
            service_call=service_call,
            caller_gone=request.environ.get("waitress.client_disconnected", lambda: False),
        )
        return base.Exchange(
            request=caller_request,
            configuration=known.configuration,
            directory=known.directory,
        )

    def _run(self, chain: base.Proceed, exchange: base.Exchange) -> base.Reply:
        """Run a chain; whatever ends it early also ends the exchange."""
        try:
            return chain(exchange)
        except errors.CroftpulleyError as failure:
            exchange.at_end.close()
            failure.run_state = max(failure.run_state, exchange.attempts.run_state)
            _log_refusal(exchange, failure)
            raise
        except BaseException:
            exchange.at_end.close()
            raise

    def _finish(self, exchange: base.Exchange, make: Callable[[], T]) -> T:
        """Make a whole reply and end the exchange."""
        try:
            return make()
        except errors.CroftpulleyError as failure:
            failure.run_state = max(failure.run_state, exchange.attempts.run_state)
            raise
        finally:
            exchange.at_end.close()


def _log_refusal(exchange: base.Exchange, failure: errors.CroftpulleyError) -> None:
    events.emit(
        _LOG,
        events.Event.REQUEST_REFUSED,
        request_id=exchange.request.request_id,
        workspace=exchange.workspace_name,
        code=failure.code.name,
        run_state=failure.run_state.label,
        problem=failure.detail,
    )
