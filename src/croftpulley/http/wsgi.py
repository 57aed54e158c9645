"""What the HTTP applications share: requests, responses and error bodies."""

from __future__ import annotations

import http
import io
import logging
import math
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any

import attrs
import orjson

from croftpulley import codes, errors
from croftpulley.observe import events

if TYPE_CHECKING:
    # Loaded at the start of each router otherwise, for a name in an annotation.
    from wsgiref import types as wsgi_types

_LOG = logging.getLogger(__name__)
JSON = "application/json"
EVENT_STREAM = "text/event-stream"
_HTTP_PREFIX = "HTTP_"
_REASONS = {499: "Client Closed Request"}


@attrs.frozen
class Request:
    """One HTTP request, read whole; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    environ: dict[str, Any]


@attrs.frozen
class Response:
    """One HTTP response; ``close`` runs when the body has been sent or the caller has gone.

    A ``content_type`` of ``None`` adds no header to ``headers``.
    """

    status: int
    content_type: str | None
    body: bytes | Iterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()
    close: Callable[[], None] = lambda: None


Handler = Callable[[Request], Response]


class Application:
    """A WSGI application over one handler, with limits that waitress does not have."""

    def __init__(self, handler: Handler, header_count_limit: int) -> None:
        self._handler = handler
        self._header_count_limit = header_count_limit

    def __call__(
        self, environ: dict[str, Any], start_response: wsgi_types.StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        try:
            response = self._handler(self._read(environ))
        except errors.CroftpulleyError as failure:
            response = error_response(failure)
        except Exception as failure:
            events.emit(_LOG, events.Event.INTERNAL_ERROR, level=logging.ERROR, failure=failure)
            response = error_response(
                errors.CroftpulleyError(codes.ResultCode.INTERNAL, run_state=codes.RunState.UNKNOWN)
            )
        headers = list(response.headers)
        if response.content_type is not None:
            headers.insert(0, ("Content-Type", response.content_type))
        whole = isinstance(response.body, bytes)
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(status_line(response.status), headers)
        body = iter([response.body]) if whole else response.body
        return _Body(body, response.close)  # type: ignore[arg-type]

    def _read(self, environ: dict[str, Any]) -> Request:
        headers = {
            name.removeprefix(_HTTP_PREFIX).replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith(_HTTP_PREFIX)
        }
        if len(headers) > self._header_count_limit:
            raise errors.CroftpulleyError(
                codes.ResultCode.TOO_MANY_HEADERS,
                f"got {len(headers)} headers, allowed are {self._header_count_limit}",
            )
        return Request(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ["QUERY_STRING"],
            headers=headers,
            body=_read_all(environ["wsgi.input"]),
            environ=environ,
        )


class _Body:
    """An iterable body whose close function runs exactly when the server closes it."""

    def __init__(self, chunks: Iterator[bytes], close: Callable[[], None]) -> None:
        self._chunks = chunks
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the body, as WSGI asks."""
        self._close()


def _read_all(stream: Any) -> bytes:
    """Read a body; of one that is in memory already these are the same bytes, not a copy."""
    body: bytes = stream.getvalue() if isinstance(stream, io.BytesIO) else stream.read()
    return body


def status_line(status: int) -> str:
    """Return a status with its reason phrase."""
    try:
        reason = _REASONS.get(status) or _phrase(status)
    except ValueError:
        reason = "Unknown"
    return f"{status} {reason}"


def _phrase(status: int) -> str:
    return http.HTTPStatus(status).phrase


def json_response(document: Any, status: int = 200) -> Response:
    """Make a response with a JSON body."""
    return Response(status, JSON, orjson.dumps(document))


def error_document(failure: errors.CroftpulleyError) -> dict[str, Any]:
    """Return the error body: the shape that chat-completions clients know, and our fields.

    ``code`` is the number of the result code, ``type`` its name, ``run_state`` whether an endpoint
    ran the request, ``retry_after_s`` when to come back (null: not with the same request).
    """
    return {
        "error": {
            "message": failure.detail,
            "type": failure.code.name.lower(),
            "param": None,
            "code": str(failure.code.value),
            "run_state": failure.run_state.label,
            "retry_after_s": failure.retry_after_s,
        }
    }


def error_response(failure: errors.CroftpulleyError, *, exact_wait: bool = False) -> Response:
    """Make the response for an error.

    Retry-After takes whole seconds (RFC 9110); with ``exact_wait`` it says what the body says,
    for callers that take fractions.
    """
    headers = [
        ("X-Result-Code", str(failure.code.value)),
        ("X-Run-State", failure.run_state.label),
    ]
    if failure.retry_after_s is not None:
        wait_s = failure.retry_after_s if exact_wait else math.ceil(failure.retry_after_s)
        headers.append(("Retry-After", f"{wait_s:g}"))
    status = codes.INFO[failure.code].http_status
    body = orjson.dumps(error_document(failure))
    return Response(status, JSON, body, tuple(headers))


def require_method(request: Request, method: str) -> None:
    """Raise METHOD_NOT_ALLOWED unless the request has this method."""
    if request.method != method:
        raise errors.CroftpulleyError(
            codes.ResultCode.METHOD_NOT_ALLOWED,
            f"got {request.method}, allowed is {method}",
        )
