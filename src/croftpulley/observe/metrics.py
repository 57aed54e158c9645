"""Records the metrics of a daemon, and loads the Prometheus library only when it is needed.

Records are deferred until the first scrape, or until `MAX_DEFERRED_RECORDS` are held: the library
takes time to load, and a router that has just started serves requests first (`daemons.start_up`
has the time saved).
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from croftpulley.observe import series

DIRECT = "direct"
FORWARDED = "forwarded"
RELAY_PATHS = (DIRECT, FORWARDED)
MAX_DEFERRED_RECORDS = 4096
"""Records held until the library is loaded; about 0.5 MB."""


class Metrics:
    """The metrics of one daemon; every method may be called by any thread."""

    def __init__(self, workspace_limit: int = 200) -> None:
        self._workspace_limit = workspace_limit
        self._lock = threading.Lock()
        self._deferred: list[tuple[str, tuple[Any, ...]]] = []
        self._series: series.Series | None = None

    def _record(self, name: str, *values: Any) -> None:
        """Call the method ``name`` of `series.Series`, now or once the library is loaded."""
        if self._series is None and self._defer(name, values):
            return
        getattr(self._loaded_series(), name)(*values)

    def _defer(self, name: str, values: tuple[Any, ...]) -> bool:
        """Hold a record for later; return whether there was need and space for it."""
        with self._lock:
            if self._series is not None or len(self._deferred) >= MAX_DEFERRED_RECORDS:
                return False
            self._deferred.append((name, values))
            return True

    def _loaded_series(self) -> series.Series:
        """Return the series, loaded on first use."""
        with self._lock:
            if self._series is None:
                self._series = self._load_series()
            return self._series

    def _load_series(self) -> series.Series:
        """Load the library and apply the deferred records; the lock must be held."""
        from croftpulley.observe import series

        loaded = series.Series(self._workspace_limit)
        for name, values in self._deferred:
            getattr(loaded, name)(*values)
        self._deferred.clear()
        return loaded

    def streams_open(self, count: int) -> None:
        """Record the number of requests in flight."""
        self._record("streams_open", count)

    def first_token(self, workspace: str, request_class: str, duration_s: float) -> None:
        """Record the time from a request's arrival to its first text."""
        self._record("first_token", workspace, request_class, duration_s)

    def request_ended(
        self, workspace: str, request_class: str, code: str, duration_s: float
    ) -> None:
        """Record the result code and duration of a request."""
        self._record("request_ended", workspace, request_class, code, duration_s)

    def prompt_tokens(self, workspace: str, prompt: int, cached: int) -> None:
        """Record a prompt's tokens, and how many of them the engine had cached."""
        self._record("prompt_tokens", workspace, prompt, cached)

    def control_bytes(self, kind: str, sent: int, received: int) -> None:
        """Record the payload bytes of one exchange between Croftpulley processes."""
        self._record("control_bytes", kind, sent, received)

    def control_failed(self, kind: str) -> None:
        """Record a message to another Croftpulley process that got no answer."""
        self._record("control_failed", kind)

    def entries_spoiled(self, defect: str, count: int) -> None:
        """Record unusable entries found in one read of the platform's list, by defect."""
        self._record("entries_spoiled", defect, count)

    def repeat(self, is_granted: bool) -> None:
        """Record whether the shared retry budget granted a retry."""
        self._record("repeat", is_granted)

    def notice(self, kind: str) -> None:
        """Record that an endpoint announced something about itself in a response."""
        self._record("notice", kind)

    def unread(self, size_bytes: int) -> None:
        """Record the bytes buffered for callers that have not read them yet."""
        self._record("unread", size_bytes)

    def admission(self, workspace: str, urgency: int, outcome: str) -> None:
        """Record the outcome of a request for a permit."""
        self._record("admission", workspace, urgency, outcome)

    def waited_for_room(self, urgency: int, duration_s: float) -> None:
        """Record how long a request waited for a permit that it got."""
        self._record("waited_for_room", urgency, duration_s)

    def held_back(self, bar: str) -> None:
        """Record that a request was not sent to its chosen endpoint, and what barred it."""
        self._record("held_back", bar)

    def withdrawn(self, pool: str, resting: int, leaving: int) -> None:
        """Record how many endpoints of a pool want no requests from this box, by reason."""
        self._record("withdrawn", pool, resting, leaving)

    def out_of_reach(self, pool: str, is_lost: bool) -> None:
        """Record whether this box can reach no endpoint of a pool."""
        self._record("out_of_reach", pool, is_lost)

    def hop(self, pool: str, outcome: str) -> None:
        """Record the outcome of a request passed to another box, or taken from one."""
        self._record("hop", pool, outcome)

    def taken_up(self, pool: str, outcome: str) -> None:
        """Record what is known of the origin of a stream that a caller resumes."""
        self._record("taken_up", pool, outcome)

    def origins_told(self, outcome: str, count: int) -> None:
        """Record stream origins announced to another box, by whether it accepted them."""
        self._record("origins_told", outcome, count)

    def endpoint_ended(self, sign: str) -> None:
        """Record that an endpoint with requests crashed, by the sign that showed it."""
        self._record("endpoint_ended", sign)

    def suspect(self, verdict: str) -> None:
        """Record the verdict on a request that is suspected of crashing endpoints."""
        self._record("suspect", verdict)

    def chunks_relayed(self, path: str, count: int) -> None:
        """Record engine chunks relayed to callers, by path."""
        self._record("chunks_relayed", path, count)

    def arm_request(self, arm: str, result: str) -> None:
        """Record the result of a request assigned to an operators' arm."""
        self._record("arm_request", arm, result)

    def arm_tokens(self, arm: str, held: int, read: int) -> None:
        """Record how many tokens of a prompt the endpoint has cached, and must prefill."""
        self._record("arm_tokens", arm, held, read)

    def arm_decision(self, arm: str, decision: str) -> None:
        """Record the decision of an arm's program."""
        self._record("arm_decision", arm, decision)

    def engine_outstanding(self, engine: str, outstanding: int) -> None:
        """Record the number of requests outstanding at an engine that this box owns."""
        self._record("engine_outstanding", engine, outstanding)

    def engine_forgotten(self, engine: str) -> None:
        """Drop the series of an engine that this box no longer owns."""
        self._record("engine_forgotten", engine)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._loaded_series().render()
