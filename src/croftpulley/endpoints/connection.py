"""One HTTP exchange with an endpoint over a connection of its own, tracking how far it got.

Each exchange has a fresh connection: a connection kept alive may be closed by the other side at
the very moment that a request is sent on it, and then nobody can tell whether it ran. The
library's retries are not used for the same reason.
"""

from __future__ import annotations

import http.client
import select
import socket
import struct
from collections.abc import Callable, Iterator

import attrs
import urllib3
import urllib3.connection
import urllib3.exceptions
import urllib3.util

from croftpulley import cancel, codes, errors
from croftpulley.core import attempts
from croftpulley.endpoints import dialing

TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
)
"""What can go wrong on a connection, a malformed answer among it."""


_DROP_AT_CLOSE = struct.pack("ii", 1, 0)
"""Lingering for no time: a close resets the connection, and what was not received is dropped."""
_DELIVER_AFTER_CLOSE = struct.pack("ii", 0, 0)
"""As sockets begin: a close lets the system deliver the rest."""
_BLOCK_SIZE_BYTES = 8192
"""A longer body is sent in blocks of this size, between which an early answer is noticed."""


class _AnsweredEarlyError(Exception):
    """The other side answers before it has the whole request."""


@attrs.frozen
class Target:
    """Where to connect, and how long to wait for the connection and between bytes.

    With an ``arrival_limit_s`` the connection ends if what was sent is not received within that.
    Where it ``asks_alive`` the system asks the other side each second of silence whether it is
    there, and ends the connection after as long as the ``arrival_limit_s`` without an answer.
    """

    address: str
    connect_timeout_s: float
    silence_timeout_s: float
    arrival_limit_s: float | None = None
    asks_alive: bool = False


def do_nothing() -> None:
    """Stand where nobody wants to know when a request leaves."""


@attrs.frozen
class HttpRequest:
    """What to send; a ``content_type`` of ``None`` adds no header at all to ``extra_headers``.

    ``on_leaving`` is called just before the first byte leaves and again when all have left. What
    it raises at the first call ends the exchange, of which nothing has left.
    """

    method: str
    path: str
    body: bytes | None = None
    content_type: str | None = "application/json"
    extra_headers: dict[str, str] = attrs.field(factory=dict)
    on_leaving: Callable[[], None] = do_nothing

    def headers(self) -> dict[str, str]:
        """Return all headers but those of the transfer itself."""
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
    """One request and its answer."""

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
            host, int(port), timeout=target.connect_timeout_s
        )
        self._sock: socket.socket | None = None
        """The connection's own, which the library lets go of while its answer is still read."""
        self.response: urllib3.HTTPResponse | None = None

    def begin(
        self, request: HttpRequest, on_headers: attempts.Phase = attempts.Phase.ANSWERING
    ) -> urllib3.HTTPResponse:
        """Connect, send the request and return the answer once its headers are there.

        The attempt is `Phase.SENT` before the first byte leaves and ``on_headers`` when the
        headers have come. Raises `errors.CroftpulleyError`.
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
            self._attempt.is_end_ambiguous = _ends_with_connection(response)
            return response
        except TRANSPORT_ERRORS as failure:
            raise self.failed(failure) from failure

    def _send(self, request: HttpRequest) -> urllib3.HTTPResponse:
        _limit_silence(self._connection.sock, self._target.silence_timeout_s)
        if self._target.arrival_limit_s is not None:
            _limit_arrival(self._connection.sock, self._target.arrival_limit_s)
        if self._target.asks_alive:
            _ask_alive(self._connection.sock)
        # Without an answer the request may be sent elsewhere. After an ordinary close the system
        # would go on trying to deliver it here as well, and succeed once a cut link is back.
        _linger(self._connection.sock, _DROP_AT_CLOSE)
        # The library sets this on the socket once more before it reads.
        self._connection.timeout = None
        # Twice: the process may stand still in between, and the bytes leave after that.
        request.on_leaving()
        self._attempt.enter(attempts.Phase.SENT)
        self._send_request(request)
        request.on_leaving()
        sock = self._connection.sock
        response = self._connection.getresponse()
        _linger(sock, _DELIVER_AFTER_CLOSE)
        self.response = response
        return response

    def _send_request(self, request: HttpRequest) -> None:
        """Send the request, or as much of a long body as the other side reads before it answers."""
        headers = request.headers()
        body: bytes | Iterator[bytes] | None = request.body
        if request.body is not None and len(request.body) > _BLOCK_SIZE_BYTES:
            headers["Content-Length"] = str(len(request.body))
            body = self._blocks(request.body)
        try:
            self._connection.request(
                request.method,
                request.path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except (_AnsweredEarlyError, BrokenPipeError, ConnectionResetError):
            # The answer may be there although the request was not read to its end; if it is not,
            # reading it fails.
            return

    def _blocks(self, body: bytes) -> Iterator[bytes]:
        """Yield a body in blocks until the other side has something to say."""
        waiter = select.poll()
        waiter.register(self._connection.sock, select.POLLIN | select.POLLOUT)
        for start in range(0, len(body), _BLOCK_SIZE_BYTES):
            if any(event & select.POLLIN for _, event in waiter.poll()):
                raise _AnsweredEarlyError
            yield body[start : start + _BLOCK_SIZE_BYTES]

    def read(self, size_bytes: int) -> bytes:
        """Return what has arrived of the answer, waiting for some; empty at its end.

        Raises `errors.CroftpulleyError`.
        """
        if self.response is None:
            raise RuntimeError("the answer has not begun")
        try:
            return self.response.read1(size_bytes)
        except TRANSPORT_ERRORS as failure:
            raise self.failed(failure) from failure

    def failed(self, failure: Exception) -> errors.CroftpulleyError:
        """Make the error for a failed exchange from the attempt's phase, or a cancel's reason."""
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
            # Ended or closed by its own thread in the meantime: nothing is left to end.
            return

    def close(self) -> None:
        """Close the connection."""
        self._token.forget(self.shutdown)
        if self.response is not None:
            self.response.close()
        self._connection.close()


def _ends_with_connection(response: urllib3.HTTPResponse) -> bool:
    """Tell whether nothing but the connection's end says that an answer is whole."""
    return not response.chunked and response.length_remaining is None


def _limit_silence(sock: socket.socket, silence_s: float) -> None:
    """Have the system end a read or write that waits too long; the read then gives nothing.

    Python's own socket timeout polls before each read, and so passes the interpreter lock twice a
    chunk instead of once (``docs/design/005-streams-and-threads.md``).
    """
    whole_s = int(silence_s)
    limit = struct.pack("ll", whole_s, int((silence_s - whole_s) * 1_000_000))
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


def _linger(sock: socket.socket, option: bytes) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


def _limit_arrival(sock: socket.socket, limit_s: float) -> None:
    """Have the system end the connection if what was sent is not acknowledged in time."""
    limit_ms = max(1, int(limit_s * 1000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def _ask_alive(sock: socket.socket) -> None:
    """Have the system ask whether the other side is there while nothing comes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)


def whole(
    target: Target,
    request: HttpRequest,
    failures: FailureCodes,
    attempt: attempts.Attempt | None = None,
    token: cancel.CancelToken | None = None,
    dialer: dialing.Dialer = dialing.DIRECT,
) -> tuple[urllib3.HTTPResponse, bytes]:
    """Make a whole exchange and return the answer and its body.

    Raises `errors.CroftpulleyError`, also when the body is shorter than the answer's length.
    """
    attempt = attempt or attempts.Attempt(1, target.address)
    exchange = Exchange(target, attempt, token or cancel.CancelToken(), failures, dialer)
    try:
        response = exchange.begin(request)
        try:
            return response, response.read()
        except TRANSPORT_ERRORS as failure:
            raise exchange.failed(failure) from failure
    finally:
        exchange.close()
