"""Claims on idempotency keys.

A call that must not run twice is claimed before it is sent to a worker.
"""

from __future__ import annotations

import enum

import attrs

from croftpulley import codes

MAX_CLAIMS_PER_DROP = 1000
"""Bounds the work of one command, so that it does not block the log for long."""


class ClaimState(enum.IntEnum):
    """The answer to a claim."""

    FRESH = 0
    """The key is now claimed; only the box that asked may send the call."""
    PENDING = 1
    """The key was claimed before and no outcome is known: the call may have run."""
    RECORDED = 2
    """The outcome of the call is known and part of the answer."""
    CONFLICT = 3
    """The key was used for a call with another digest."""


@attrs.frozen
class Outcome:
    """Whether a call ran, and the HTTP response that it got."""

    run_state: codes.RunState
    http_status: int
    content_type: str
    body: bytes


@attrs.frozen
class Claim:
    """A claimed key; ``outcome`` is ``None`` until it is recorded."""

    digest: str
    claim_id: str
    at_wall_s: float
    outcome: Outcome | None = None


@attrs.frozen
class ClaimAnswer:
    """The answer to the box that claims a key."""

    state: ClaimState
    outcome: Outcome | None = None


@attrs.define
class Claims:
    """All claims inside the claim window, by workspace and key, oldest first."""

    by_key: dict[tuple[str, str], Claim] = attrs.field(factory=dict)

    def claim(
        self, workspace: str, key: str, digest: str, claim_id: str, at_wall_s: float
    ) -> ClaimAnswer:
        """Claim a key, or return the state of the existing claim.

        A second request with the same ``claim_id`` comes from the same box, which retries because
        the answer was lost; it has not sent the call yet, so its claim is still fresh.
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
        """Record the outcome of a claimed call; return whether it was recorded.

        The first outcome is final. A call that was not run releases its key.
        """
        known = self.by_key.get((workspace, key))
        if known is None or known.outcome is not None:
            return False
        if outcome.run_state is codes.RunState.NOT_RUN:
            del self.by_key[(workspace, key)]
        else:
            self.by_key[(workspace, key)] = attrs.evolve(known, outcome=outcome)
        return True

    def oldest_at_wall_s(self) -> float | None:
        """Return the time of the oldest claim, or ``None`` if there is no claim."""
        return next((claim.at_wall_s for claim in self.by_key.values()), None)

    def drop_before(self, wall_s: float) -> int:
        """Drop claims made before ``wall_s``; return how many.

        One call drops at most `MAX_CLAIMS_PER_DROP` claims.
        """
        old: list[tuple[str, str]] = []
        for key, claim in self.by_key.items():
            if claim.at_wall_s >= wall_s or len(old) >= MAX_CLAIMS_PER_DROP:
                break
            old.append(key)
        for key in old:
            del self.by_key[key]
        return len(old)
