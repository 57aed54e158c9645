"""The controller of a control box that announces where the control boxes are.

It tells the seeds in its settings that are no control boxes with a disk, and, while this box leads,
everyone whom the leader expects to hear from and does not: such a box may have started again with
seeds that know nothing.
"""

from __future__ import annotations

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, replica_standing
from croftpulley.core import control_announcements as announcements
from croftpulley.core.replication import state as states
from croftpulley.transport import box_messages, json_codec, senders


@attrs.frozen
class SetSeedAddresses:
    """Replaces the addresses to which this box announces the control boxes."""

    addresses: tuple[str, ...]


@attrs.frozen
class _Answered:
    address: str
    announcement: announcements.ControlAnnouncement


@attrs.frozen
class _Failed:
    address: str


class AnnouncementController(actors.Controller):
    """Sends `box_messages.CONTROL_ANNOUNCEMENTS_PATH` messages at each tick to whom it is due."""

    def __init__(
        self,
        own_address: str,
        seed_addresses: tuple[str, ...],
        replica_status: actors.View[replica_standing.ReplicaStatus],
        silent_boxes: actors.View[tuple[str, ...]],
        message_senders: senders.Senders,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._own_address = own_address
        self._seed_addresses = seed_addresses
        self._replica_status = replica_status
        self._silent_boxes = silent_boxes
        self._senders = message_senders
        self._clock = clock
        self._schedule = announcements.AnnouncementSchedule()

    def on_stop(self) -> None:
        """Close the connections."""
        self._senders.retain(set())

    def handle(self, message: object) -> None:
        """Send what is due, or record how a message ended."""
        now_s = self._clock.monotonic_s()
        match message:
            case actors.Tick():
                self._announce(now_s)
            case SetSeedAddresses(addresses):
                self._seed_addresses = addresses
            case _Answered(address, announcement):
                self._schedule.record_answer(address, announcement, now_s)
            case _Failed(address):
                self._schedule.record_failure(address, now_s)

    def _announce(self, now_s: float) -> None:
        status = self._replica_status.get()
        if not status.addresses:
            return
        announcement = announcements.ControlAnnouncement(
            term=status.term,
            addresses=status.addresses,
            leader_address=status.leader_address,
            is_from_leader=status.role is states.Role.LEADER,
        )
        for address in self._schedule.take_due(self._recipients(status), announcement, now_s):
            self._send(address, announcement)
        self._senders.retain({*self._seed_addresses, *self._schedule.in_flight})

    def _recipients(self, status: replica_standing.ReplicaStatus) -> list[str]:
        """Return whom to tell; other members hear of the leader by its heartbeats."""
        seeds = [each for each in self._seed_addresses if each not in status.addresses]
        # A member whose disk was lost is another replica at the same address.
        silent = [*status.silent_addresses, *self._silent_boxes.get()]
        return [each for each in (*seeds, *silent) if each != self._own_address]

    def _send(self, address: str, announcement: announcements.ControlAnnouncement) -> None:
        def on_answer(_body: bytes) -> None:
            self.tell_self(_Answered(address, announcement))

        def on_failure(_failure: errors.CroftpulleyError) -> None:
            # The link has counted the failure.
            self.tell_self(_Failed(address))

        body = json_codec.encode(announcement)
        path = box_messages.CONTROL_ANNOUNCEMENTS_PATH
        self._senders.to(address).send(senders.Job(path, body, on_answer, on_failure))
