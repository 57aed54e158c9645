"""Client of the control boxes' gRPC service, for entry boxes."""

from __future__ import annotations

import abc
from typing import Any

import grpc
from google.protobuf import message

from croftpulley import codes, errors
from croftpulley.core import claims
from croftpulley.observe import metrics
from croftpulley.transport import channels, codec, messages
from croftpulley.transport._generated import fleet_pb2 as wire
from croftpulley.transport._generated import fleet_pb2_grpc as services


class ControlClient(abc.ABC):
    """An entry box's access to the replicated state.

    Every method raises `errors.CroftpulleyError` (CONTROL_UNREACHABLE) if no control box answers in
    time; it is then unknown whether the request was carried out.
    """

    @abc.abstractmethod
    def renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        """Renew the box's lease and return the state that changed."""

    @abc.abstractmethod
    def claim(self, workspace: str, key: str, digest: str, claim_id: str) -> claims.ClaimAnswer:
        """Claim a call that must not run twice, under its idempotency key."""

    @abc.abstractmethod
    def record(self, workspace: str, key: str, outcome: claims.Outcome) -> bool:
        """Record a claimed call's outcome; return whether it was accepted."""


class GrpcControlClient(ControlClient):
    """Tries the control boxes in order, starting with the one that answered the previous call."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        timeout_s: float,
        pool: channels.Channels,
        counters: metrics.Metrics,
    ) -> None:
        self._channels = pool
        self._preferred_index = 0
        self.use_addresses(addresses)
        self._timeout_s = timeout_s
        self._counters = counters

    def use_addresses(self, addresses: tuple[str, ...]) -> None:
        """Replace the list of control boxes."""
        self._stubs = [services.ControlStub(self._channels.to(address)) for address in addresses]

    def renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        """Renew the box's lease and return the state that changed."""
        request = codec.renewal_to_wire(renewal)
        reply: wire.RenewReply = self._call_first_reachable("Renew", request)
        return codec.renewal_answer_from_wire(reply)

    def claim(self, workspace: str, key: str, digest: str, claim_id: str) -> claims.ClaimAnswer:
        """Claim a call; a retry at another box is safe because it has the same claim id."""
        request = wire.ClaimRequest(workspace=workspace, key=key, digest=digest, claim_id=claim_id)
        reply: wire.ClaimReply = self._call_first_reachable("Claim", request)
        return codec.claim_answer_from_wire(reply)

    def record(self, workspace: str, key: str, outcome: claims.Outcome) -> bool:
        """Record a claimed call's outcome."""
        request = wire.OutcomeRequest(
            workspace=workspace, key=key, outcome=codec.outcome_to_wire(outcome)
        )
        reply: wire.OutcomeReply = self._call_first_reachable("RecordOutcome", request)
        return reply.recorded

    def _call_first_reachable(self, method: str, request: message.Message) -> Any:
        """Call ``method`` at each control box until one answers, and return its reply.

        Raises `errors.CroftpulleyError` (CONTROL_UNREACHABLE) if none does.
        """
        stubs = self._stubs
        for offset in range(len(stubs)):
            position = (self._preferred_index + offset) % len(stubs)
            call = getattr(stubs[position], method)
            try:
                reply = call(request, timeout=self._timeout_s)
            except grpc.RpcError:
                continue
            self._preferred_index = position
            self._counters.control_bytes(method, request.ByteSize(), reply.ByteSize())
            return reply
        raise errors.CroftpulleyError(codes.ResultCode.CONTROL_UNREACHABLE)
