"""Claims the idempotency key of a call before the call is sent, and records the outcome."""

from __future__ import annotations

import hashlib
import logging
import uuid

from croftpulley import codes, errors
from croftpulley.core import claims
from croftpulley.filters import base, identify
from croftpulley.observe import events
from croftpulley.transport import control_client

_LOG = logging.getLogger(__name__)


class Claim(base.Filter):
    """Lets a call with an idempotency key run at most once.

    A call that the service lists as unrepeatable must have a key.
    """

    def __init__(self, control: control_client.ControlClient) -> None:
        self._control = control

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Claim the key and pass the call on, or return the outcome recorded for the key.

        Raises `errors.CroftpulleyError`: BAD_REQUEST, KEY_REQUIRED, KEY_CONFLICT, OUTCOME_UNKNOWN.
        """
        key = exchange.request.header("idempotency-key")
        if not key:
            _require_key(exchange)
            return proceed(exchange)
        if len(key) > identify.MAX_NAME_LENGTH or not key.isprintable():
            raise errors.CroftpulleyError(
                codes.ResultCode.BAD_REQUEST,
                f"the Idempotency-Key must be at most {identify.MAX_NAME_LENGTH} printable"
                " characters",
            )
        answer = self._control.claim(
            exchange.workspace_name, key, _call_digest(exchange), uuid.uuid4().hex
        )
        if answer.state is not claims.ClaimState.FRESH:
            return _reply_from_claim(answer)
        return self._run_once(exchange, key, proceed)

    def _run_once(self, exchange: base.Exchange, key: str, proceed: base.Proceed) -> base.Reply:
        """Run the claimed call; its key is freed only if the call is known not to have run."""
        try:
            reply = proceed(exchange)
        except errors.CroftpulleyError:
            if exchange.attempts.run_state is codes.RunState.NOT_RUN:
                self._record(exchange, key, claims.Outcome(codes.RunState.NOT_RUN, 0, "", b""))
            else:
                _emit(events.Event.CALL_OUTCOME_UNKNOWN, exchange)
            raise
        if isinstance(reply, base.CompleteReply):
            outcome = claims.Outcome(
                codes.RunState.RAN, reply.http_status, reply.content_type, reply.body
            )
            self._record(exchange, key, outcome)
        return reply

    def _record(self, exchange: base.Exchange, key: str, outcome: claims.Outcome) -> None:
        """Record the outcome; a failure to do so is logged and doesn't change the response."""
        try:
            self._control.record(exchange.workspace_name, key, outcome)
        except errors.CroftpulleyError:
            _emit(events.Event.OUTCOME_NOT_RECORDED, exchange)


def _require_key(exchange: base.Exchange) -> None:
    call = exchange.request.service_call
    if call is None or exchange.service is None:
        return
    if call.call in exchange.service.unrepeatable_calls:
        raise errors.CroftpulleyError(codes.ResultCode.KEY_REQUIRED)


def _call_digest(exchange: base.Exchange) -> str:
    """Return a digest of the whole call, which detects a key that is reused for another call."""
    call = exchange.request.service_call
    path = f"{call.service}/{call.call}" if call else ""
    digest = hashlib.sha256(f"{path}\n{exchange.request.content_type}\n".encode())
    digest.update(exchange.request.body)
    return digest.hexdigest()


def _reply_from_claim(answer: claims.ClaimAnswer) -> base.Reply:
    if answer.state is claims.ClaimState.CONFLICT:
        raise errors.CroftpulleyError(codes.ResultCode.KEY_CONFLICT)
    if answer.outcome is None:
        raise errors.CroftpulleyError(
            codes.ResultCode.OUTCOME_UNKNOWN, run_state=codes.RunState.UNKNOWN
        )
    outcome = answer.outcome
    return base.CompleteReply(outcome.http_status, outcome.content_type, outcome.body)


def _emit(event: events.Event, exchange: base.Exchange) -> None:
    events.emit(_LOG, event, level=logging.WARNING, request_id=exchange.request.request_id)
