"""Leases of entry boxes, as the holder and the grantor track them.

The holder counts from when it sent the renewal and stops a margin early; the grantor counts from
when it answered and waits a margin longer. Whatever the delay between them, the holder has stopped
before the grantor reassigns anything, as long as their clocks drift apart by less than the
margins during one lease.
"""

from __future__ import annotations

import attrs


@attrs.define
class HeldLease:
    """The holder's side; not valid before the first renewal."""

    margin_s: float
    until_s: float = float("-inf")

    def record_renewal(self, sent_at_s: float, lease_s: float) -> None:
        """Extend the lease by a renewal sent at ``sent_at_s``; an older one has no effect."""
        self.until_s = max(self.until_s, sent_at_s + lease_s - self.margin_s)

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the lease is valid, so that the holder may act."""
        return now_s < self.until_s


@attrs.define
class GrantedLeases:
    """The grantor's side: until when each box may consider its lease valid."""

    lease_s: float
    margin_s: float
    expires_at_s: dict[str, float] = attrs.field(factory=dict)

    def assume_granted(self, box: str, now_s: float) -> None:
        """Assume after a restart that ``box`` was granted a lease just before it."""
        self.renew(box, now_s)

    def renew(self, box: str, now_s: float) -> None:
        """Grant or renew the lease of a box."""
        self.expires_at_s[box] = now_s + self.lease_s + self.margin_s

    def may_be_valid(self, box: str, now_s: float) -> bool:
        """Tell whether the box may still consider its lease valid."""
        return now_s < self.expires_at_s.get(box, float("-inf"))

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove and return the boxes whose lease has ended."""
        ended = [box for box, at_s in self.expires_at_s.items() if now_s >= at_s]
        for box in ended:
            del self.expires_at_s[box]
        return ended


def may_renew_lease(version: int, newest_version: int, *, holds_lease: bool) -> bool:
    """Tell whether a box that uses configuration ``version`` may have its lease renewed.

    A box that is behind the newest configuration and holds no lease must fetch that configuration
    first. The leader and the box both apply this rule. If such a box had a lease all the same, one
    that returns after a power loss would delay the acknowledgement of every change until it has
    fetched the newest configuration, and callers would be sent to it before it can serve.

    >>> may_renew_lease(4, 5, holds_lease=True), may_renew_lease(4, 5, holds_lease=False)
    (True, False)
    """
    return version >= newest_version or holds_lease
