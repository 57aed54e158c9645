"""The requests in flight at this box: counted in and out, watched for deadline and caller."""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs

from croftpulley import cancel, codes, errors
from croftpulley import clock as clocks
from croftpulley.controllers import actors
from croftpulley.observe import metrics


@attrs.define
class InFlight:
    """Requests in flight at this box, in all and by workspace."""

    streams_limit: int
    total: int = 0
    by_workspace: dict[str, int] = attrs.field(factory=dict)

    def enter(self, workspace: str, workspace_limit: int) -> codes.ResultCode | None:
        """Count one request in, or return why it may not enter."""
        if self.total >= self.streams_limit:
            return codes.ResultCode.TOO_MANY_STREAMS
        present = self.by_workspace.get(workspace, 0)
        if present >= workspace_limit:
            return codes.ResultCode.WORKSPACE_LIMIT
        self.total += 1
        self.by_workspace[workspace] = present + 1
        return None

    def leave(self, workspace: str) -> None:
        """Count one request out."""
        self.total -= 1
        present = self.by_workspace[workspace] - 1
        if present:
            self.by_workspace[workspace] = present
        else:
            del self.by_workspace[workspace]


@attrs.define(eq=False)
class Watched:
    """A request in flight."""

    token: cancel.CancelToken
    deadline_s: float
    caller_gone: Callable[[], bool]


class Streams:
    """All requests in flight; shared by the request threads, so guarded by a lock."""

    def __init__(self, streams_limit: int, clock: clocks.Clock, counters: metrics.Metrics) -> None:
        self._clock = clock
        self._counters = counters
        self._lock = threading.Condition()
        self._in_flight = InFlight(streams_limit)
        self._watched: set[Watched] = set()

    def enter(self, workspace: str, workspace_limit: int) -> None:
        """Count a request in; raises `errors.CroftpulleyError` where a limit is reached."""
        with self._lock:
            code = self._in_flight.enter(workspace, workspace_limit)
            self._counters.streams_open(self._in_flight.total)
        if code is not None:
            raise errors.CroftpulleyError(code)

    def leave(self, workspace: str) -> None:
        """Count a request out."""
        with self._lock:
            self._in_flight.leave(workspace)
            self._counters.streams_open(self._in_flight.total)
            self._lock.notify_all()

    def watch(self, watched: Watched) -> None:
        """Begin to watch a request."""
        with self._lock:
            self._watched.add(watched)

    def unwatch(self, watched: Watched) -> None:
        """Watch a request no more."""
        with self._lock:
            self._watched.discard(watched)
            self._lock.notify_all()

    def open_count(self) -> int:
        """Return how many requests are in flight or watched."""
        with self._lock:
            return max(self._in_flight.total, len(self._watched))

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until nothing is in flight; return whether that came in time."""
        with self._lock:
            return self._lock.wait_for(
                lambda: not self._in_flight.total and not self._watched, timeout_s
            )

    def sweep(self) -> None:
        """Cancel what has run out of time or has no caller any more."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            watched = list(self._watched)
        for each in watched:
            if now_s >= each.deadline_s:
                each.token.cancel(codes.ResultCode.DEADLINE_PASSED)
            elif each.caller_gone():
                each.token.cancel(codes.ResultCode.CALLER_GONE)


class StreamController(actors.Controller):
    """Sweeps the streams at each tick."""

    def __init__(self, streams: Streams) -> None:
        super().__init__()
        self._streams = streams

    def handle(self, message: object) -> None:
        """Sweep once."""
        self._streams.sweep()
