"""What endpoints say of themselves in the heads of their answers, taken and told of."""

from __future__ import annotations

import logging

from croftpulley import clock as clocks
from croftpulley.controllers import traffic
from croftpulley.core import brittle, load_reports, membership, verdicts, withdrawal
from croftpulley.forwarding import base, sender, vocabulary
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
_RETRY_AFTER = "retry-after"
_DATE = "date"
_SHOWN = 100
"""Characters of a value that cannot be read, in the log."""


class Notices:
    """Reads every answer's head, whichever request it is to and whatever becomes of that."""

    def __init__(
        self,
        counts: traffic.Traffic,
        names: vocabulary.Vocabulary,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._counts = counts
        self._names = names
        self._counters = counters
        self._clock = clock

    def take(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, answer: sender.Answer
    ) -> None:
        """Take what the head of an answer says of its endpoint."""
        if answer.status not in verdicts.NOT_RUN_STATUSES:
            self._counts.accepted(endpoint.key)
        notice = withdrawal.parse_notice(
            answer.status,
            answer.values(_RETRY_AFTER),
            answer.values(self._names.leaving),
            answer.header(_DATE),
            self._clock.wall_s(),
        )
        self._take_load(exchange, endpoint, answer)
        self._take_brittle(exchange, endpoint, answer)
        if notice.is_empty:
            return
        self._count(notice)
        heard = self._counts.hear(endpoint.key, notice)
        _tell(exchange, endpoint, notice, heard)

    def _take_load(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, answer: sender.Answer
    ) -> None:
        text = answer.header(self._names.load)
        # With 421 another endpoint has the address; it speaks of itself.
        if not text or answer.status == verdicts.MISDIRECTED:
            return
        told = load_reports.parse(text)
        if told is not None:
            self._counts.hear_load(endpoint.key, told)
            return
        self._counters.notice("load_unusable")
        events.emit(
            _LOG,
            events.Event.LOAD_UNUSABLE,
            level=logging.WARNING,
            request_id=exchange.facts.request_id,
            endpoint=endpoint.key,
            pool=endpoint.pool,
            value=text[:_SHOWN],
        )

    def _take_brittle(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, answer: sender.Answer
    ) -> None:
        if answer.status == verdicts.MISDIRECTED:
            return
        text = answer.header(self._names.brittle)
        most = brittle.parse(text) if text else None
        if text and most is None:
            self._counters.notice("brittle_unusable")
            return
        if self._counts.hear_brittle(endpoint, most):
            events.emit(
                _LOG,
                events.Event.BRITTLE_SAID,
                request_id=exchange.facts.request_id,
                endpoint=endpoint.key,
                pool=endpoint.pool,
                most_turned_away=most,
            )

    def _count(self, notice: withdrawal.Notice) -> None:
        if notice.rest_s:
            self._counters.notice("rest")
        if notice.leaves:
            self._counters.notice("leaving")
        if notice.unusable:
            self._counters.notice("unusable")


def _tell(
    exchange: base.Exchange,
    endpoint: membership.Endpoint,
    notice: withdrawal.Notice,
    heard: withdrawal.NoticeNews,
) -> None:
    """Log what is news; an endpoint says the same in many answers."""
    request_id = exchange.facts.request_id
    if heard.rests:
        events.emit(
            _LOG,
            events.Event.REST_ASKED,
            level=logging.WARNING,
            request_id=request_id,
            endpoint=endpoint.key,
            pool=endpoint.pool,
            rest_s=round(notice.rest_s, 3),
        )
    if heard.leaves:
        events.emit(
            _LOG,
            events.Event.LEAVING_SAID,
            request_id=request_id,
            endpoint=endpoint.key,
            pool=endpoint.pool,
            is_listed_leaving=endpoint.leaving,
        )
    if heard.is_unusable:
        events.emit(
            _LOG,
            events.Event.NOTICE_UNUSABLE,
            level=logging.WARNING,
            request_id=request_id,
            endpoint=endpoint.key,
            values=[each[:_SHOWN] for each in notice.unusable],
        )
