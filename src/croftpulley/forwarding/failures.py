"""The error that a caller gets after failed attempts, and the log lines about attempts."""

from __future__ import annotations

import logging
from typing import Any

from croftpulley import codes, errors
from croftpulley.core import membership
from croftpulley.forwarding import base
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
_UNAVAILABLE = 503
_ATTEMPT_FAILURES = (codes.ResultCode.WORKER_UNREACHABLE, codes.ResultCode.WORKER_BROKE)


def error_for_caller(
    exchange: base.Exchange, failure: errors.CroftpulleyError
) -> errors.CroftpulleyError:
    """Return the error for the caller: its run state covers all attempts, not just the last one.

    A 503 is returned only if no attempt can have run. The code of ``failure`` is replaced if the
    request was cancelled or if it contradicts the run state of all attempts.
    """
    run_state = exchange.attempts.run_state
    code = failure.code
    if exchange.token.reason is not None:
        code = exchange.token.reason
    elif run_state is codes.RunState.NOT_RUN and code in _ATTEMPT_FAILURES:
        code = codes.ResultCode.DECLINED
    elif run_state is not codes.RunState.NOT_RUN and codes.INFO[code].http_status == _UNAVAILABLE:
        code = codes.ResultCode.WORKER_BROKE
    retry_after_s = failure.retry_after_s if code is failure.code else None
    return errors.CroftpulleyError(
        code, failure.detail, run_state=run_state, retry_after_s=retry_after_s
    )


def log_attempt(
    exchange: base.Exchange, endpoint: membership.Endpoint, failure: errors.CroftpulleyError
) -> None:
    """Log that an attempt at an endpoint failed."""
    events.emit(
        _LOG,
        events.Event.ENGINE_ATTEMPT_FAILED,
        level=logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=exchange.fingerprint,
        parts=exchange.facts.shared_part_ids,
        engine=endpoint.key,
        address=endpoint.address,
        version=endpoint.version,
        code=failure.code.name,
        run_state=failure.run_state.label,
        received_bytes=exchange.attempts.received_bytes,
        problem=failure.detail,
    )


def log_repeat(exchange: base.Exchange, failure: errors.CroftpulleyError) -> None:
    """Log that the request is sent to another endpoint after a failure."""
    _log_retry_decision(
        exchange,
        events.Event.REQUEST_REPEATED,
        code=failure.code.name,
        run_state=failure.run_state.label,
    )


def log_held_back(exchange: base.Exchange) -> None:
    """Log that the request is not repeated, since the shared retry budget is used up."""
    _log_retry_decision(exchange, events.Event.REPEAT_HELD_BACK)


def _log_retry_decision(exchange: base.Exchange, event: events.Event, **fields: Any) -> None:
    events.emit(
        _LOG,
        event,
        level=logging.WARNING,
        request_id=exchange.facts.request_id,
        attempts=len(exchange.attempts.attempts),
        **fields,
        **_retry_budget_fields(exchange),
    )


def _retry_budget_fields(exchange: base.Exchange) -> dict[str, Any]:
    """Return the log fields of the retry budget's decision; empty if it was not consulted."""
    if exchange.repeat is None:
        return {}
    return {
        "pool": exchange.pool,
        "repeats_spent": exchange.repeat.spent,
        "repeats_earned": round(exchange.repeat.earned, 2),
        "repeats_extra": round(exchange.repeat.extra, 2),
    }
