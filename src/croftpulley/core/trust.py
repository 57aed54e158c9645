"""How far an endpoint is trusted, by what this box's own requests met there."""

from __future__ import annotations

import attrs

FIRST_AVOID_S = 0.5
"""After a first failure: long enough for a restart to show, short enough to cost little."""
LONGEST_AVOID_S = 4.0
"""Under the users' drain and reuse bounds, so that a recovered endpoint is soon tried again."""
GONE_AVOID_S = 10.0
"""Another incarnation answers at the address: the list will say so within its lag."""


@attrs.define
class Trust:
    """One endpoint's record.

    >>> trust = Trust()
    >>> trust.failed(0.0); trust.avoid_until_s
    0.5
    >>> trust.failed(0.6); trust.avoid_until_s
    1.6
    >>> trust.answered(); trust.avoid_until_s
    -inf
    """

    avoid_until_s: float = float("-inf")
    failures: int = 0
    away_until_s: float = float("-inf")
    """Until when it gets nothing even if there is nobody else to ask."""

    @property
    def is_blank(self) -> bool:
        """Tell whether nothing speaks against the endpoint."""
        return not self.failures and max(self.avoid_until_s, self.away_until_s) == float("-inf")

    def failed(self, now_s: float) -> None:
        """Note that it could not be reached or that its answer broke off."""
        # Requests that were under way together fail together: they count once.
        if now_s < self.avoid_until_s:
            return
        wait_s = min(LONGEST_AVOID_S, FIRST_AVOID_S * 2.0**self.failures)
        self.failures += 1
        self.avoid_until_s = now_s + wait_s

    def gone(self, now_s: float) -> None:
        """Note that another incarnation has its address."""
        self.avoid_until_s = now_s + GONE_AVOID_S

    def stay_away(self, until_s: float) -> None:
        """Avoid it until then whatever else is met there."""
        self.away_until_s = max(self.away_until_s, until_s)

    def answered(self) -> None:
        """Note a whole answer."""
        self.failures = 0
        self.avoid_until_s = float("-inf")
