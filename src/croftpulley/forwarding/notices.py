"""Applies, counts and logs what endpoints announce in their response headers.

An endpoint may ask for a rest, announce that it shuts down, report its load, or state how many
rejected requests a second it survives.
"""

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
_MAX_LOGGED_LENGTH = 100
"""Maximum number of characters of an unparsable header value in the log."""


class NoticeReader:
    """Reads the headers of every response, whatever the request and its result."""

    def __init__(
        self,
        counts: traffic.Traffic,
        names: vocabulary.HeaderNames,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._counts = counts
        self._names = names
        self._counters = counters
        self._clock = clock

    def process(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, answer: sender.Response
    ) -> None:
        """Apply what the headers of a response announce about its endpoint."""
        if answer.status not in verdicts.NOT_RUN_STATUSES:
            self._counts.accepted(endpoint.key)
        notice = withdrawal.parse_notice(
            answer.status,
            answer.values(_RETRY_AFTER),
            answer.values(self._names.leaving),
            answer.header(_DATE),
            self._clock.wall_s(),
        )
        self._apply_load_report(exchange, endpoint, answer)
        self._apply_brittle_limit(exchange, endpoint, answer)
        if notice.is_empty:
            return
        self._count_notice(notice)
        news = self._counts.apply_notice(endpoint.key, notice)
        _log_news(exchange, endpoint, notice, news)

    def _apply_load_report(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, answer: sender.Response
    ) -> None:
        text = answer.header(self._names.load)
        # With 421 the address now belongs to another endpoint: the header is about that one.
        if not text or answer.status == verdicts.MISDIRECTED:
            return
        report = load_reports.parse(text)
        if report is not None:
            self._counts.store_load_report(endpoint.key, report)
            return
        self._counters.notice("load_unusable")
        events.emit(
            _LOG,
            events.Event.LOAD_UNUSABLE,
            level=logging.WARNING,
            request_id=exchange.facts.request_id,
            endpoint=endpoint.key,
            pool=endpoint.pool,
            value=text[:_MAX_LOGGED_LENGTH],
        )

    def _apply_brittle_limit(
        self, exchange: base.Exchange, endpoint: membership.Endpoint, answer: sender.Response
    ) -> None:
        if answer.status == verdicts.MISDIRECTED:
            return
        text = answer.header(self._names.brittle)
        limit = brittle.parse(text) if text else None
        if text and limit is None:
            self._counters.notice("brittle_unusable")
            return
        if self._counts.note_rejection_limit(endpoint, limit):
            events.emit(
                _LOG,
                events.Event.BRITTLE_SAID,
                request_id=exchange.facts.request_id,
                endpoint=endpoint.key,
                pool=endpoint.pool,
                most_turned_away=limit,
            )

    def _count_notice(self, notice: withdrawal.Notice) -> None:
        if notice.rest_s:
            self._counters.notice("rest")
        if notice.leaves:
            self._counters.notice("leaving")
        if notice.unusable:
            self._counters.notice("unusable")


def _log_news(
    exchange: base.Exchange,
    endpoint: membership.Endpoint,
    notice: withdrawal.Notice,
    news: withdrawal.NoticeNews,
) -> None:
    """Log only what is new: an endpoint repeats its announcements in many responses."""
    request_id = exchange.facts.request_id
    if news.rests:
        events.emit(
            _LOG,
            events.Event.REST_ASKED,
            level=logging.WARNING,
            request_id=request_id,
            endpoint=endpoint.key,
            pool=endpoint.pool,
            rest_s=round(notice.rest_s, 3),
        )
    if news.leaves:
        events.emit(
            _LOG,
            events.Event.LEAVING_SAID,
            request_id=request_id,
            endpoint=endpoint.key,
            pool=endpoint.pool,
            is_listed_leaving=endpoint.leaving,
        )
    if news.is_unusable:
        events.emit(
            _LOG,
            events.Event.NOTICE_UNUSABLE,
            level=logging.WARNING,
            request_id=request_id,
            endpoint=endpoint.key,
            values=[each[:_MAX_LOGGED_LENGTH] for each in notice.unusable],
        )
