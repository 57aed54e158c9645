"""How far an attempt at an endpoint got, and what may be said of it.

What a caller is told (`codes.RunState`) is derived from the phase alone, never from which
exception was caught: an error says why an attempt ended, the phase says what the endpoint may
have done.
"""

from __future__ import annotations

import enum

import attrs

from croftpulley import codes


class Phase(enum.IntEnum):
    """How far an attempt got."""

    UNSENT = 0
    """Not one byte of the request has left."""
    REFUSED = 1
    """The endpoint answered that it did not run the request."""
    SENT = 2
    """Some byte of the request may have left; no answer has begun."""
    ANSWERING = 3
    """The answer has begun."""
    DONE = 4
    """The answer is whole."""


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
    """One try at one endpoint.

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
    """Of the answer, once its head is there."""
    in_doubt: bool = False
    """Whether its end leaves open if the endpoint lived on: the connection broke off, or the answer
    says no length and ended with its connection. Noted where it is met: whoever closes the attempt
    may do so before the failure has been handled."""

    is_cut: bool = False
    """Whether its stream ended within an event, though the connection says that it is whole."""
    began_s: float | None = None
    """When the first event of its answer came."""
    has_survived: bool = False
    """Whether its answer has gone on for long enough since."""

    def enter(self, phase: Phase) -> None:
        """Move on to ``phase``; raises `ValueError` for a step that cannot happen."""
        if phase not in _NEXT[self.phase]:
            raise ValueError(f"an attempt cannot go from {self.phase.name} to {phase.name}")
        self.phase = phase

    def adopt(self, phase: Phase) -> None:
        """Take over the phase that the box which carries out this attempt reports.

        To this box the attempt is sent once the order has left; only the other box knows whether
        the engine has seen anything of it. An answer that has begun here is never taken back.
        """
        if self.phase < Phase.ANSWERING or phase > self.phase:
            self.phase = phase

    @property
    def run_state(self) -> codes.RunState:
        """Whether the endpoint ran the request."""
        return _RUN_STATES[self.phase]


@attrs.define
class AttemptLog:
    """All attempts at one request, oldest first."""

    attempts: list[Attempt] = attrs.field(factory=list)

    def begin(self, endpoint: str) -> Attempt:
        """Start the next attempt."""
        attempt = Attempt(number=len(self.attempts) + 1, endpoint=endpoint)
        self.attempts.append(attempt)
        return attempt

    def withdraw(self, attempt: Attempt) -> None:
        """Take back an attempt that was never made: it counts nowhere."""
        self.attempts.remove(attempt)

    @property
    def failed_count(self) -> int:
        """How many attempts were sent and did not finish."""
        return sum(each.phase in (Phase.SENT, Phase.ANSWERING) for each in self.attempts)

    @property
    def run_state(self) -> codes.RunState:
        """Whether any endpoint ran the request: the furthest state of all attempts."""
        states = (attempt.run_state for attempt in self.attempts)
        return max(states, default=codes.RunState.NOT_RUN)
