"""The application for our own boxes on a control box: replicas and routers."""

from __future__ import annotations

from typing import Any

import pykka

from croftpulley import codes, errors
from croftpulley.controllers import (
    actors,
    configuration_parts,
    replica,
    replica_standing,
    suspect_register,
)
from croftpulley.core import configuration_transfer, control_announcements
from croftpulley.core.replication import messages as replication
from croftpulley.http import wsgi
from croftpulley.observe import metrics
from croftpulley.transport import box_messages, json_codec, leader_finder, replica_codec

_ASK_TIMEOUT_S = 1.0
"""Longer than any link waits, so that no thread is held by a controller that waits for its disk."""


class ReplicaApp:
    """Decodes, asks the controllers, encodes."""

    def __init__(
        self,
        replica_controller: pykka.ActorRef[Any],
        session_controller: pykka.ActorRef[Any],
        configuration: configuration_parts.ConfigurationParts,
        register: suspect_register.SuspectRegister,
        replica_status: actors.View[replica_standing.ReplicaStatus],
        counters: metrics.Metrics,
    ) -> None:
        self._replica = replica_controller
        self._sessions = session_controller
        self._configuration = configuration
        self._register = register
        self._replica_status = replica_status
        self._counters = counters

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Answer one message."""
        wsgi.require_method(request, "POST")
        match request.path:
            case replica_codec.REQUEST_PATH:
                body = self._replica_request(request.body)
            case replica_codec.JOIN_PATH:
                body = self._join(request.body)
            case box_messages.RENEWALS_PATH:
                body = self._renew(request.body)
            case box_messages.CONTROL_ANNOUNCEMENTS_PATH:
                body = self._hear(request.body)
            case leader_finder.LEADER_PATH:
                body = self._leader()
            case box_messages.CONFIGURATION_PARTS_PATH:
                body = self._part(request.body)
            case box_messages.SUSPECT_REPORTS_PATH:
                body = self._suspect_report(request.body)
            case box_messages.TRIALS_PATH:
                body = self._trial(request.body)
            case _:
                raise errors.CroftpulleyError(
                    codes.ResultCode.NOT_FOUND, f"got path {request.path!r}"
                )
        self._counters.control_bytes(request.path, len(body), len(request.body))
        return wsgi.Response(200, wsgi.JSON, body)

    def _replica_request(self, body: bytes) -> bytes:
        request = json_codec.decode(body, replica_codec.REQUEST)
        reply = self._ask(self._replica, replica.Receive(request))
        if reply is None:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_FOUND, "this is another replica, or its disk refuses"
            )
        return json_codec.encode(reply, replica_codec.REPLY)

    def _join(self, body: bytes) -> bytes:
        request = json_codec.decode(body, replication.JoinRequest)
        return json_codec.encode(self._ask(self._replica, replica.Join(request)))

    def _renew(self, body: bytes) -> bytes:
        report = json_codec.decode(body, box_messages.BoxReport)
        return json_codec.encode(self._ask(self._sessions, report))

    def _part(self, body: bytes) -> bytes:
        request = json_codec.decode(body, configuration_transfer.ConfigurationRequest)
        return json_codec.encode(self._configuration.answer(request))

    def _suspect_report(self, body: bytes) -> bytes:
        report = json_codec.decode(body, box_messages.SuspectReport)
        return json_codec.encode(self._register.report(report))

    def _trial(self, body: bytes) -> bytes:
        request = json_codec.decode(body, box_messages.TrialRequest)
        return json_codec.encode(self._register.begin_trial(request))

    def _hear(self, body: bytes) -> bytes:
        announcement = json_codec.decode(body, control_announcements.ControlAnnouncement)
        self._replica.tell(replica.LeaderAnnounced(announcement.leader_address))
        return json_codec.encode(box_messages.ControlAnnouncementAck())

    def _leader(self) -> bytes:
        status = self._replica_status.get()
        answer = box_messages.LeaderAnswer(
            leader_address=status.leader_address, control_addresses=status.addresses
        )
        return json_codec.encode(answer)

    @staticmethod
    def _ask(controller: pykka.ActorRef[Any], message: object) -> Any:
        try:
            answer = controller.ask(message, timeout=_ASK_TIMEOUT_S)
        except (pykka.Timeout, pykka.ActorDeadError) as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.CONTROL_UNREACHABLE, f"no answer: {type(failure).__name__}"
            ) from failure
        if isinstance(answer, Exception):
            raise answer
        return answer
