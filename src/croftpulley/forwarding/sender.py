"""Sends one attempt to one endpoint and reads its response."""

from __future__ import annotations

import abc
import io
import threading
import time
from collections.abc import Callable, Iterator

import attrs

from croftpulley import cancel, codes, errors
from croftpulley.core import attempts, membership, verdicts
from croftpulley.endpoints import connection, dialing
from croftpulley.forwarding import base

_READ_SIZE_BYTES = 65_536
MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024
"""The largest response that is read completely before the caller gets its first byte."""
MAX_BUFFERED_BYTES_IN_ALL = 32 * 1024 * 1024
"""For all such responses at one time: an eighth of the 256 MB that a small box has."""
FREE_BYTES = 65_536
"""Of each response, beyond which it counts against that."""
_ROOM_WAIT_S = 1.0
AHEAD_BYTES = 8192
"""An endpoint of which so much has come at once is ahead of whoever reads its answer."""
FREE_WORK_S = 0.002
"""Of processor time, which each answer whose endpoint is ahead may take at once."""
WORK_SHARE = 0.5
"""Of one processor, for all such answers together beyond that."""
_WORK_STEP_S = 0.001
"""An answer rests once it has taken so much too much, not after each part."""


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


@attrs.define(eq=False)
class Work:
    """The processor time that one answer may take now; negative if it has taken too much.

    Both times are as of its last part.
    """

    now_s: float
    spent_s: float
    left_s: float = FREE_WORK_S


class AnswerWork:
    """Bounds the processor time that reading answers takes from all else; thread-safe.

    One thread of a process computes at a time. Answers whose bytes come as fast as they are read
    would leave the others nothing, however little those need. An answer that waits for its
    endpoint never rests.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ahead: set[Work] = set()

    def begin(self, now_s: float, spent_s: float) -> Work:
        """Return the account of an answer; ``spent_s`` is its thread's processor time so far."""
        return Work(now_s, spent_s)

    def rest_s(self, work: Work, now_s: float, spent_s: float, *, is_ahead: bool) -> float:
        """Count what a part of an answer has taken; return how long to wait before the next."""
        with self._lock:
            if is_ahead:
                self._ahead.add(work)
            else:
                self._ahead.discard(work)
            share = WORK_SHARE / max(1, len(self._ahead))
        earned_s = share * (now_s - work.now_s)
        taken_s = spent_s - work.spent_s if is_ahead else 0.0
        work.left_s = min(FREE_WORK_S, work.left_s + earned_s) - taken_s
        work.now_s, work.spent_s = now_s, spent_s
        has_to_rest = is_ahead and work.left_s <= -_WORK_STEP_S
        return -work.left_s / share if has_to_rest else 0.0

    def end(self, work: Work) -> None:
        """Forget an answer."""
        with self._lock:
            self._ahead.discard(work)


_WORK = AnswerWork()
"""Of this process: its threads share one interpreter."""


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
        work = _WORK.begin(time.monotonic(), time.thread_time())
        try:
            while data := self._exchange.read(_READ_SIZE_BYTES):
                yield data
                is_ahead = self._attempt.last_received_bytes >= AHEAD_BYTES
                rest_s = _WORK.rest_s(work, time.monotonic(), time.thread_time(), is_ahead=is_ahead)
                if rest_s:
                    self._exchange.rest(rest_s)
        finally:
            _WORK.end(work)
        if self._attempt.phase is attempts.Phase.ANSWERING:
            self._attempt.enter(attempts.Phase.DONE)

    def close(self) -> None:
        self._exchange.close()


@attrs.define(eq=False)
class _Held:
    """The bytes of one answer that count against the room for all."""

    size_bytes: int = 0


class AnswerBuffers:
    """Reads answers completely, with a bound on what all of them hold together; thread-safe.

    The first bytes of each answer always have room, so that long answers take nothing from short
    ones. Beyond that, an answer for which there is no room waits a moment; the longest of those
    that are being read is given up instead.
    """

    def __init__(self, room_bytes: int = MAX_BUFFERED_BYTES_IN_ALL) -> None:
        self._room_bytes = room_bytes
        self._lock = threading.Condition()
        self._held: set[_Held] = set()

    @property
    def held_bytes(self) -> int:
        """What the answers that are being read take of that room."""
        with self._lock:
            return sum(each.size_bytes for each in self._held)

    def read(self, response: Response) -> bytes:
        """Return a response's body; raises `errors.CroftpulleyError`.

        That is if it breaks off, is longer than `MAX_BUFFERED_RESPONSE_BYTES` or gets no room.
        """
        # A list of parts would take a multiple of their bytes where each is small.
        body = io.BytesIO()
        size_bytes = 0
        held = _Held()
        try:
            for chunk in response.chunks():
                size_bytes += len(chunk)
                if size_bytes > MAX_BUFFERED_RESPONSE_BYTES:
                    raise _too_long(f"longer than {MAX_BUFFERED_RESPONSE_BYTES} bytes")
                if size_bytes > FREE_BYTES and not self._take(held, len(chunk)):
                    raise _too_long(f"longer than there is room for, at {size_bytes} bytes")
                body.write(chunk)
            return body.getvalue()
        finally:
            self._release(held)

    def _take(self, held: _Held, size_bytes: int) -> bool:
        ends_at_s = time.monotonic() + _ROOM_WAIT_S
        with self._lock:
            self._held.add(held)
            while sum(each.size_bytes for each in self._held) + size_bytes > self._room_bytes:
                is_longest = held.size_bytes == max(each.size_bytes for each in self._held)
                left_s = ends_at_s - time.monotonic()
                if is_longest or left_s <= 0:
                    return False
                self._lock.wait(left_s)
            held.size_bytes += size_bytes
            return True

    def _release(self, held: _Held) -> None:
        with self._lock:
            self._held.discard(held)
            self._lock.notify_all()


def _too_long(problem: str) -> errors.CroftpulleyError:
    return errors.CroftpulleyError(
        codes.ResultCode.ANSWER_CORRUPT,
        f"the answer is {problem}",
        run_state=codes.RunState.RAN,
    )
