"""What a daemon counts and times, whether or not anybody asks for it yet.

The library that exposes it is loaded at the first scrape, or once much has been recorded: a router
that has just started serves requests first (`daemons.start_up` has what that gains).
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from croftpulley.observe import series

DIRECT = "direct"
FORWARDED = "forwarded"
RELAY_PATHS = (DIRECT, FORWARDED)
MOST_PUT_OFF = 4096
"""Records that are kept until the library is loaded, about 0.5 MB."""


class Metrics:
    """The metrics of one daemon; every method may be called by any thread."""

    def __init__(self, workspace_limit: int = 200) -> None:
        self._workspace_limit = workspace_limit
        self._lock = threading.Lock()
        self._put_off: list[tuple[str, tuple[Any, ...]]] = []
        self._series: series.Series | None = None

    def _record(self, name: str, *values: Any) -> None:
        """Record by the method of `series.Series` that has this name, now or once it is loaded."""
        if self._series is None and self._puts_off(name, values):
            return
        getattr(self._loaded(), name)(*values)

    def _puts_off(self, name: str, values: tuple[Any, ...]) -> bool:
        with self._lock:
            if self._series is not None or len(self._put_off) >= MOST_PUT_OFF:
                return False
            self._put_off.append((name, values))
            return True

    def _loaded(self) -> series.Series:
        with self._lock:
            if self._series is None:
                self._series = self._load()
            return self._series

    def _load(self) -> series.Series:
        from croftpulley.observe import series

        loaded = series.Series(self._workspace_limit)
        for name, values in self._put_off:
            getattr(loaded, name)(*values)
        self._put_off.clear()
        return loaded

    def streams_open(self, count: int) -> None:
        """Record how many requests are in flight."""
        self._record("streams_open", count)

    def first_token(self, workspace: str, request_class: str, seconds_s: float) -> None:
        """Record how long the first text took."""
        self._record("first_token", workspace, request_class, seconds_s)

    def request_ended(
        self, workspace: str, request_class: str, code: str, seconds_s: float
    ) -> None:
        """Record the end of a request."""
        self._record("request_ended", workspace, request_class, code, seconds_s)

    def prompt_tokens(self, workspace: str, prompt: int, cached: int) -> None:
        """Record how many prompt tokens an engine had to read and how many it had cached."""
        self._record("prompt_tokens", workspace, prompt, cached)

    def control_bytes(self, kind: str, sent: int, received: int) -> None:
        """Record the payload bytes of one exchange between our processes."""
        self._record("control_bytes", kind, sent, received)

    def control_failed(self, kind: str) -> None:
        """Record a message to another of our processes that got no answer."""
        self._record("control_failed", kind)

    def entries_spoiled(self, defect: str, count: int) -> None:
        """Record entries of one reading of the platform's list that name no endpoint."""
        self._record("entries_spoiled", defect, count)

    def repeat(self, is_granted: bool) -> None:
        """Record that the shared budget granted a repeat, or held it back."""
        self._record("repeat", is_granted)

    def notice(self, kind: str) -> None:
        """Record that an endpoint said something of itself in an answer."""
        self._record("notice", kind)

    def unread(self, size_bytes: int) -> None:
        """Record how much waits for callers that have not taken it yet."""
        self._record("unread", size_bytes)

    def admission(self, workspace: str, urgency: int, outcome: str) -> None:
        """Record what became of a request that asked for a permit."""
        self._record("admission", workspace, urgency, outcome)

    def waited_for_room(self, urgency: int, seconds_s: float) -> None:
        """Record how long a request waited for a permit."""
        self._record("waited_for_room", urgency, seconds_s)

    def held_back(self, bar: str) -> None:
        """Record that a request was held back from its endpoint at the last moment."""
        self._record("held_back", bar)

    def withdrawn(self, pool: str, resting: int, leaving: int) -> None:
        """Record how many endpoints of a pool want no requests from this box now."""
        self._record("withdrawn", pool, resting, leaving)

    def out_of_reach(self, pool: str, is_lost: bool) -> None:
        """Record whether this box reaches no endpoint of a pool."""
        self._record("out_of_reach", pool, is_lost)

    def hop(self, pool: str, outcome: str) -> None:
        """Record what became of a request that was handed to another box, or by one."""
        self._record("hop", pool, outcome)

    def taken_up(self, pool: str, outcome: str) -> None:
        """Record what is known of a stream that a caller takes up."""
        self._record("taken_up", pool, outcome)

    def origins_told(self, outcome: str, count: int) -> None:
        """Record streams of which another box was told, or was lost when told."""
        self._record("origins_told", outcome, count)

    def endpoint_ended(self, sign: str) -> None:
        """Record that an endpoint ended with requests, by the sign that showed it."""
        self._record("endpoint_ended", sign)

    def suspect(self, verdict: str) -> None:
        """Record what became of a request under which endpoints ended."""
        self._record("suspect", verdict)

    def chunks_relayed(self, path: str, count: int) -> None:
        """Record engine chunks passed on."""
        self._record("chunks_relayed", path, count)

    def arm_request(self, arm: str, result: str) -> None:
        """Record the end of a request that falls to an operators' arm."""
        self._record("arm_request", arm, result)

    def arm_tokens(self, arm: str, held: int, read: int) -> None:
        """Record how much of a prompt the chosen endpoint holds and how much it must read."""
        self._record("arm_tokens", arm, held, read)

    def arm_decision(self, arm: str, decision: str) -> None:
        """Record what an arm's program decided."""
        self._record("arm_decision", arm, decision)

    def engine_outstanding(self, engine: str, outstanding: int) -> None:
        """Record the outstanding count of an engine that this box owns."""
        self._record("engine_outstanding", engine, outstanding)

    def engine_forgotten(self, engine: str) -> None:
        """Drop the series of an engine that this box no longer owns."""
        self._record("engine_forgotten", engine)

    def render(self) -> bytes:
        """Return the text that a Prometheus server scrapes."""
        return self._loaded().render()
