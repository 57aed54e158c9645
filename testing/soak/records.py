"""What callers and operators met, for the promises to be checked against."""

from __future__ import annotations

import enum
import threading

import attrs


class End(enum.Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    """Status and whole body came."""
    CUT = "cut"
    """The answer began and broke off visibly."""
    NOTHING = "nothing"
    """The connection ended without an answer, or none came in time."""
    UNSENT = "unsent"
    """No connection, or none that took a byte."""


@attrs.frozen(kw_only=True)
class Asked:
    """One request: what was sent, which configurations may have held, and what came of it.

    ``accepted_version`` had been acknowledged when it was sent; ``submitted_version`` is the
    highest that had been sent to anyone when it ended.
    """

    request_id: str
    kind: str
    router: int
    route_version: int
    key_version: int
    accepted_version: int
    submitted_version: int
    sent_s: float
    ended_s: float
    end: End
    status: int = 0
    body: bytes = b""
    echoed_id: str = ""
    has_proof: bool = False


@attrs.frozen(kw_only=True)
class Read:
    """A configuration that was read back: ``version`` as answered, ``None`` for any refusal."""

    accepted_version: int
    version: int | None


@attrs.frozen(kw_only=True)
class Acceptance:
    """A configuration that was submitted once all troubles had ended.

    ``acknowledged_s`` is how long that took, ``took_s`` until it was read back as well; ``None`` if
    it was given up.
    """

    version: int
    limit_s: float
    acknowledged_s: float | None = None
    took_s: float | None = None


@attrs.define
class Book:
    """All records, and the versions that all callers go by."""

    asked: list[Asked] = attrs.field(factory=list)
    reads: list[Read] = attrs.field(factory=list)
    acceptances: list[Acceptance] = attrs.field(factory=list)
    exits: list[tuple[str, int | None]] = attrs.field(factory=list)
    """Programs that were stopped as planned, with their exit codes."""
    accepted_version: int = 0
    submitted_version: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def submit(self) -> int:
        """Return the number of a new submission."""
        with self._lock:
            self.submitted_version += 1
            return self.submitted_version

    def accept(self, version: int) -> None:
        """Note an acknowledgement."""
        with self._lock:
            self.accepted_version = max(self.accepted_version, version)
