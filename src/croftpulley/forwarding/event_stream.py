"""The events of a streamed response, resumed at another endpoint if the route allows it."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from croftpulley import codes, errors
from croftpulley.controllers import stream_origins, traffic
from croftpulley.core import event_splitter, origins
from croftpulley.forwarding import attempt, base, failover, retry
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)


class EventStream:
    """Relays only complete events, so that a stream can be resumed after the last one."""

    def __init__(
        self,
        attempt_failover: failover.Failover,
        repeats: retry.Retry,
        counts: traffic.Traffic,
        known_origins: stream_origins.StreamOrigins,
    ) -> None:
        self._failover = attempt_failover
        self._retry = repeats
        self._counts = counts
        self._origins = known_origins

    def events(
        self, exchange: base.Exchange, current: attempt.OpenAttempt, tried: set[str]
    ) -> Iterator[bytes]:
        """Yield complete events from ``current`` and from attempts that resume it; close each.

        Raises `errors.CroftpulleyError` if the stream broke off and is not resumed. Before its
        first event it is never resumed here.
        """
        splitter = event_splitter.EventSplitter()
        splitter.last_id = exchange.facts.last_event_id
        has_begun = False
        try:
            while True:
                try:
                    for complete_events in _complete_events(splitter, current):
                        if not has_begun:
                            self._bind_origin(exchange, current)
                            has_begun = True
                        current.record_event()
                        yield complete_events
                    self._counts.answered(current.endpoint.key)
                    if exchange.origin is not None:
                        self._origins.mark_completed(exchange.stream_id)
                    return
                except errors.CroftpulleyError as failure:
                    if not has_begun:
                        raise
                    self._failover.close_failed(exchange, current, failure)
                    if not splitter.last_id:
                        # Events without ids: there is no position to resume from.
                        raise
                    self._retry.require_retry(exchange, failure, tried)
                splitter.drop_partial()
                current = self._failover.begin(exchange, tried, splitter.last_id)
                _log_resumed(exchange, current, splitter.last_id)
        finally:
            current.close()

    def _bind_origin(self, exchange: base.Exchange, current: attempt.OpenAttempt) -> None:
        """Bind further attempts to the pool and version of the first event, and remember them."""
        route = exchange.known_route
        if not route.is_resumable_stream:
            return
        origin = exchange.origin or origins.Origin(exchange.pool, current.endpoint.version)
        retention_s = route.time_limit_ms / 1000 + origins.RETENTION_S
        announcement = origins.OriginAnnouncement(exchange.stream_id, origin, retention_s)
        self._origins.remember_begun(announcement, always_announced=route.is_split)
        exchange.origin = origin


def _complete_events(
    splitter: event_splitter.EventSplitter, current: attempt.OpenAttempt
) -> Iterator[bytes]:
    """Yield complete events; raises `errors.CroftpulleyError` if the response ends within one."""
    for chunk in current.response.chunks():
        try:
            complete_events = splitter.feed(chunk)
        except event_splitter.EventTooLongError as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.ANSWER_CORRUPT,
                f"{current.endpoint.address}: {failure}",
                run_state=codes.RunState.RAN,
            ) from failure
        if complete_events:
            yield complete_events
    if not splitter.is_between_events:
        current.attempt.is_end_ambiguous = True
        current.attempt.is_truncated = True
        raise errors.CroftpulleyError(
            codes.ResultCode.WORKER_BROKE,
            f"{current.endpoint.address}: the stream ended within an event",
            run_state=codes.RunState.RAN,
        )


def _log_resumed(exchange: base.Exchange, current: attempt.OpenAttempt, after_event: str) -> None:
    events.emit(
        _LOG,
        events.Event.ANSWER_RESUMED,
        request_id=exchange.facts.request_id,
        endpoint=current.endpoint.key,
        version=current.endpoint.version,
        begun_version=exchange.required_version,
        after_event=after_event,
    )
