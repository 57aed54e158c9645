"""Whether a box can reach the endpoints of a pool, judged by its own connections. Does no I/O.

When an endpoint can't be reached, either the endpoint is down or the box is cut off from it.
Consecutive failures don't tell which of the two holds where many endpoints are down, so they only
start a probe of several other endpoints of the pool at once. The network path to the pool is lost
if none of these can be reached either.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MIN_FAILED_ENDPOINTS = 2
"""Endpoints of a pool that can't be reached, one after another, before the path is probed."""
MAX_PROBED_ENDPOINTS = 16
"""Endpoints that a probe tries at once. With three quarters of a pool of 24 endpoints down, a probe
of this size finds none that is up once in 10,000 probes; in a pool of any size, once in 100."""
PROBE_VALID_S = 0.5
"""How long a probe that reached an endpoint is valid: an endpoint that fails meanwhile is down."""
FLAPPING_S = 5.0
"""A path that is lost again within this time after its recovery counts as recovered only after two
consecutive connections, so that an unstable link isn't used."""
CONNECTION_VALID_S = 1.0
"""How long a successful connection shows that the path works."""
FAILURE_MEMORY_S = 5.0
"""How long a failed connection counts against the path."""
SILENCE_LIMIT_S = 0.5
"""How long connections to several endpoints may be without a response before the path is suspected.
Most responses start sooner, and the suspicion alone has no consequence."""
UNHEARD_LIMIT_S = 1.0
"""How long a pool may be without any response before its path is suspected too while the path to
another pool is lost."""
PENDING_FAILURE_S = 2.0
"""How long a failure stays pending. It is attributed to its endpoint if another endpoint of the
pool responds within this time."""


@attrs.frozen
class Failure:
    """An attempt at an endpoint that ended without a response."""

    endpoint: str
    at_s: float


@attrs.define
class PoolReach:
    """Tracks the network path from this box to the endpoints of one pool, which are given by key.

    >>> path = PoolReach()
    >>> path.unreached("a", 3, 0.0), path.unreached("b", 3, 0.1)
    (False, True)
    >>> path.probed(is_reached=False, now_s=0.2), path.is_lost
    (True, True)
    >>> path.connected(0.3), path.is_lost
    (True, False)
    """

    is_lost: bool = False
    """Whether no connection can be made."""
    is_unresponsive: bool = False
    """Whether connections can be made but get no responses."""
    _silent_since_s: dict[str, float] = attrs.field(factory=dict)
    _answered_at_s: float = float("-inf")
    _broken: set[str] = attrs.field(factory=set)
    """Endpoints whose attempts failed without a response since an endpoint of the pool last
    responded."""
    _unreached_at_s: dict[str, float] = attrs.field(factory=dict)
    _probing_since_s: float | None = None
    """When the running probe started, or ``None``."""
    _probed_at_s: float = float("-inf")
    _connected_at_s: float = float("-inf")
    _recovered_at_s: float = float("-inf")
    _reconnect_count: int = 0
    _min_reconnects: int = 1
    _pending_failures: list[Failure] = attrs.field(factory=list)

    def unreached(self, endpoint: str, size: int, now_s: float) -> bool:
        """Record that a connection to an endpoint failed. Return whether to probe others now.

        ``size`` is the number of endpoints in the pool. A caller that is told to probe must report
        the result with `probed`.
        """
        self._reconnect_count = 0
        self._unreached_at_s[endpoint] = now_s
        self._unreached_at_s = {
            key: at_s
            for key, at_s in self._unreached_at_s.items()
            if now_s < at_s + FAILURE_MEMORY_S
        }
        if (
            self.is_lost
            or self._probing_since_s is not None
            or now_s < self._probed_at_s + PROBE_VALID_S
        ):
            return False
        if len(self._unreached_at_s) < _min_suspects(size):
            return False
        self._probing_since_s = now_s
        return True

    @property
    def is_probing(self) -> bool:
        """Whether a probe is running."""
        return self._probing_since_s is not None

    def probed(self, *, is_reached: bool, now_s: float) -> bool:
        """Record whether a probe reached an endpoint. Return whether the path is now lost."""
        since_s, self._probing_since_s = self._probing_since_s, None
        if is_reached or since_s is None or self._connected_at_s >= since_s:
            self._probed_at_s = now_s
            self._connected_at_s = now_s
            self._unreached_at_s.clear()
            return False
        self.is_lost = True
        self._reconnect_count = 0
        self._min_reconnects = 2 if now_s < self._recovered_at_s + FLAPPING_S else 1
        # The pending failures were caused by the path, not by the endpoints.
        self._pending_failures.clear()
        return True

    def connected(self, now_s: float) -> bool:
        """Record a successful connection to an endpoint. Return whether the path has recovered."""
        self._connected_at_s = now_s
        if not self.is_lost:
            self._unreached_at_s.clear()
            return False
        self._reconnect_count += 1
        if self._reconnect_count < self._min_reconnects:
            return False
        self.is_lost = False
        self._recovered_at_s = now_s
        self._reconnect_count = 0
        self._unreached_at_s.clear()
        return True

    def asked(self, endpoint: str, now_s: float) -> None:
        """Record that a request was sent to an endpoint, which hasn't responded yet."""
        self._silent_since_s.setdefault(endpoint, now_s)

    def silent(self, size: int, now_s: float) -> list[str]:
        """Return the endpoints that have been silent too long, or none if too few are.

        ``size`` is the number of endpoints in the pool. A response of any endpoint in the pool
        resets all.
        """
        since_s = self._silent_since_s.items()
        silent = [key for key, at_s in since_s if at_s + SILENCE_LIMIT_S <= now_s]
        return silent if len(silent) >= _min_suspects(size) else []

    def is_reached(self, now_s: float) -> bool:
        """Return whether a connection to any endpoint succeeded recently."""
        return not self.is_lost and now_s < self._connected_at_s + CONNECTION_VALID_S

    def unheard(self, endpoints: Iterable[str], now_s: float) -> list[str]:
        """Return ``endpoints`` if none of the pool responded recently, asked or not; else none."""
        return list(endpoints) if self._answered_at_s + UNHEARD_LIMIT_S <= now_s else []

    def broken(self, size: int) -> list[str]:
        """Return the endpoints whose attempts failed without a response, or none if too few did."""
        return sorted(self._broken) if len(self._broken) >= _min_suspects(size) else []

    def mark_unresponsive(self) -> None:
        """Mark the path as unresponsive, because health checks of its endpoints got no response."""
        self.is_unresponsive = True
        self._pending_failures.clear()

    def failed(self, endpoint: str, now_s: float) -> None:
        """Record an attempt that failed before or during the response of its endpoint."""
        if endpoint not in self._unreached_at_s:
            self._broken.add(endpoint)
        if not (self.is_lost or self.is_unresponsive):
            self._pending_failures.append(Failure(endpoint, now_s))

    def answered(self, endpoint: str, now_s: float) -> list[str]:
        """Record the header of a response. Return the endpoints whose failures the path didn't
        cause.

        These are the recent failures of other endpoints, with each endpoint as often as it failed.
        """
        self.is_unresponsive = False
        self._answered_at_s = now_s
        self._silent_since_s.clear()
        self._broken.clear()
        recent = [each for each in self._pending_failures if now_s < each.at_s + PENDING_FAILURE_S]
        self._pending_failures = [each for each in recent if each.endpoint == endpoint]
        return [each.endpoint for each in recent if each.endpoint != endpoint]


def _min_suspects(size: int) -> int:
    """Return how many endpoints of a pool of ``size`` must fail for the path to be suspected."""
    return max(1, min(MIN_FAILED_ENDPOINTS, size))
