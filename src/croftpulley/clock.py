"""Clocks: the real one, and one that tests move by hand."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Where the daemons read time; pure cores are handed the reading."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds that never step back and count suspensions, from an arbitrary start."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The machine's clock.

    The one that counts while the machine is suspended: else a box that wakes up would take its
    lease, and a leading control box its authority, for as fresh as they were before.
    """

    def monotonic_s(self) -> float:
        """Return the machine's steady clock, suspensions counted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return the machine's wall clock."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic_s()
    1.5
    """

    def __init__(self, wall_start_s: float = 1_700_000_000.0) -> None:
        self._elapsed_s = 0.0
        self._wall_start_s = wall_start_s

    def advance(self, seconds_s: float) -> None:
        """Move the clock on."""
        self._elapsed_s += seconds_s

    def monotonic_s(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed_s

    def wall_s(self) -> float:
        """Return the start plus the seconds advanced so far."""
        return self._wall_start_s + self._elapsed_s
