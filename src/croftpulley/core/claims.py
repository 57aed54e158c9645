"""Claims: a call that may not be repeated is claimed before it is sent to a worker."""

from __future__ import annotations

import enum

import attrs

from croftpulley import codes

CLAIMS_DROPPED_AT_ONCE = 1000
"""So that one command never holds up the log for long."""


class ClaimState(enum.IntEnum):
    """The answer to a claim."""

    FRESH = 0
    """The key is now claimed; the asking box alone may send the call."""
    PENDING = 1
    """The key was claimed before and no outcome is known: it may have run."""
    RECORDED = 2
    """The call's outcome is known and goes with the answer."""
    CONFLICT = 3
    """The key was used for another call."""


@attrs.frozen
class Outcome:
    """What came of a call."""

    run_state: codes.RunState
    http_status: int
    content_type: str
    body: bytes


@attrs.frozen
class Claim:
    """A claimed key with the outcome, once there is one."""

    digest: str
    claim_id: str
    at_wall_s: float
    outcome: Outcome | None = None


@attrs.frozen
class ClaimAnswer:
    """What the claiming box is told."""

    state: ClaimState
    outcome: Outcome | None = None


@attrs.define
class Claims:
    """All claims inside the window, by workspace and key, oldest first."""

    by_key: dict[tuple[str, str], Claim] = attrs.field(factory=dict)

    def claim(
        self, workspace: str, key: str, digest: str, claim_id: str, at_wall_s: float
    ) -> ClaimAnswer:
        """Claim a key, or say what is known of it.

        The same ``claim_id`` again is the same box asking once more because the answer was lost;
        it has not sent the call yet, so its claim is still fresh.
        """
        known = self.by_key.get((workspace, key))
        if known is None:
            self.by_key[(workspace, key)] = Claim(digest, claim_id, at_wall_s)
            return ClaimAnswer(ClaimState.FRESH)
        if known.digest != digest:
            return ClaimAnswer(ClaimState.CONFLICT)
        if known.outcome is not None:
            return ClaimAnswer(ClaimState.RECORDED, known.outcome)
        fresh = known.claim_id == claim_id
        return ClaimAnswer(ClaimState.FRESH if fresh else ClaimState.PENDING)

    def record(self, workspace: str, key: str, outcome: Outcome) -> bool:
        """Record an outcome; the first one stays. A call that was not run frees its key."""
        known = self.by_key.get((workspace, key))
        if known is None or known.outcome is not None:
            return False
        if outcome.run_state is codes.RunState.NOT_RUN:
            del self.by_key[(workspace, key)]
        else:
            self.by_key[(workspace, key)] = attrs.evolve(known, outcome=outcome)
        return True

    def oldest_at_wall_s(self) -> float | None:
        """Return when the oldest claim was made."""
        return next((claim.at_wall_s for claim in self.by_key.values()), None)

    def drop_before(self, wall_s: float) -> int:
        """Drop claims older than ``wall_s``, a bounded number at once; return how many."""
        old: list[tuple[str, str]] = []
        for key, claim in self.by_key.items():
            if claim.at_wall_s >= wall_s or len(old) >= CLAIMS_DROPPED_AT_ONCE:
                break
            old.append(key)
        for key in old:
            del self.by_key[key]
        return len(old)
