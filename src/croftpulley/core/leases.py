"""Leases of entry boxes, from both sides.

The holder counts from when it sent the renewal and stops a margin early; the grantor counts from
when it answered and waits a margin longer. So whatever the delay between them, the holder has
stopped before the grantor hands anything on, as long as their clocks run apart by less than the
margins over one lease.
"""

from __future__ import annotations

import attrs


@attrs.define
class HeldLease:
    """The holder's side; never valid before the first renewal."""

    margin_s: float
    until_s: float = float("-inf")

    def renewed(self, sent_at_s: float, lease_s: float) -> None:
        """Take a renewal that was asked for at ``sent_at_s``; an older one changes nothing."""
        self.until_s = max(self.until_s, sent_at_s + lease_s - self.margin_s)

    def holds(self, now_s: float) -> bool:
        """Tell whether the lease may still be acted on."""
        return now_s < self.until_s


@attrs.define
class GrantedLeases:
    """The grantor's side: until when each box may believe that it holds a lease."""

    lease_s: float
    margin_s: float
    until_s: dict[str, float] = attrs.field(factory=dict)

    def assume(self, box: str, now_s: float) -> None:
        """After a restart: ``box`` may have been granted a lease just before it."""
        self.renew(box, now_s)

    def renew(self, box: str, now_s: float) -> None:
        """Grant or renew."""
        self.until_s[box] = now_s + self.lease_s + self.margin_s

    def live(self, box: str, now_s: float) -> bool:
        """Tell whether the box may still believe that it holds a lease."""
        return now_s < self.until_s.get(box, float("-inf"))

    def expire(self, now_s: float) -> list[str]:
        """Forget and return the boxes whose lease has ended."""
        ended = [box for box, until_s in self.until_s.items() if now_s >= until_s]
        for box in ended:
            del self.until_s[box]
        return ended


def may_take_lease(version: int, newest: int, *, holds_lease: bool) -> bool:
    """Tell whether a box that uses ``version`` may have its lease renewed.

    A box that is behind the newest configuration and holds no lease takes none before it has that.
    The leader and the box go by this alike. Were a lease counted for such a box all the same, one
    that comes back after a loss of power would hold up the acknowledgement of each change until it
    has fetched the newest, and callers would be sent to it before it can serve.

    >>> may_take_lease(4, 5, holds_lease=True), may_take_lease(4, 5, holds_lease=False)
    (True, False)
    """
    return version >= newest or holds_lease
