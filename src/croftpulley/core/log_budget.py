"""How many log lines a process writes in a second, and which go first."""

from __future__ import annotations

import logging

import attrs


@attrs.define
class LogBudget:
    """Lines in each second: ordinary ones up to a limit, warnings and errors up to twice that.

    >>> budget = LogBudget(lines_a_s=1)
    >>> [budget.take(logging.INFO, 0.0), budget.take(logging.INFO, 0.1)]
    [True, False]
    >>> budget.take(logging.WARNING, 0.2), budget.left_out()
    (True, 1)
    """

    lines_a_s: int
    _second: int = -1
    _written: int = 0
    _left_out: int = 0

    def take(self, level: int, now_s: float) -> bool:
        """Count a line; return whether it is within the budget."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written = 0
        limit = self.lines_a_s if level < logging.WARNING else 2 * self.lines_a_s
        if self._written >= limit:
            self._left_out += 1
            return False
        self._written += 1
        return True

    def left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        count, self._left_out = self._left_out, 0
        return count
