"""Where the control boxes are, as they announce it to boxes that may have no other way to know.

An announced address only says where to ask: who leads and who may vote is decided by the replicas
alone.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.2
"""After an announcement without an answer, and while one that has changed is not acknowledged."""
FRESH_S = 5.0
"""An announcement that was not repeated for this long gives way to one of a lower rank."""
CHECK_INTERVAL_S = 0.1
MAX_DUE = 16
"""Announcements sent at a time, since each takes a thread until it is answered or times out."""


@attrs.frozen(kw_only=True)
class ControlAnnouncement:
    """The addresses of the control boxes that one of them knows, and the newest term that it knows.

    ``leader_address`` is empty if the announcing box knows no leader.
    """

    term: int
    addresses: tuple[str, ...]
    leader_address: str = ""
    is_from_leader: bool = False

    @property
    def rank(self) -> tuple[int, bool]:
        """Order by which announcements of several control boxes replace each other.

        >>> old = ControlAnnouncement(term=3, addresses=(), is_from_leader=True)
        >>> old.rank < ControlAnnouncement(term=4, addresses=()).rank
        True
        """
        return self.term, self.is_from_leader


@attrs.define
class HeardAnnouncements:
    """The announcement that a box acts on. Not thread-safe."""

    _newest: ControlAnnouncement | None = None
    _heard_at_s: float = float("-inf")

    @property
    def newest(self) -> ControlAnnouncement | None:
        """The announcement to act on, ``None`` before the first."""
        return self._newest

    @property
    def addresses(self) -> tuple[str, ...]:
        """Where to ask: the leader first; empty before the first announcement."""
        if self._newest is None:
            return ()
        leader = (self._newest.leader_address,) if self._newest.leader_address else ()
        return tuple(dict.fromkeys((*leader, *self._newest.addresses)))

    def hear(self, announcement: ControlAnnouncement, now_s: float) -> bool:
        """Take up an announcement unless a newer one is still fresh; return whether it is new."""
        held = self._newest
        is_fresh = now_s - self._heard_at_s < FRESH_S
        if held is not None and announcement.rank < held.rank and is_fresh:
            return False
        self._newest = announcement
        self._heard_at_s = now_s
        return announcement != held


@attrs.define
class _Recipient:
    due_at_s: float = float("-inf")
    acknowledged: ControlAnnouncement | None = None
    is_in_flight: bool = False


@attrs.define
class AnnouncementSchedule:
    """Decides when a control box sends its announcement to which address."""

    _recipients: dict[str, _Recipient] = attrs.field(factory=dict)

    def take_due(
        self, addresses: Iterable[str], announcement: ControlAnnouncement, now_s: float
    ) -> list[str]:
        """Return the addresses to send to now, those that waited longest first.

        Addresses that are not given any more are forgotten.
        """
        self._recipients = {
            each: self._recipients.get(each, _Recipient()) for each in dict.fromkeys(addresses)
        }
        due = [
            (recipient.due_at_s, address)
            for address, recipient in self._recipients.items()
            if not recipient.is_in_flight and self._is_due(recipient, announcement, now_s)
        ]
        taken = [address for _, address in sorted(due)[:MAX_DUE]]
        for address in taken:
            self._recipients[address].is_in_flight = True
        return taken

    @staticmethod
    def _is_due(recipient: _Recipient, announcement: ControlAnnouncement, now_s: float) -> bool:
        if recipient.acknowledged not in (None, announcement):
            return True
        return now_s >= recipient.due_at_s

    def record_answer(self, address: str, announcement: ControlAnnouncement, now_s: float) -> None:
        """Record that ``address`` took the announcement."""
        self._record(address, announcement, now_s + INTERVAL_S)

    def record_failure(self, address: str, now_s: float) -> None:
        """Record that ``address`` did not answer."""
        self._record(address, None, now_s + RETRY_INTERVAL_S)

    def _record(
        self, address: str, acknowledged: ControlAnnouncement | None, due_at_s: float
    ) -> None:
        if address in self._recipients:
            self._recipients[address] = _Recipient(due_at_s, acknowledged)

    @property
    def in_flight(self) -> set[str]:
        """The addresses from which an answer is still expected."""
        return {each for each, recipient in self._recipients.items() if recipient.is_in_flight}
