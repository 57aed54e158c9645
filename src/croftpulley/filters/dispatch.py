"""The end of the chain for chats: finds an engine whose owner admits the request."""

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
_SOON_OVER = (
    codes.ResultCode.NOT_OWNER,
    codes.ResultCode.LOAD_UNKNOWN,
    codes.ResultCode.NO_ENGINE,
    codes.ResultCode.NO_LEASE,
    codes.ResultCode.NO_CAPACITY,
)
"""Refusals that end when the engine has its next owner, or when a request ends there."""
_MOMENT_S = 0.05


class Dispatch(base.Filter):
    """Tries the candidates in order until one is admitted and its answer begins."""

    def __init__(
        self,
        box: str,
        local_dispatcher: local.LocalDispatcher,
        remote_dispatcher: remote.RemoteDispatcher,
        candidates_limit: int,
        view: actors.View[state.FleetState],
        admission_wait_s: float,
        clock: clocks.Clock,
        moment_s: float = _MOMENT_S,
    ) -> None:
        self._box = box
        self._local = local_dispatcher
        self._remote = remote_dispatcher
        self._candidates_limit = candidates_limit
        self._view = view
        self._admission_wait_s = admission_wait_s
        self._moment_s = moment_s
        self._clock = clock

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Start one attempt; raises when no candidate takes it.

        While engines move from one owner to another, or are all full, nobody may admit. That may
        soon be over, so the candidates are tried again for a while: at once when the directory
        changes, and after a moment all the same, since a new owner may hear of its engine later
        than this box does.
        """
        ends_at_s = self._clock.monotonic_s() + self._admission_wait_s
        while True:
            try:
                return self._try_candidates(exchange)
            except local.NotAdmittedError as refusal:
                exchange.token.check()
                if refusal.code not in _SOON_OVER or self._clock.monotonic_s() >= ends_at_s:
                    raise
            self._follow_directory(exchange)

    def _follow_directory(self, exchange: base.Exchange) -> None:
        """Wait a moment for a newer directory and take over the one there is."""
        version = exchange.directory.version
        self._view.wait_for(lambda known: known.directory.version != version, self._moment_s)
        if exchange.chat is not None:
            exchange.directory = self._view.get().directory
            exchange.candidates = rendezvous.engines_for(
                exchange.chat.chat_key, exchange.chat.pool, exchange.directory
            )

    def _try_candidates(self, exchange: base.Exchange) -> base.Reply:
        """Ask each candidate once, then those that were full with what they said."""
        loads: dict[str, int] = {}
        refusals: list[errors.CroftpulleyError] = []
        for engine in exchange.untried[: self._candidates_limit]:
            try:
                return self._attempt(exchange, engine, 0.0)
            except errors.CroftpulleyError as failure:
                refusals.append(failure)
                self._after_failure(exchange, engine, failure, loads)
        for _ in range(len(loads)):
            engine, mean = _least_loaded(exchange, loads)
            try:
                return self._attempt(exchange, engine, mean)
            except errors.CroftpulleyError as failure:
                refusals.append(failure)
                self._after_failure(exchange, engine, failure, loads)
            if not loads:
                break
        raise _told(refusals)

    def _attempt(
        self, exchange: base.Exchange, engine: membership.Endpoint, mean_evidence: float
    ) -> base.Reply:
        owner = exchange.directory.owner_of(engine.name)
        box = exchange.directory.box(owner.box) if owner else None
        if owner is None or box is None:
            raise local.NotAdmittedError(codes.ResultCode.NO_ENGINE, -1)
        attempt = exchange.attempts.begin(engine.name)
        order = self._order(exchange, owner, attempt, mean_evidence)
        if box.name == self._box:
            stream = self._local.start(order, attempt, exchange.token)
            return base.AttemptReply(attempt, stream, metrics.DIRECT)
        stream = self._remote.start(box.peer_address, order, attempt, exchange.token)
        return base.AttemptReply(attempt, stream, metrics.FORWARDED)

    def _order(
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
    def _after_failure(
        exchange: base.Exchange,
        engine: membership.Endpoint,
        failure: errors.CroftpulleyError,
        loads: dict[str, int],
    ) -> None:
        """Note what a refusal tells of the engine's load; go on unless the request has ended."""
        loads.pop(engine.name, None)
        if isinstance(failure, local.NotAdmittedError):
            if failure.load >= 0:
                loads[engine.name] = failure.load
            return
        exchange.end_if_over(failure)
        log_failure(exchange, engine.name, failure)
        exchange.failed_engines.add(engine.name)


def _told(refusals: list[errors.CroftpulleyError]) -> errors.CroftpulleyError:
    """Return the refusal that stands for all: one that may soon be over, else the last."""
    for each in refusals:
        if isinstance(each, local.NotAdmittedError) and each.code in _SOON_OVER:
            return each
    return refusals[-1] if refusals else errors.CroftpulleyError(codes.ResultCode.NO_ENGINE)


def _least_loaded(
    exchange: base.Exchange, loads: dict[str, int]
) -> tuple[membership.Endpoint, float]:
    """Return the least loaded engine and the mean, by what refusals have shown.

    The mean that an owner knows lags behind a surge. The refusals carry exact counts, and the
    least loaded of them can be at most at their mean. Others may have taken its place since; then
    its next refusal corrects the count.
    """
    mean = sum(loads.values()) / len(loads)
    known = [each for each in exchange.untried if each.name in loads]
    return min(known, key=lambda engine: loads[engine.name]), mean


def log_failure(exchange: base.Exchange, engine: str, failure: errors.CroftpulleyError) -> None:
    """Write the event of an attempt that did not finish."""
    events.emit(
        _LOG,
        events.Event.ENGINE_ATTEMPT_FAILED,
        level=logging.WARNING,
        request_id=exchange.request.request_id,
        engine=engine,
        code=failure.code.name,
        problem=failure.detail,
    )
