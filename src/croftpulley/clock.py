"""The system clock, and a clock that tests advance manually."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """The daemons' source of time; pure core modules get the time as an argument."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return monotonic seconds from an arbitrary start, including time spent suspended."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The machine's clock, which also counts while the machine is suspended.

    With a clock that stops, a box that wakes up would treat its lease as still valid, and a leading
    control box its leader lease.
    """

    def monotonic_s(self) -> float:
        """Return the time since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return the machine's wall clock."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when `advance` is called.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic_s()
    1.5
    """

    def __init__(self, wall_start_s: float = 1_700_000_000.0) -> None:
        self._elapsed_s = 0.0
        self._wall_start_s = wall_start_s

    def advance(self, duration_s: float) -> None:
        """Advance both clocks."""
        self._elapsed_s += duration_s

    def monotonic_s(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed_s

    def wall_s(self) -> float:
        """Return the start plus the seconds advanced so far."""
        return self._wall_start_s + self._elapsed_s
