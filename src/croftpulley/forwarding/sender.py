"""Sends one attempt to one endpoint and reads its response."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterator

import attrs

from croftpulley import cancel, codes, errors
from croftpulley.core import attempts, membership, verdicts
from croftpulley.endpoints import connection, dialing
from croftpulley.forwarding import base

_READ_SIZE_BYTES = 65_536
MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024
"""The largest response that is read completely before the caller gets its first byte."""


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """One attempt as it is sent.

    With an ``arrival_limit_s`` the connection is closed if the endpoint does not receive the
    request within that time. ``on_leaving`` is called just before the first byte is sent and again
    after the last one.
    """

    endpoint: membership.Endpoint
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrival_limit_s: float | None = None
    on_leaving: Callable[[], None] = connection.no_op


class Response(abc.ABC):
    """A response whose head has been read."""

    status: int
    headers: base.Headers

    @property
    def is_success(self) -> bool:
        """Tell whether the status means that the request was carried out."""
        return self.status in verdicts.SUCCESS_STATUSES

    def header(self, name: str) -> str:
        """Return a header's first value, empty if it is absent; ``name`` is in lower case."""
        return next((value for each, value in self.headers if each.lower() == name), "")

    def values(self, name: str) -> list[str]:
        """Return all of a header's values, with duplicates; ``name`` is in lower case."""
        return [value for each, value in self.headers if each.lower() == name]

    @abc.abstractmethod
    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raises `errors.CroftpulleyError` if it breaks off."""

    @abc.abstractmethod
    def close(self) -> None:
        """Free the connection and discard unread data; a second call does nothing."""


class Sender(abc.ABC):
    """Sends attempts from this box to endpoints."""

    @abc.abstractmethod
    def send(
        self, request: OutgoingRequest, attempt: attempts.Attempt, token: cancel.CancelToken
    ) -> Response:
        """Send an attempt and return its response once the head is there.

        Updates the phase of ``attempt``. Raises `errors.CroftpulleyError`.
        """


class DirectSender(Sender):
    """Sends each attempt over a new connection to the endpoint."""

    def __init__(
        self,
        connect_timeout_s: float,
        silence_timeout_s: float,
        dialer_for: Callable[[membership.Endpoint], dialing.Dialer] = lambda _endpoint: (
            dialing.DIRECT
        ),
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._silence_timeout_s = silence_timeout_s
        self._dialer_for = dialer_for

    def send(
        self, request: OutgoingRequest, attempt: attempts.Attempt, token: cancel.CancelToken
    ) -> Response:
        """Send an attempt and return its response; see `Sender.send`."""
        target = connection.Target(
            request.endpoint.address,
            self._connect_timeout_s,
            self._silence_timeout_s,
            request.arrival_limit_s,
        )
        exchange = connection.Exchange(
            target, attempt, token, connection.WORKER_FAILURES, self._dialer_for(request.endpoint)
        )
        http_request = connection.HttpRequest(
            request.method,
            request.target,
            request.body or None,
            None,
            request.headers,
            on_send=request.on_leaving,
        )
        return send_request(exchange, http_request, attempt)


def send_request(
    exchange: connection.Exchange, request: connection.HttpRequest, attempt: attempts.Attempt
) -> Response:
    """Send a request and return its response once the head is there.

    Raises `errors.CroftpulleyError`.
    """
    try:
        response = exchange.begin(request)
    except BaseException:
        exchange.close()
        raise
    return _DirectResponse(exchange, attempt, response.status, tuple(response.headers.items()))


class _DirectResponse(Response):
    def __init__(
        self,
        exchange: connection.Exchange,
        attempt: attempts.Attempt,
        status: int,
        headers: base.Headers,
    ) -> None:
        self.status = status
        self.headers = headers
        self._exchange = exchange
        self._attempt = attempt

    def chunks(self) -> Iterator[bytes]:
        while data := self._exchange.read(_READ_SIZE_BYTES):
            yield data
        if self._attempt.phase is attempts.Phase.ANSWERING:
            self._attempt.enter(attempts.Phase.DONE)

    def close(self) -> None:
        self._exchange.close()


def read_body(response: Response, size_limit_bytes: int) -> bytes:
    """Return a response's body; raises `errors.CroftpulleyError` if it breaks off or is larger."""
    parts = []
    size_bytes = 0
    for chunk in response.chunks():
        size_bytes += len(chunk)
        if size_bytes > size_limit_bytes:
            raise errors.CroftpulleyError(
                codes.ResultCode.ANSWER_CORRUPT,
                f"the answer is larger than {size_limit_bytes} bytes",
                run_state=codes.RunState.RAN,
            )
        parts.append(chunk)
    return b"".join(parts)
