"""Back-off from an endpoint after failures that this box's own requests met there."""

from __future__ import annotations

import attrs

FIRST_BACKOFF_S = 0.5
"""Back-off after a first failure: long enough for a restart to show, and short enough to cost
little."""
MAX_BACKOFF_S = 4.0
"""Longest back-off. It is below the users' drain and reuse limits, so that a recovered endpoint is
soon tried again."""
REUSED_ADDRESS_BACKOFF_S = 10.0
"""Back-off if another incarnation has the address: the list catches up within its lag."""


@attrs.define
class FailureBackoff:
    """Failures and back-off of one endpoint.

    >>> backoff = FailureBackoff()
    >>> backoff.failed(0.0); backoff.avoid_until_s
    0.5
    >>> backoff.failed(0.6); backoff.avoid_until_s
    1.6
    >>> backoff.answered(); backoff.avoid_until_s
    -inf
    """

    avoid_until_s: float = float("-inf")
    failures: int = 0
    blocked_until_s: float = float("-inf")
    """Until when the endpoint gets no requests, even if there is no other endpoint."""

    @property
    def is_blank(self) -> bool:
        """Tell whether no failure and no back-off is recorded."""
        return not self.failures and max(self.avoid_until_s, self.blocked_until_s) == float("-inf")

    def failed(self, now_s: float) -> None:
        """Record that the endpoint was unreachable or its response broke off."""
        # Concurrent requests fail together and count as one failure.
        if now_s < self.avoid_until_s:
            return
        wait_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**self.failures)
        self.failures += 1
        self.avoid_until_s = now_s + wait_s

    def address_reused(self, now_s: float) -> None:
        """Record that another incarnation has the address."""
        self.avoid_until_s = now_s + REUSED_ADDRESS_BACKOFF_S

    def block_until(self, until_s: float) -> None:
        """Send nothing until then, whatever else happens at the endpoint."""
        self.blocked_until_s = max(self.blocked_until_s, until_s)

    def answered(self) -> None:
        """Record a complete response, which ends the back-off after failures."""
        self.failures = 0
        self.avoid_until_s = float("-inf")
