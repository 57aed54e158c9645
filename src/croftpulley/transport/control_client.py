"""What an entry box asks of the control boxes."""

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
    """The replicated state as an entry box sees it.

    Every method raises `errors.CroftpulleyError` (CONTROL_UNREACHABLE) when no control box answers
    in time; the request may then have been carried out or not.
    """

    @abc.abstractmethod
    def renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        """Renew the box's lease and learn what changed."""

    @abc.abstractmethod
    def claim(self, workspace: str, key: str, digest: str, claim_id: str) -> claims.ClaimAnswer:
        """Claim a call that may not be repeated."""

    @abc.abstractmethod
    def record(self, workspace: str, key: str, outcome: claims.Outcome) -> bool:
        """Record a claimed call's outcome; return whether it was taken."""


class GrpcControlClient(ControlClient):
    """Asks the control boxes in turn, beginning with the one that answered last."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        timeout_s: float,
        pool: channels.Channels,
        counters: metrics.Metrics,
    ) -> None:
        self._pool = pool
        self._first = 0
        self.use_addresses(addresses)
        self._timeout_s = timeout_s
        self._counters = counters

    def use_addresses(self, addresses: tuple[str, ...]) -> None:
        """Ask these control boxes from now on."""
        self._stubs = [services.ControlStub(self._pool.to(address)) for address in addresses]

    def renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        """Renew the box's lease and learn what changed."""
        request = codec.renewal_to_wire(renewal)
        reply: wire.RenewReply = self._ask("Renew", request)
        return codec.renewal_answer_from_wire(reply)

    def claim(self, workspace: str, key: str, digest: str, claim_id: str) -> claims.ClaimAnswer:
        """Claim a call; asking a second box is safe, since the claim id is the same."""
        request = wire.ClaimRequest(workspace=workspace, key=key, digest=digest, claim_id=claim_id)
        reply: wire.ClaimReply = self._ask("Claim", request)
        return codec.claim_answer_from_wire(reply)

    def record(self, workspace: str, key: str, outcome: claims.Outcome) -> bool:
        """Record a claimed call's outcome."""
        request = wire.OutcomeRequest(
            workspace=workspace, key=key, outcome=codec.outcome_to_wire(outcome)
        )
        reply: wire.OutcomeReply = self._ask("RecordOutcome", request)
        return reply.recorded

    def _ask(self, method: str, request: message.Message) -> Any:
        """Call ``method`` at the first control box that answers."""
        stubs = self._stubs
        for step in range(len(stubs)):
            position = (self._first + step) % len(stubs)
            call = getattr(stubs[position], method)
            try:
                reply = call(request, timeout=self._timeout_s)
            except grpc.RpcError:
                continue
            self._first = position
            self._counters.control_bytes(method, request.ByteSize(), reply.ByteSize())
            return reply
        raise errors.CroftpulleyError(codes.ResultCode.CONTROL_UNREACHABLE)
