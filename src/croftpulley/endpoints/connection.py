"""One HTTP exchange with an endpoint over its own connection, with the phase it has reached.

Each exchange opens a new connection: a persistent connection may be closed by the peer just as a
request is sent on it, and then it is unknown whether the request ran. The library's retries are
not used for the same reason.
"""

from __future__ import annotations

import functools
import http.client
import io
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import urllib3
import urllib3.connection
import urllib3.exceptions
import urllib3.util

from croftpulley import cancel, codes, errors
from croftpulley.core import attempts
from croftpulley.endpoints import dialing, sockets

TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
)
"""Errors of a connection, including those for a malformed response."""
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
"""Of lists and reports: several times the largest list of endpoints in one piece."""
_BLOCK_SIZE_BYTES = 8192
"""A longer body is sent in blocks of this size, with a check for an early response between."""


class _EarlyResponseError(Exception):
    """The peer responds before it has received the whole request."""


@attrs.frozen
class Target:
    """An address, and the timeouts for connecting and between bytes.

    With an ``ack_timeout_s`` the connection fails if sent data is not acknowledged within that
    time (TCP_USER_TIMEOUT). With ``uses_keepalive`` the system sends a TCP keepalive probe after
    each idle second, and the connection fails after ``ack_timeout_s`` without a reply. With a
    ``total_timeout_s`` the response has to be complete within that time from sending on.
    """

    address: str
    connect_timeout_s: float
    silence_timeout_s: float
    ack_timeout_s: float | None = None
    uses_keepalive: bool = False
    total_timeout_s: float | None = None


def no_op() -> None:
    """Do nothing; the default callback for a request that is sent."""


@attrs.frozen
class HttpRequest:
    """A request to send; with a ``content_type`` of ``None`` only ``extra_headers`` are sent.

    ``on_send`` is called just before the first byte is sent and again after the last one. An
    exception from the first call ends the exchange before anything is sent.
    """

    method: str
    path: str
    body: bytes | None = None
    content_type: str | None = "application/json"
    extra_headers: dict[str, str] = attrs.field(factory=dict)
    on_send: Callable[[], None] = no_op

    def headers(self) -> dict[str, str]:
        """Return all headers except those for the transfer, such as the body's length."""
        if self.content_type is not None:
            return {"Content-Type": self.content_type, **self.extra_headers}
        unset = {name.lower() for name in self.extra_headers}
        skipped = {
            name: urllib3.util.SKIP_HEADER
            for name in ("User-Agent", "Accept-Encoding")
            if name.lower() not in unset
        }
        return {**skipped, **self.extra_headers}


@attrs.frozen
class FailureCodes:
    """The result codes for a failure before and after the request was sent."""

    unreachable: codes.ResultCode
    broke: codes.ResultCode


ENGINE_FAILURES = FailureCodes(codes.ResultCode.ENGINE_UNREACHABLE, codes.ResultCode.ENGINE_BROKE)
PEER_FAILURES = FailureCodes(codes.ResultCode.PEER_LOST, codes.ResultCode.PEER_LOST)
WORKER_FAILURES = FailureCodes(codes.ResultCode.WORKER_UNREACHABLE, codes.ResultCode.WORKER_BROKE)


class Exchange:
    """One request and its response, on one connection."""

    def __init__(
        self,
        target: Target,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
        failures: FailureCodes,
        dialer: dialing.Dialer = dialing.DIRECT,
    ) -> None:
        host, _, port = target.address.rpartition(":")
        self._target = target
        self._attempt = attempt
        self._token = token
        self._failures = failures
        self._dialer = dialer
        self._connection = urllib3.connection.HTTPConnection(
            host,
            int(port),
            timeout=target.connect_timeout_s,
            socket_options=sockets.SOCKET_OPTIONS,
        )
        self._sock: socket.socket | None = None
        """The connection's socket; the library drops its reference while the response is read."""
        self.response: urllib3.HTTPResponse | None = None

    def begin(
        self, request: HttpRequest, on_headers: attempts.Phase = attempts.Phase.ANSWERING
    ) -> urllib3.HTTPResponse:
        """Connect, send the request and return the response once its headers have arrived.

        The attempt enters `Phase.SENT` before the first byte is sent, and ``on_headers`` when the
        headers have arrived. Raises `errors.CroftpulleyError`.
        """
        try:
            self._token.check()
            self._dialer.dial(self._connection)
            self._sock = self._connection.sock
            self._token.on_cancel(self.shutdown)
            self._token.check()
            response = self._send(request)
            if on_headers is not self._attempt.phase:
                self._attempt.enter(on_headers)
            self._attempt.status = response.status
            self._attempt.is_end_ambiguous = _is_delimited_by_close(response)
            return response
        except TRANSPORT_ERRORS as failure:
            raise self.error_for(failure) from failure

    def _send(self, request: HttpRequest) -> urllib3.HTTPResponse:
        _set_io_timeouts(self._connection.sock, self._target.silence_timeout_s)
        if self._target.ack_timeout_s is not None:
            _set_ack_timeout(self._connection.sock, self._target.ack_timeout_s)
        if self._target.uses_keepalive:
            _enable_keepalive(self._connection.sock)
        # Without a response the request may be retried at another endpoint. After an ordinary close
        # the system would keep retransmitting it, and deliver it here too once a cut link is back.
        sockets.reset_on_close(self._connection.sock)
        # The library sets this timeout on the socket again before it reads.
        self._connection.timeout = None
        # Called twice: the process may be paused in between, and the bytes are sent after that.
        request.on_send()
        self._attempt.enter(attempts.Phase.SENT)
        self._send_request(request)
        request.on_send()
        sock = self._connection.sock
        self._connection.response_class = self._response_class()
        response = self._connection.getresponse()
        sockets.flush_after_close(sock)
        self.response = response
        return response

    def _response_class(self) -> Any:
        """Return what makes the library's response; it must not refer to this exchange."""
        token = self._token
        total_s = self._target.total_timeout_s
        return functools.partial(
            sockets.Response,
            is_cancelled=lambda: token.reason is not None,
            ends_at_s=None if total_s is None else time.monotonic() + total_s,
            on_received=self._attempt.count_received,
        )

    def _send_request(self, request: HttpRequest) -> None:
        """Send the request; stop sending a long body when the peer responds early."""
        headers = request.headers()
        body: bytes | Iterator[bytes] | None = request.body
        if request.body is not None and len(request.body) > _BLOCK_SIZE_BYTES:
            headers["Content-Length"] = str(len(request.body))
            body = self._body_blocks(request.body)
        try:
            self._connection.request(
                request.method,
                request.path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except (_EarlyResponseError, BrokenPipeError, ConnectionResetError):
            # The response may have arrived although the request was not read to its end. If it has
            # not, reading it fails.
            return

    def _body_blocks(self, body: bytes) -> Iterator[bytes]:
        """Yield a body in blocks; raises `_EarlyResponseError` when the peer sends something."""
        waiter = select.poll()
        waiter.register(self._connection.sock, select.POLLIN | select.POLLOUT)
        for start in range(0, len(body), _BLOCK_SIZE_BYTES):
            if any(event & select.POLLIN for _, event in waiter.poll()):
                raise _EarlyResponseError
            yield body[start : start + _BLOCK_SIZE_BYTES]

    def read(self, size_bytes: int) -> bytes:
        """Return received bytes of the response body, waiting for some; empty at its end.

        Raises `errors.CroftpulleyError`.
        """
        if self.response is None:
            raise RuntimeError("read() called before begin() has returned a response")
        if self._token.reason is not None:
            raise self.error_for(ConnectionAbortedError("the response was given up"))
        try:
            return self.response.read1(size_bytes)
        except TRANSPORT_ERRORS as failure:
            raise self.error_for(failure) from failure

    def rest(self, rest_s: float) -> None:
        """Wait before the next read, no longer than until the exchange is cancelled."""
        is_over = threading.Event()
        self._token.on_cancel(is_over.set)
        is_over.wait(rest_s)
        self._token.remove_callback(is_over.set)

    def read_all(self, max_body_bytes: int) -> bytes:
        """Return the complete body; raises `errors.CroftpulleyError`, also if it is longer."""
        body = io.BytesIO()
        while data := self.read(_BLOCK_SIZE_BYTES):
            if body.tell() + len(data) > max_body_bytes:
                raise self.error_for(ValueError(f"the body is longer than {max_body_bytes} bytes"))
            body.write(data)
        return body.getvalue()

    def error_for(self, failure: Exception) -> errors.CroftpulleyError:
        """Return the error for a failed exchange and mark the attempt's end as ambiguous.

        Its code is the reason of a cancellation, else follows from the attempt's phase.
        """
        self._attempt.is_end_ambiguous = True
        unsent = self._attempt.phase is attempts.Phase.UNSENT
        code = self._failures.unreachable if unsent else self._failures.broke
        return errors.CroftpulleyError(
            self._token.reason or code,
            f"{self._target.address}: {type(failure).__name__}: {failure}",
            run_state=self._attempt.run_state,
        )

    def shutdown(self) -> None:
        """End reading and writing from another thread."""
        if self._sock is None:
            return
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Shut down by the peer or closed by its own thread in the meantime.
            return

    def close(self) -> None:
        """Close the connection."""
        self._token.remove_callback(self.shutdown)
        if self.response is not None:
            self.response.close()
        self._connection.close()


def _is_delimited_by_close(response: urllib3.HTTPResponse) -> bool:
    """Tell whether only the end of the connection marks the end of the response."""
    return not response.chunked and response.length_remaining is None


def _set_io_timeouts(sock: socket.socket, timeout_s: float) -> None:
    """Set the system's timeouts for reads and writes; a read that times out returns no data.

    Python's own socket timeout polls before each read, and so releases the interpreter lock twice
    per chunk instead of once (``docs/design/005-streams-and-threads.md``).
    """
    sock.settimeout(None)
    sockets.set_timeout(sock, socket.SO_RCVTIMEO, timeout_s)
    sockets.set_timeout(sock, socket.SO_SNDTIMEO, timeout_s)


def _set_ack_timeout(sock: socket.socket, timeout_s: float) -> None:
    """Make the connection fail if sent data is not acknowledged in time."""
    timeout_ms = max(1, int(timeout_s * 1000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _enable_keepalive(sock: socket.socket) -> None:
    """Make the system probe the peer after each second without data."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)


def send_and_read(
    target: Target,
    request: HttpRequest,
    failures: FailureCodes,
    attempt: attempts.Attempt | None = None,
    token: cancel.CancelToken | None = None,
    dialer: dialing.Dialer = dialing.DIRECT,
    max_body_bytes: int = MAX_DOCUMENT_BYTES,
) -> tuple[urllib3.HTTPResponse, bytes]:
    """Send a request and return the response and its complete body.

    The silence timeout of ``target`` is the limit for the whole response as well. Raises
    `errors.CroftpulleyError`, also when the body is shorter than the response announces or longer
    than ``max_body_bytes``.
    """
    attempt = attempt or attempts.Attempt(1, target.address)
    target = attrs.evolve(target, total_timeout_s=target.silence_timeout_s)
    exchange = Exchange(target, attempt, token or cancel.CancelToken(), failures, dialer)
    try:
        return exchange.begin(request), exchange.read_all(max_body_bytes)
    finally:
        exchange.close()
