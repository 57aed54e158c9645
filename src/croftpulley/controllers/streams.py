"""The requests in flight at this box: limits, deadlines and callers that disconnect."""

from __future__ import annotations

import operator
import threading
from collections.abc import Callable
from typing import Any

import attrs

from croftpulley import cancel, codes, errors
from croftpulley import clock as clocks
from croftpulley.controllers import actors
from croftpulley.core import attempts
from croftpulley.observe import memory, metrics

_LARGEST = 5
"""Requests that a line about memory names, and that end at a look while memory is short."""
_LARGE_BYTES = 262_144
"""A request for which endpoints have sent less is not what takes the memory."""


@attrs.define
class InFlight:
    """Number of requests in flight at this box, in total and by workspace."""

    streams_limit: int
    total: int = 0
    by_workspace: dict[str, int] = attrs.field(factory=dict)

    def enter(self, workspace: str, workspace_limit: int) -> codes.ResultCode | None:
        """Count one more request, or return the limit that it would exceed."""
        if self.total >= self.streams_limit:
            return codes.ResultCode.TOO_MANY_STREAMS
        count = self.by_workspace.get(workspace, 0)
        if count >= workspace_limit:
            return codes.ResultCode.WORKSPACE_LIMIT
        self.total += 1
        self.by_workspace[workspace] = count + 1
        return None

    def leave(self, workspace: str) -> None:
        """Count one request less."""
        self.total -= 1
        count = self.by_workspace[workspace] - 1
        if count:
            self.by_workspace[workspace] = count
        else:
            del self.by_workspace[workspace]


@attrs.define(eq=False)
class WatchedRequest:
    """A request that is cancelled after its deadline or once its caller is gone."""

    token: cancel.CancelToken
    deadline_s: float
    caller_gone: Callable[[], bool]
    request_id: str = ""
    attempts: attempts.AttemptLog = attrs.field(factory=attempts.AttemptLog)

    @property
    def received_bytes(self) -> int:
        """How much endpoints have sent for it."""
        return self.attempts.received_bytes

    def describe(self) -> dict[str, Any]:
        """Return the log fields for it."""
        return {
            "request_id": self.request_id,
            "engines": [each.endpoint for each in self.attempts.attempts],
            "received_bytes": self.received_bytes,
        }


class Streams:
    """All requests in flight; thread-safe."""

    def __init__(self, streams_limit: int, clock: clocks.Clock, counters: metrics.Metrics) -> None:
        self._clock = clock
        self._counters = counters
        self._lock = threading.Condition()
        self._in_flight = InFlight(streams_limit)
        self._watched: set[WatchedRequest] = set()
        self._has_stopped = False

    def enter(self, workspace: str, workspace_limit: int) -> None:
        """Count one more request; raises `errors.CroftpulleyError` if a limit is reached."""
        with self._lock:
            code = self._in_flight.enter(workspace, workspace_limit)
            self._counters.streams_open(self._in_flight.total)
        if code is not None:
            raise errors.CroftpulleyError(code)

    def leave(self, workspace: str) -> None:
        """Count one request less, and wake threads that wait for none to be in flight."""
        with self._lock:
            self._in_flight.leave(workspace)
            self._counters.streams_open(self._in_flight.total)
            self._lock.notify_all()

    def watch(self, watched: WatchedRequest) -> None:
        """Add a request to those that `sweep` checks."""
        with self._lock:
            self._watched.add(watched)
            has_stopped = self._has_stopped
        if has_stopped:
            watched.token.cancel(codes.ResultCode.BOX_STOPPED)

    def unwatch(self, watched: WatchedRequest) -> None:
        """Remove a request from those that `sweep` checks."""
        with self._lock:
            self._watched.discard(watched)
            self._lock.notify_all()

    def open_count(self) -> int:
        """Return how many requests are in flight or watched."""
        with self._lock:
            return max(self._in_flight.total, len(self._watched))

    def largest(self) -> list[WatchedRequest]:
        """Return the requests for which endpoints have sent the most, the most first."""
        with self._lock:
            watched = list(self._watched)
        watched.sort(key=operator.attrgetter("received_bytes"), reverse=True)
        return watched[:_LARGEST]

    def end_largest(self) -> None:
        """Cancel the requests for which endpoints have sent the most, if that is much."""
        for each in self.largest():
            if each.received_bytes >= _LARGE_BYTES:
                # An endpoint runs it, so that this may not be an error that promises the contrary.
                each.token.cancel(codes.ResultCode.WORKER_BROKE)

    def describe(self) -> dict[str, Any]:
        """Return the log fields about the number of requests and the largest."""
        largest = [each.describe() for each in self.largest()]
        return {"streams": self.open_count(), "largest": largest}

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until nothing is in flight or watched; return whether that was within the time."""
        with self._lock:
            return self._lock.wait_for(
                lambda: not self._in_flight.total and not self._watched, timeout_s
            )

    def stop(self) -> None:
        """Cancel all requests, and those that still come, as the box stops."""
        with self._lock:
            self._has_stopped = True
            watched = list(self._watched)
        for each in watched:
            each.token.cancel(codes.ResultCode.BOX_STOPPED)

    def sweep(self) -> None:
        """Cancel the requests whose deadline has passed or whose caller is gone."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            watched = list(self._watched)
        for each in watched:
            if now_s >= each.deadline_s:
                each.token.cancel(codes.ResultCode.DEADLINE_PASSED)
            elif each.caller_gone():
                each.token.cancel(codes.ResultCode.CALLER_GONE)


class StreamController(actors.Controller):
    """Cancels expired and abandoned requests at each tick, and looks at the process's memory.

    While that is short, the largest requests are cancelled.
    """

    def __init__(self, streams: Streams, watch: memory.MemoryWatch) -> None:
        super().__init__()
        self._streams = streams
        self._memory = watch

    def handle(self, message: object) -> None:
        """Run one sweep."""
        self._memory.look()
        if self._memory.is_short:
            self._streams.end_largest()
        self._streams.sweep()

    def on_stop(self) -> None:
        """Free what the look at memory takes."""
        self._memory.close()
