"""Whether an engine's owner may take one more request, and limits per workspace."""

from __future__ import annotations

import attrs

from croftpulley import codes
from croftpulley.core import membership


@attrs.define
class EngineCount:
    """What the owner counts at one engine.

    ``outstanding`` is exact. ``foreign`` is what the engine's load report shows beyond it, such
    as streams left by an earlier owner.
    """

    outstanding: int = 0
    foreign: int = 0
    most_since_asked: int = 0

    @property
    def load(self) -> int:
        """Requests at the engine."""
        return self.outstanding + self.foreign

    def enter(self) -> None:
        """Count one request in."""
        self.outstanding += 1
        self.most_since_asked = max(self.most_since_asked, self.outstanding)

    def leave(self) -> None:
        """Count one request out."""
        self.outstanding -= 1

    def ask(self) -> None:
        """Begin to ask the engine for its load report."""
        self.most_since_asked = self.outstanding

    def report(self, running: int) -> None:
        """Take the load report asked for.

        The engine wrote it at some moment since, when it may have run as many requests of this
        owner as there were at most; only what goes beyond them is foreign.
        """
        self.foreign = max(0, running - self.most_since_asked)

    def forget_report(self) -> None:
        """Drop what the engine reported before it started anew; requests of ours end by breaking.

        >>> count = EngineCount(outstanding=2, foreign=5)
        >>> count.forget_report(); count.load
        2
        """
        self.foreign = 0


def fresh_mean(
    heard: membership.PoolLoad,
    reported: membership.PoolLoad,
    current: membership.PoolLoad,
    listed_engines: int = 0,
) -> float:
    """Return a pool's mean load with this box's own part as it is now.

    ``heard`` is the pool's total as last heard, ``reported`` what this box had put into it, and
    ``current`` what this box counts now. Without this, the first moments of a surge are refused
    against a mean from before it.

    ``listed_engines`` is how many engines the directory has in the pool. Just after an engine got
    its owner, ``heard`` does not include it yet; divided by too few engines the mean would be too
    high and an engine would be buried (``testing/test_surge.py``).

    >>> load = membership.PoolLoad
    >>> fresh_mean(load("llm", 4, 4), load("llm", 2, 2), load("llm", 10, 2))
    3.0
    """
    outstanding = heard.outstanding - reported.outstanding + current.outstanding
    reporting = heard.engines - reported.engines + current.engines
    engines = max(reporting, listed_engines)
    return max(0, outstanding) / engines if engines > 0 else 0.0


@attrs.frozen
class Limits:
    """The cap that holds for one admission.

    ``mean`` is the pool's mean load as last heard; ``mean_evidence`` a fresher figure that the
    asking box worked out from refusals, 0 if it has none.
    """

    cap_multiple: float
    mean: float
    mean_evidence: float = 0.0
    slots: int = 0

    @property
    def most(self) -> float:
        """The most requests that the engine may hold.

        One request on top lets a pool that stands idle take its first ones.
        """
        cap = self.cap_multiple * max(self.mean, self.mean_evidence) + 1
        return min(cap, self.slots) if self.slots else cap


def refusal(count: EngineCount, limits: Limits, *, leaving: bool) -> codes.ResultCode | None:
    """Return why the engine may not take one more request, or ``None`` if it may.

    >>> limits = Limits(cap_multiple=1.25, mean=4.0)
    >>> refusal(EngineCount(outstanding=5), limits, leaving=False) is None
    True
    >>> refusal(EngineCount(outstanding=6), limits, leaving=False).name
    'NO_CAPACITY'
    """
    if leaving:
        return codes.ResultCode.ENGINE_LEAVING
    if count.load + 1 > limits.most:
        return codes.ResultCode.NO_CAPACITY
    return None
