"""Rate limit for the log lines of a process, with priority for warnings and errors."""

from __future__ import annotations

import logging

import attrs


@attrs.define
class LogBudget:
    """Limits log lines per second: warnings and errors may use twice the limit of ordinary lines.

    >>> budget = LogBudget(lines_per_s=1)
    >>> [budget.take(logging.INFO, 0.0), budget.take(logging.INFO, 0.1)]
    [True, False]
    >>> budget.take(logging.WARNING, 0.2), budget.left_out()
    (True, 1)
    """

    lines_per_s: int
    _second: int = -1
    _written: int = 0
    _left_out: int = 0

    def take(self, level: int, now_s: float) -> bool:
        """Count a line and return whether it is within the budget."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written = 0
        limit = self.lines_per_s if level < logging.WARNING else 2 * self.lines_per_s
        if self._written >= limit:
            self._left_out += 1
            return False
        self._written += 1
        return True

    def left_out(self) -> int:
        """Return how many lines were dropped since the last call."""
        count, self._left_out = self._left_out, 0
        return count
