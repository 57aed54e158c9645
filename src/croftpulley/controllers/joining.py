"""When a replica asks to be taken in, and whom: at its first start, or once it lost the others."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

_INTERVAL_S = 0.3
LOST_AFTER_S = 2.0
"""A replica that has heard no other for so long asks at the addresses that its settings name:
those in its log may all have been exchanged. Elections settle within a second."""


@attrs.define
class Joining:
    """Asks of one replica at ``own_address``; ``known`` are addresses from its settings."""

    own_address: str
    known: Sequence[str]
    heard_at_s: float
    """When it last heard another replica."""
    _ask_at_s: float = float("-inf")
    _leader_address: str = ""

    def next_address(self, now_s: float, chance: random.Random, *, must_join: bool) -> str:
        """Return whom to ask now, empty if nobody.

        That is the leader where a box that was asked has told it, else any known one.
        """
        is_lost = now_s - self.heard_at_s > LOST_AFTER_S
        if now_s < self._ask_at_s or not (must_join or is_lost):
            return ""
        self._ask_at_s = now_s + _INTERVAL_S
        others = [each for each in self.known if each != self.own_address]
        address = self._leader_address or (chance.choice(others) if others else "")
        self._leader_address = ""
        return address

    def told_leader(self, address: str) -> None:
        """Take what a box that was asked has said of the leader."""
        if address != self.own_address:
            self._leader_address = address
