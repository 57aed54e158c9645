"""Finds the control leader for a box that does not take part in replication."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from croftpulley import errors
from croftpulley.core import control_announcements
from croftpulley.observe import metrics
from croftpulley.transport import box_messages, json_codec, links

LEADER_PATH = "/v1/replica/leader"
_TIMEOUT_S = 0.2
"""Operators wait 1 s for an answer, so up to three boxes that are down may be asked before one that
answers."""
_MAX_ASKED = 4


class LeaderFinder:
    """Finds the leader by asking control boxes, one after the other. Thread-safe."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        announced: Callable[[], control_announcements.ControlAnnouncement | None],
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._configured_addresses = addresses
        self._announced = announced
        self._learned_addresses: tuple[str, ...] = ()
        self._leader = ""
        self._links = links.Links(_TIMEOUT_S, counters)
        self._rng = rng
        self._lock = threading.Lock()

    def use_addresses(self, addresses: tuple[str, ...]) -> None:
        """Replace the configured addresses; those learned from control boxes are asked as well."""
        with self._lock:
            self._configured_addresses = addresses

    def find(self) -> str:
        """Return the leader's address for other boxes, empty if no box that was asked knows it."""
        with self._lock:
            for address in self._addresses_to_ask():
                answer = self._ask(address)
                if answer is None:
                    continue
                self._learned_addresses = answer.control_addresses or self._learned_addresses
                if answer.leader_address:
                    self._leader = answer.leader_address
                    return answer.leader_address
            self._leader = ""
            return ""

    def _addresses_to_ask(self) -> list[str]:
        """Return the addresses to ask.

        The leader comes first, as last found or announced, then what was announced, then the
        others, each group in random order.
        """
        announced = self._announced()
        leaders = [self._leader, announced.leader_address if announced else ""]
        told = self._shuffled(announced.addresses if announced else ())
        others = self._shuffled((*self._configured_addresses, *self._learned_addresses))
        ordered = dict.fromkeys((*leaders, *told, *others))
        return [each for each in ordered if each][:_MAX_ASKED]

    def _shuffled(self, addresses: tuple[str, ...]) -> list[str]:
        ordered = sorted(set(addresses))
        self._rng.shuffle(ordered)
        return ordered

    def _ask(self, address: str) -> box_messages.LeaderAnswer | None:
        try:
            body = self._links.to(address).post(LEADER_PATH, b"{}")
            return json_codec.decode(body, box_messages.LeaderAnswer)
        except errors.CroftpulleyError:
            # The link has counted the failure; the caller asks the next box.
            return None
