"""What routers and control boxes say to each other of suspects, and what both go by; pure."""

from __future__ import annotations

import enum

import attrs

SUSPECTED_CRASHES = 2
"""From here on a request runs at one endpoint at a time. With one, all that ran beside a request
that ends endpoints would wait for a trial: up to 22 were seen in flight at an end."""


@attrs.frozen
class Crash:
    """An endpoint, named by its life, ended while it had a request."""

    fingerprint: str
    """Of the request, or the name of a part of its prompt; so in all that follows."""
    workspace: str
    endpoint: str
    pool: str = ""


@attrs.frozen
class Asker:
    """On whose behalf a trial of a part is asked for; ``others`` are the other parts of the prompt
    that need one.
    """

    workspace: str = ""
    others: tuple[str, ...] = ()


@attrs.frozen
class TrialEnd:
    """A trial is over, and no whole answer came; ``was_sent`` tells whether any byte left."""

    fingerprint: str
    trial: str
    was_sent: bool = True


@attrs.frozen(kw_only=True)
class Report:
    """What a router met: ends of endpoints, trials that are over, and requests answered whole."""

    crashes: tuple[Crash, ...] = ()
    trial_ends: tuple[TrialEnd, ...] = ()
    cleared: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Tell whether it says nothing."""
        return not (self.crashes or self.trial_ends or self.cleared)


class Verdict(enum.Enum):
    """What becomes of a request that asks for a trial."""

    FREE = "free"
    """It is no suspect (any more)."""
    GRANTED = "granted"
    BUSY = "busy"
    """It is being tried elsewhere."""
    REFUSED = "refused"


@attrs.frozen
class TrialAnswer:
    """The verdict on a trial; ``wait_s`` is when to ask again, where it was not granted."""

    verdict: Verdict
    crashes: int = 0
    wait_s: float = 0.0


@attrs.frozen
class Told:
    """What a router needs to know of one suspect; times are counted from when it is told.

    The rest is told of parts, as `Suspect` has it; ``has_own_trial`` if one is left for those
    against whom nothing speaks.
    """

    fingerprint: str
    crashes: int
    refused_for_s: float = 0.0
    pools: tuple[str, ...] = ()
    accused: tuple[str, ...] = ()
    beside: tuple[str, ...] = ()
    has_own_trial: bool = False


@attrs.frozen(kw_only=True)
class Change:
    """What changed from the revision that a router knows, or all if ``is_whole``."""

    revision: int
    is_whole: bool = False
    suspects: tuple[Told, ...] = ()
    removed: tuple[str, ...] = ()


def is_unaccused(asker: Asker, accused: tuple[str, ...], beside: tuple[str, ...]) -> bool:
    """Tell whether nothing speaks against an asker: it is another, or its request lacks a part that
    was there each time and may be the one.

    >>> is_unaccused(Asker("shop"), ("clinic",), ())
    True
    >>> is_unaccused(Asker("clinic", others=("part-a",)), ("clinic",), ("part-a",))
    False
    >>> is_unaccused(Asker("clinic", others=("part-a",)), ("clinic",), ("part-a", "part-b"))
    True
    """
    return asker.workspace not in accused or any(each not in asker.others for each in beside)
