"""How far an attempt at an endpoint progressed, and what that proves about execution.

The state reported to a caller (`codes.RunState`) is derived from the phase alone, never from which
exception was caught: an error says why an attempt ended, the phase says what the endpoint may have
done.
"""

from __future__ import annotations

import enum

import attrs

from croftpulley import codes


class Phase(enum.IntEnum):
    """Progress of an attempt."""

    UNSENT = 0
    """No byte of the request has been sent."""
    REFUSED = 1
    """The endpoint responded that it did not run the request."""
    SENT = 2
    """Some byte of the request may have been sent; no response has begun."""
    ANSWERING = 3
    """The response has begun."""
    DONE = 4
    """The response is complete."""


_NEXT: dict[Phase, tuple[Phase, ...]] = {
    Phase.UNSENT: (Phase.SENT,),
    Phase.SENT: (Phase.REFUSED, Phase.ANSWERING),
    Phase.ANSWERING: (Phase.DONE,),
    Phase.REFUSED: (),
    Phase.DONE: (),
}

_RUN_STATES: dict[Phase, codes.RunState] = {
    Phase.UNSENT: codes.RunState.NOT_RUN,
    Phase.REFUSED: codes.RunState.NOT_RUN,
    Phase.SENT: codes.RunState.UNKNOWN,
    Phase.ANSWERING: codes.RunState.RAN,
    Phase.DONE: codes.RunState.RAN,
}


@attrs.define
class Attempt:
    """One attempt to run a request at one endpoint.

    >>> attempt = Attempt(number=1, endpoint="engine-1")
    >>> attempt.run_state.label
    'not_run'
    >>> attempt.enter(Phase.SENT)
    >>> attempt.run_state.label
    'unknown'
    """

    number: int
    endpoint: str
    phase: Phase = Phase.UNSENT
    status: int = 0
    """HTTP status, once the response head has arrived."""
    is_end_ambiguous: bool = False
    """Whether the attempt ended in a way that does not show if the endpoint is still alive: the
    connection broke, or a response without a length ended with its connection. Set where the
    condition is detected, since the attempt may be closed before the failure has been handled."""

    received_bytes: int = 0
    """Of the response, whatever they were."""
    last_received_bytes: int = 0
    """Those of them that the last read from the system has brought."""
    is_truncated: bool = False
    """Whether the stream ended within an event although the connection reports it as complete."""
    began_s: float | None = None
    """When the first event of the response arrived."""
    has_survived: bool = False
    """Whether the response has continued for long enough since then."""

    def enter(self, phase: Phase) -> None:
        """Move on to ``phase``; raises `ValueError` for an impossible transition."""
        if phase not in _NEXT[self.phase]:
            raise ValueError(f"an attempt cannot go from {self.phase.name} to {phase.name}")
        self.phase = phase

    def count_received(self, size_bytes: int) -> None:
        """Count bytes of the response."""
        self.received_bytes += size_bytes
        self.last_received_bytes = size_bytes

    def set_reported_phase(self, phase: Phase) -> None:
        """Take over the phase reported by the box that forwards this attempt to the endpoint.

        For this box the attempt counts as sent once the order has left; only the other box knows
        whether the endpoint received any of it. A response that has begun here is never reverted.
        """
        if self.phase < Phase.ANSWERING or phase > self.phase:
            self.phase = phase

    @property
    def run_state(self) -> codes.RunState:
        """Whether the endpoint ran the request, as far as the phase proves."""
        return _RUN_STATES[self.phase]


@attrs.define
class AttemptLog:
    """All attempts at one request, oldest first."""

    attempts: list[Attempt] = attrs.field(factory=list)

    def begin(self, endpoint: str) -> Attempt:
        """Add the next attempt and return it."""
        attempt = Attempt(number=len(self.attempts) + 1, endpoint=endpoint)
        self.attempts.append(attempt)
        return attempt

    def discard(self, attempt: Attempt) -> None:
        """Remove an attempt that was never made, so that it counts nowhere."""
        self.attempts.remove(attempt)

    @property
    def received_bytes(self) -> int:
        """How many bytes of responses have been received in all attempts."""
        return sum(each.received_bytes for each in self.attempts)

    @property
    def failed_count(self) -> int:
        """How many attempts were sent and did not complete."""
        return sum(each.phase in (Phase.SENT, Phase.ANSWERING) for each in self.attempts)

    @property
    def run_state(self) -> codes.RunState:
        """Whether any endpoint ran the request: the furthest state of all attempts."""
        states = (attempt.run_state for attempt in self.attempts)
        return max(states, default=codes.RunState.NOT_RUN)
