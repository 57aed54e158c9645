"""Asks control boxes who leads, for a box that has no part in the replicated state."""

from __future__ import annotations

import random
import threading

from croftpulley import errors
from croftpulley.observe import metrics
from croftpulley.transport import box_messages, json_codec, links

LEADER_PATH = "/v1/replica/leader"
_TIMEOUT_S = 0.2
"""Operators wait a second for an answer: three boxes that are down may be asked before another."""
_MOST_ASKED = 4


class LeaderFinder:
    """Finds the leader when it is asked for; may be called by several threads."""

    def __init__(
        self, addresses: tuple[str, ...], counters: metrics.Metrics, chance: random.Random
    ) -> None:
        self._first_addresses = addresses
        self._told_addresses: tuple[str, ...] = ()
        self._leader = ""
        self._links = links.Links(_TIMEOUT_S, counters)
        self._chance = chance
        self._lock = threading.Lock()

    def use_addresses(self, addresses: tuple[str, ...]) -> None:
        """Ask at these addresses, and at those that control boxes told, from now on."""
        with self._lock:
            self._first_addresses = addresses

    def find(self) -> str:
        """Return the address at which other boxes reach the leader, empty if nobody tells one."""
        with self._lock:
            for address in self._in_turn():
                answer = self._ask(address)
                if answer is None:
                    continue
                self._told_addresses = answer.control_addresses
                if answer.leader_address:
                    self._leader = answer.leader_address
                    return answer.leader_address
            self._leader = ""
            return ""

    def _in_turn(self) -> list[str]:
        """Return whom to ask: the last leader first, the others by chance."""
        others = set(self._first_addresses) | set(self._told_addresses)
        ordered = sorted(others - {self._leader})
        self._chance.shuffle(ordered)
        first = [self._leader] if self._leader else []
        return [*first, *ordered][:_MOST_ASKED]

    def _ask(self, address: str) -> box_messages.LeaderAnswer | None:
        try:
            body = self._links.to(address).post(LEADER_PATH, b"{}")
            return json_codec.decode(body, box_messages.LeaderAnswer)
        except errors.CroftpulleyError:
            # Counted by the link; the next box is asked.
            return None
