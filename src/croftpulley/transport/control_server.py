"""The control box's gRPC service: converts messages and delegates to a handler."""

from __future__ import annotations

import abc

import grpc

from croftpulley.core import claims
from croftpulley.observe import metrics
from croftpulley.transport import codec, messages
from croftpulley.transport._generated import fleet_pb2 as wire
from croftpulley.transport._generated import fleet_pb2_grpc as services


class ControlHandler(abc.ABC):
    """The operations behind the service, implemented by the control daemon."""

    @abc.abstractmethod
    def renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        """Renew a box's lease and return the state that changed."""

    @abc.abstractmethod
    def claim(self, workspace: str, key: str, digest: str, claim_id: str) -> claims.ClaimAnswer:
        """Claim a call that must not run twice, under its idempotency key."""

    @abc.abstractmethod
    def record(self, workspace: str, key: str, outcome: claims.Outcome) -> bool:
        """Record a claimed call's outcome; return whether it was accepted."""


class ControlService(services.ControlServicer):
    """Implements the generated service by a `ControlHandler` and counts the bytes of each call."""

    def __init__(self, handler: ControlHandler, counters: metrics.Metrics) -> None:
        self._handler = handler
        self._counters = counters

    def Renew(  # noqa: D102
        self, request: wire.RenewRequest, context: grpc.ServicerContext
    ) -> wire.RenewReply:
        answer = self._handler.renew(codec.renewal_from_wire(request))
        reply = codec.renewal_answer_to_wire(answer)
        self._counters.control_bytes("Renew", reply.ByteSize(), request.ByteSize())
        return reply

    def Claim(  # noqa: D102
        self, request: wire.ClaimRequest, context: grpc.ServicerContext
    ) -> wire.ClaimReply:
        answer = self._handler.claim(
            request.workspace, request.key, request.digest, request.claim_id
        )
        reply = codec.claim_answer_to_wire(answer)
        self._counters.control_bytes("Claim", reply.ByteSize(), request.ByteSize())
        return reply

    def RecordOutcome(  # noqa: D102
        self, request: wire.OutcomeRequest, context: grpc.ServicerContext
    ) -> wire.OutcomeReply:
        outcome = codec.outcome_from_wire(request.outcome)
        recorded = self._handler.record(request.workspace, request.key, outcome)
        reply = wire.OutcomeReply(recorded=recorded)
        self._counters.control_bytes("RecordOutcome", reply.ByteSize(), request.ByteSize())
        return reply
