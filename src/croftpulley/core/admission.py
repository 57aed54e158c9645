"""Admission control at an engine's owner: the load cap and why a request is refused."""

from __future__ import annotations

import attrs

from croftpulley import codes
from croftpulley.core import membership


@attrs.define
class EngineCount:
    """The load of one engine as its owner counts it.

    ``outstanding`` is the exact number of requests that the owner has admitted and not finished.
    ``untracked`` is what the engine's load report shows on top of it, such as streams admitted by
    an earlier owner.
    """

    outstanding: int = 0
    untracked: int = 0
    peak_since_query: int = 0

    @property
    def load(self) -> int:
        """Requests at the engine, tracked or not."""
        return self.outstanding + self.untracked

    def add_request(self) -> None:
        """Count a request that starts."""
        self.outstanding += 1
        self.peak_since_query = max(self.peak_since_query, self.outstanding)

    def remove_request(self) -> None:
        """Count a request that has ended."""
        self.outstanding -= 1

    def begin_load_query(self) -> None:
        """Note that a load report is about to be requested from the engine."""
        self.peak_since_query = self.outstanding

    def report(self, running: int) -> None:
        """Update ``untracked`` from the load report that was requested last.

        The engine took the figure at some moment after the request for it, when it may have run as
        many requests of this owner as the peak since then. Only what exceeds that peak is
        untracked.
        """
        self.untracked = max(0, running - self.peak_since_query)

    def discard_report(self) -> None:
        """Discard the untracked load of an engine that restarted.

        Requests of this owner that the restart broke are counted out as they fail.

        >>> count = EngineCount(outstanding=2, untracked=5)
        >>> count.discard_report(); count.load
        2
        """
        self.untracked = 0


def current_mean_load(
    heard: membership.PoolLoad,
    reported: membership.PoolLoad,
    current: membership.PoolLoad,
    listed_engines: int = 0,
) -> float:
    """Return a pool's mean load per engine with this box's own contribution brought up to date.

    ``heard`` is the last total received for the pool, ``reported`` what this box contributed to
    that total, and ``current`` what this box counts now. Against the received mean alone, the first
    requests of a surge would be refused.

    ``listed_engines`` is the number of the pool's engines in the directory. ``heard`` doesn't
    include an engine whose owner was assigned a moment ago; dividing by too few engines would raise
    the mean and overload an engine (``testing/test_surge.py``). Without engines the mean is 0.

    >>> load = membership.PoolLoad
    >>> current_mean_load(load("llm", 4, 4), load("llm", 2, 2), load("llm", 10, 2))
    3.0
    """
    outstanding = heard.outstanding - reported.outstanding + current.outstanding
    reporting = heard.engines - reported.engines + current.engines
    engines = max(reporting, listed_engines)
    return max(0, outstanding) / engines if engines > 0 else 0.0


@attrs.frozen
class Limits:
    """The load cap that applies to one admission.

    ``mean`` is the pool's mean load as last received. ``mean_evidence`` is a more recent mean that
    the requesting box derived from refusals, or 0. ``slots`` is how many requests the engine runs
    at once, or 0 where that isn't known.
    """

    cap_multiple: float
    mean: float
    mean_evidence: float = 0.0
    slots: int = 0

    @property
    def max_requests(self) -> float:
        """The maximum number of requests that the engine may hold.

        The cap has one request on top so that an idle pool can accept its first requests.
        """
        cap = self.cap_multiple * max(self.mean, self.mean_evidence) + 1
        return min(cap, self.slots) if self.slots else cap


def refusal_reason(count: EngineCount, limits: Limits, *, leaving: bool) -> codes.ResultCode | None:
    """Return why the engine can't accept one more request, or ``None`` if it can.

    >>> limits = Limits(cap_multiple=1.25, mean=4.0)
    >>> refusal_reason(EngineCount(outstanding=5), limits, leaving=False) is None
    True
    >>> refusal_reason(EngineCount(outstanding=6), limits, leaving=False).name
    'NO_CAPACITY'
    """
    if leaving:
        return codes.ResultCode.ENGINE_LEAVING
    if count.load + 1 > limits.max_requests:
        return codes.ResultCode.NO_CAPACITY
    return None
