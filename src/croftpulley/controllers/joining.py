"""When and where a replica sends join requests: at its first start, or once it is isolated."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

_RETRY_INTERVAL_S = 0.3
ISOLATED_AFTER_S = 2.0
"""A replica that has heard from no other for this long sends join requests to the addresses in its
settings, since all those in its log may have been replaced. Elections finish within a second."""


@attrs.define
class JoinSchedule:
    """Schedules the join requests of the replica at ``own_address``."""

    own_address: str
    seed_addresses: Sequence[str]
    """From the settings; may include the own address."""
    last_contact_s: float
    """When a message of another replica last arrived."""
    _next_attempt_s: float = float("-inf")
    _leader_hint: str = ""

    def next_address(self, now_s: float, rng: random.Random, *, must_join: bool) -> str:
        """Return the address to send a join request to now, empty if none is due.

        That is the leader if a box has named it in its last reply, else a random seed address.
        """
        is_isolated = now_s - self.last_contact_s > ISOLATED_AFTER_S
        if now_s < self._next_attempt_s or not (must_join or is_isolated):
            return ""
        self._next_attempt_s = now_s + _RETRY_INTERVAL_S
        others = [each for each in self.seed_addresses if each != self.own_address]
        address = self._leader_hint or (rng.choice(others) if others else "")
        self._leader_hint = ""
        return address

    def set_leader_hint(self, address: str) -> None:
        """Send the next request to the leader that a box named.

        Ignored if it is empty or this replica.
        """
        if address not in ("", self.own_address):
            self._leader_hint = address
