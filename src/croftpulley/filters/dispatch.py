"""The last filter for chats: finds an engine whose owner admits the request."""

from __future__ import annotations

import logging

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, state
from croftpulley.core import attempts, membership, rendezvous
from croftpulley.dispatch import local, remote
from croftpulley.filters import base
from croftpulley.observe import events, metrics
from croftpulley.transport import messages

_LOG = logging.getLogger(__name__)
_TRANSIENT_REFUSALS = (
    codes.ResultCode.NOT_OWNER,
    codes.ResultCode.LOAD_UNKNOWN,
    codes.ResultCode.NO_ENGINE,
    codes.ResultCode.NO_LEASE,
    codes.ResultCode.NO_CAPACITY,
)
"""Refusals that may end soon: when the engine gets its next owner, or a request there ends."""
_RETRY_INTERVAL_S = 0.05
"""The longest wait for a newer directory before the candidates are tried again."""


class Dispatch(base.Filter):
    """Tries the candidates in order until one admits the request and its response begins."""

    def __init__(
        self,
        box: str,
        local_dispatcher: local.LocalDispatcher,
        remote_dispatcher: remote.RemoteDispatcher,
        candidates_limit: int,
        view: actors.View[state.FleetState],
        admission_wait_s: float,
        clock: clocks.Clock,
        retry_interval_s: float = _RETRY_INTERVAL_S,
    ) -> None:
        self._box = box
        self._local = local_dispatcher
        self._remote = remote_dispatcher
        self._candidates_limit = candidates_limit
        self._view = view
        self._admission_wait_s = admission_wait_s
        self._retry_interval_s = retry_interval_s
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Start one attempt; raises `errors.CroftpulleyError` when no candidate admits it.

        While engines change owners, or all are full, no owner may admit a request. This is often
        short, so the candidates are retried until the admission wait is over: at once when the
        directory changes, and otherwise at an interval, since a new owner may learn of its engine
        later than this box does.
        """
        deadline_s = self._clock.monotonic_s() + self._admission_wait_s
        while True:
            try:
                return self._try_candidates(exchange)
            except local.NotAdmittedError as refusal:
                exchange.token.check()
                if (
                    refusal.code not in _TRANSIENT_REFUSALS
                    or self._clock.monotonic_s() >= deadline_s
                ):
                    raise
            self._refresh_candidates(exchange)

    def _refresh_candidates(self, exchange: base.Exchange) -> None:
        """Wait up to the retry interval for a newer directory; then use the latest one."""
        version = exchange.directory.version
        self._view.wait_for(
            lambda known: known.directory.version != version, self._retry_interval_s
        )
        if exchange.chat is not None:
            exchange.directory = self._view.get().directory
            exchange.candidates = rendezvous.engines_for(
                exchange.chat.chat_key, exchange.chat.pool, exchange.directory
            )

    def _try_candidates(self, exchange: base.Exchange) -> base.Reply:
        """Ask each candidate once, then the full ones again with their mean load."""
        loads: dict[str, int] = {}
        refusals: list[errors.CroftpulleyError] = []
        for engine in exchange.untried[: self._candidates_limit]:
            try:
                return self._attempt(exchange, engine, 0.0)
            except errors.CroftpulleyError as failure:
                refusals.append(failure)
                self._record_failure(exchange, engine, failure, loads)
        for _ in range(len(loads)):
            engine, mean = _least_loaded(exchange, loads)
            try:
                return self._attempt(exchange, engine, mean)
            except errors.CroftpulleyError as failure:
                refusals.append(failure)
                self._record_failure(exchange, engine, failure, loads)
            if not loads:
                break
        raise _overall_refusal(refusals)

    def _attempt(
        self, exchange: base.Exchange, engine: membership.Endpoint, mean_evidence: float
    ) -> base.Reply:
        owner = exchange.directory.owner_of(engine.name)
        box = exchange.directory.box(owner.box) if owner else None
        if owner is None or box is None:
            raise local.NotAdmittedError(codes.ResultCode.NO_ENGINE, -1)
        attempt = exchange.attempts.begin(engine.name)
        order = self._build_order(exchange, owner, attempt, mean_evidence)
        if box.name == self._box:
            stream = self._local.start(order, attempt, exchange.token)
            return base.AttemptReply(attempt, stream, metrics.DIRECT)
        stream = self._remote.start(box.peer_address, order, attempt, exchange.token)
        return base.AttemptReply(attempt, stream, metrics.FORWARDED)

    def _build_order(
        self,
        exchange: base.Exchange,
        owner: membership.Ownership,
        attempt: attempts.Attempt,
        mean_evidence: float,
    ) -> messages.DispatchOrder:
        return messages.DispatchOrder(
            request_id=exchange.request.request_id,
            attempt=attempt.number,
            engine=owner.engine,
            epoch=owner.epoch,
            workspace=exchange.workspace_name,
            request_class=exchange.class_name,
            priority=exchange.request_class.priority if exchange.request_class else 0,
            chat_key=exchange.chat.chat_key if exchange.chat else "",
            budget_s=exchange.deadline_s - self._clock.monotonic_s(),
            resume_offset_chars=len(exchange.answer_so_far),
            prefix_text=exchange.answer_so_far,
            body_json=exchange.request.body,
            mean_evidence=mean_evidence,
        )

    @staticmethod
    def _record_failure(
        exchange: base.Exchange,
        engine: membership.Endpoint,
        failure: errors.CroftpulleyError,
        loads: dict[str, int],
    ) -> None:
        """Store the load that a refusal reports; raise if the request has ended."""
        loads.pop(engine.name, None)
        if isinstance(failure, local.NotAdmittedError):
            if failure.load >= 0:
                loads[engine.name] = failure.load
            return
        exchange.raise_if_final(failure)
        log_failure(exchange, engine.name, failure)
        exchange.failed_engines.add(engine.name)


def _overall_refusal(refusals: list[errors.CroftpulleyError]) -> errors.CroftpulleyError:
    """Return the refusal to report: the first transient one, else the last."""
    for each in refusals:
        if isinstance(each, local.NotAdmittedError) and each.code in _TRANSIENT_REFUSALS:
            return each
    return refusals[-1] if refusals else errors.CroftpulleyError(codes.ResultCode.NO_ENGINE)


def _least_loaded(
    exchange: base.Exchange, loads: dict[str, int]
) -> tuple[membership.Endpoint, float]:
    """Return the least loaded engine and the mean load, both from the refusals.

    The mean load that an owner knows lags behind a surge. The refusals carry exact counts, and the
    least loaded engine is at most at their mean. Other requests may have filled it since; then
    its next refusal corrects the count.
    """
    mean = sum(loads.values()) / len(loads)
    known = [each for each in exchange.untried if each.name in loads]
    return min(known, key=lambda engine: loads[engine.name]), mean


def log_failure(exchange: base.Exchange, engine: str, failure: errors.CroftpulleyError) -> None:
    """Log an attempt that did not finish."""
    events.emit(
        _LOG,
        events.Event.ENGINE_ATTEMPT_FAILED,
        level=logging.WARNING,
        request_id=exchange.request.request_id,
        engine=engine,
        code=failure.code.name,
        problem=failure.detail,
    )
