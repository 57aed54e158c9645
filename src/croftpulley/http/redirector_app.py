"""The application for the fleet's own boxes on a control box without a disk.

It keeps what control boxes announced to it and passes only that on, so that two such boxes cannot
keep an address alive between them.
"""

from __future__ import annotations

import logging
import random
import threading

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.core import control_announcements as announcements
from croftpulley.core.replication import messages as replication
from croftpulley.http import wsgi
from croftpulley.observe import events, metrics
from croftpulley.transport import box_messages, json_codec, leader_finder, replica_codec

_LOG = logging.getLogger(__name__)


class RedirectorApp:
    """Hears announcements, and answers boxes and replicas with where to ask. Thread-safe."""

    def __init__(self, clock: clocks.Clock, counters: metrics.Metrics, rng: random.Random) -> None:
        self._clock = clock
        self._counters = counters
        self._rng = rng
        self._heard = announcements.HeardAnnouncements()
        self._lock = threading.Lock()

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Answer one message."""
        wsgi.require_method(request, "POST")
        match request.path:
            case box_messages.CONTROL_ANNOUNCEMENTS_PATH:
                body = self._hear(request.body)
            case leader_finder.LEADER_PATH:
                body = json_codec.encode(self._leader())
            case replica_codec.JOIN_PATH:
                body = json_codec.encode(self._join())
            case box_messages.RENEWALS_PATH:
                body = json_codec.encode(self._renew())
            case _:
                raise errors.CroftpulleyError(
                    codes.ResultCode.NOT_FOUND, f"got path {request.path!r}"
                )
        self._counters.control_bytes(request.path, len(body), len(request.body))
        return wsgi.Response(200, wsgi.JSON, body)

    def newest(self) -> announcements.ControlAnnouncement | None:
        """Return the announcement to act on, ``None`` before the first."""
        with self._lock:
            return self._heard.newest

    def _hear(self, body: bytes) -> bytes:
        announcement = json_codec.decode(body, announcements.ControlAnnouncement)
        with self._lock:
            is_new = self._heard.hear(announcement, self._clock.monotonic_s())
        if is_new:
            _log_announced(announcement)
        return json_codec.encode(box_messages.ControlAnnouncementAck())

    def _leader(self) -> box_messages.LeaderAnswer:
        newest = self.newest()
        if newest is None:
            return box_messages.LeaderAnswer()
        return box_messages.LeaderAnswer(
            leader_address=newest.leader_address, control_addresses=newest.addresses
        )

    def _join(self) -> replication.JoinReply:
        """Send a replica to the leader, or to any control box that may know it."""
        newest = self.newest()
        if newest is None:
            return replication.JoinReply(taken=False, leader_address="")
        address = newest.leader_address or self._rng.choice(newest.addresses or ("",))
        return replication.JoinReply(taken=False, leader_address=address)

    def _renew(self) -> box_messages.BoxReportAnswer:
        newest = self.newest()
        leader_address = newest.leader_address if newest else ""
        return box_messages.BoxReportAnswer(
            leader_address=leader_address, announced=newest, is_from_redirector=True
        )


def _log_announced(announcement: announcements.ControlAnnouncement) -> None:
    """Log that this box was told where the control boxes are."""
    events.emit(
        _LOG,
        events.Event.CONTROL_ANNOUNCED,
        leader_address=announcement.leader_address,
        control_addresses=list(announcement.addresses),
        term=announcement.term,
    )
