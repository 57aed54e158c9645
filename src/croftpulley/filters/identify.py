"""Identifies a request: its workspace, its class, and its chat or service."""

from __future__ import annotations

from typing import Any

import orjson

from croftpulley import codes, errors
from croftpulley.core import rendezvous
from croftpulley.filters import base
from croftpulley.settings import fleet

MAX_NAME_LENGTH = 256
"""Limits the characters of a workspace, chat id, class or idempotency key."""


class Identify(base.Filter):
    """Fills in the exchange's workspace, class, and chat or service."""

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Identify the request.

        Raises `errors.CroftpulleyError` for an unknown name or a malformed header or body.
        """
        exchange.workspace = _workspace(exchange)
        exchange.request_class = _request_class(exchange)
        if exchange.request.service_call is not None:
            exchange.service = _service(exchange, exchange.request.service_call)
        else:
            exchange.chat = _chat(exchange, exchange.workspace)
        return proceed(exchange)


def _workspace(exchange: base.Exchange) -> fleet.Workspace:
    name = _name_header(exchange, "x-workspace")
    workspace = exchange.configuration.workspace(name)
    if workspace is None:
        raise errors.CroftpulleyError(
            codes.ResultCode.UNKNOWN_WORKSPACE,
            f"got X-Workspace {name!r}, which is not configured",
        )
    return workspace


def _request_class(exchange: base.Exchange) -> fleet.RequestClass:
    name = _name_header(exchange, "x-class")
    request_class = exchange.configuration.request_class(name)
    if request_class is None:
        allowed = ", ".join(each.name for each in exchange.configuration.classes)
        raise _bad_request(f"got X-Class {name!r}, allowed are {allowed}")
    return request_class


def _service(exchange: base.Exchange, call: base.ServiceCall) -> fleet.Service:
    service = exchange.configuration.service(call.service)
    if service is None:
        raise errors.CroftpulleyError(
            codes.ResultCode.UNKNOWN_SERVICE, f"got service {call.service!r}"
        )
    return service


def _chat(exchange: base.Exchange, workspace: fleet.Workspace) -> base.ChatCall:
    body = _parse(exchange.request.body)
    name = body.get("model")
    messages = body.get("messages")
    if not isinstance(name, str):
        raise _bad_request(f'got "model": {name!r}, expected a string')
    if not isinstance(messages, list) or not messages:
        raise _bad_request('"messages" must be a list with at least one message')
    model = exchange.configuration.model(name)
    if model is None:
        raise errors.CroftpulleyError(codes.ResultCode.UNKNOWN_MODEL, f"got model {name!r}")
    stream_options = body.get("stream_options")
    usage = stream_options.get("include_usage") if isinstance(stream_options, dict) else False
    return base.ChatCall(
        model=name,
        pool=model.pool,
        stream=_boolean_field(body, "stream"),
        include_usage=usage is True,
        chat_key=rendezvous.chat_key(
            workspace.name, name, _name_header(exchange, "x-chat"), messages
        ),
    )


def _parse(data: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as failure:
        raise _bad_request(f"the body is not JSON: {failure}") from failure
    if not isinstance(body, dict):
        raise _bad_request("the body must be a JSON object")
    return body


def _boolean_field(body: dict[str, Any], name: str) -> bool:
    value = body.get(name)
    if value is not None and not isinstance(value, bool):
        raise _bad_request(f'got "{name}": {value!r}, expected true or false')
    return bool(value)


def _name_header(exchange: base.Exchange, header: str) -> str:
    value = exchange.request.header(header)
    if len(value) > MAX_NAME_LENGTH or not value.isprintable():
        raise _bad_request(f"{header} must be at most {MAX_NAME_LENGTH} printable characters")
    return value


def _bad_request(detail: str) -> errors.CroftpulleyError:
    return errors.CroftpulleyError(codes.ResultCode.BAD_REQUEST, detail)
