"""Messages between routers and control boxes about suspect requests, and rules that both apply.

Pure: no I/O and no clock of its own.
"""

from __future__ import annotations

import enum

import attrs

SUSPECTED_CRASHES = 2
"""From this many crashes on, a request runs at one endpoint at a time. With a threshold of one,
every request that ran beside a crashing one would wait for a trial: up to 22 were seen in flight at
a crash."""


@attrs.frozen
class Crash:
    """An endpoint incarnation crashed while it had a request."""

    fingerprint: str
    """Feature: fingerprint of the request, or name of a prompt part. The same holds below."""
    workspace: str
    endpoint: str
    pool: str = ""


@attrs.frozen
class Asker:
    """For whom a trial of a prompt part is requested.

    ``others`` are the other parts of the prompt that need a trial.
    """

    workspace: str = ""
    others: tuple[str, ...] = ()


@attrs.frozen
class TrialEnd:
    """A trial ended without a complete response; ``was_sent`` tells whether any byte was sent."""

    fingerprint: str
    trial: str
    was_sent: bool = True


@attrs.frozen(kw_only=True)
class Report:
    """What a router observed: crashes, ended trials, and features of complete responses."""

    crashes: tuple[Crash, ...] = ()
    trial_ends: tuple[TrialEnd, ...] = ()
    cleared: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to report."""
        return not (self.crashes or self.trial_ends or self.cleared)


class Verdict(enum.Enum):
    """Decision on a request for a trial."""

    FREE = "free"
    """No trial needed: the feature is no suspect, or no longer."""
    GRANTED = "granted"
    BUSY = "busy"
    """Another trial of it is under way."""
    REFUSED = "refused"


@attrs.frozen
class TrialAnswer:
    """The verdict on a trial; ``wait_s`` is when to ask again if it was not granted."""

    verdict: Verdict
    crashes: int = 0
    wait_s: float = 0.0


@attrs.frozen
class SuspectSummary:
    """What a router needs to know of one suspect; times are relative to when it is sent.

    The fields from ``pools`` on are sent for prompt parts only, as `suspect_rules.Suspect`
    describes them.
    ``has_own_trial`` tells whether unaccused askers have a trial left.
    """

    fingerprint: str
    crashes: int
    refused_for_s: float = 0.0
    pools: tuple[str, ...] = ()
    accused: tuple[str, ...] = ()
    beside: tuple[str, ...] = ()
    has_own_trial: bool = False


@attrs.frozen(kw_only=True)
class SuspectsUpdate:
    """What changed since the revision that a router knows, or everything if ``is_whole``."""

    revision: int
    is_whole: bool = False
    suspects: tuple[SuspectSummary, ...] = ()
    removed: tuple[str, ...] = ()


def is_unaccused(asker: Asker, accused: tuple[str, ...], beside: tuple[str, ...]) -> bool:
    """Tell whether no crash or trial implicates an asker.

    Either its workspace is not accused, or its request lacks a part that was there each time and
    may be the cause.

    >>> is_unaccused(Asker("shop"), ("clinic",), ())
    True
    >>> is_unaccused(Asker("clinic", others=("part-a",)), ("clinic",), ("part-a",))
    False
    >>> is_unaccused(Asker("clinic", others=("part-a",)), ("clinic",), ("part-a", "part-b"))
    True
    """
    return asker.workspace not in accused or any(each not in asker.others for each in beside)
