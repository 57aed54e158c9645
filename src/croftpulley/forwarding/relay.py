"""The last filter: sends a request to endpoints until one response can be returned."""

from __future__ import annotations

from collections.abc import Iterator

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, reach, router_state, stream_origins, traffic
from croftpulley.core import verdicts
from croftpulley.forwarding import (
    attempt,
    base,
    departures,
    event_stream,
    failover,
    headers,
    judge,
    notices,
    place,
    retry,
    sender,
    suspects,
    vocabulary,
)
from croftpulley.observe import metrics
from croftpulley.settings import fleet


class Relay(base.ForwardFilter):
    """Sends the request and returns the response; retries and resumes streams where allowed."""

    def __init__(
        self,
        placement: place.Placement,
        request_sender: sender.Sender,
        buffers: sender.AnswerBuffers,
        counts: traffic.Traffic,
        gate: suspects.SuspectGate,
        last_look: departures.PreSendCheck,
        known: reach.Reach,
        known_origins: stream_origins.StreamOrigins,
        view: actors.View[router_state.RouterState],
        names: vocabulary.HeaderNames,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        notice_reader = notices.NoticeReader(counts, names, counters, clock)
        opener = attempt.AttemptOpener(
            request_sender, counts, gate, notice_reader, last_look, known, names, clock
        )
        classifier = judge.ResponseClassifier(counts, view, names)
        self._buffers = buffers
        self._counts = counts
        self._retry = retry.Retry(placement, counts, known, counters, clock)
        self._failover = failover.Failover(
            placement, opener, classifier, self._retry, gate, counts, known
        )
        self._stream = event_stream.EventStream(self._failover, self._retry, counts, known_origins)

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Return an endpoint's response; raises `errors.CroftpulleyError` if there is none."""
        self._counts.request(exchange.pool)
        tried: set[str] = set()
        while True:
            current = self._failover.begin(exchange, tried)
            try:
                return self._reply(exchange, current, tried)
            except errors.CroftpulleyError as failure:
                self._failover.close_failed(exchange, current, failure)
                self._retry.require_retry(exchange, failure, tried)
            except BaseException:
                current.close()
                raise

    def _reply(
        self, exchange: base.Exchange, current: attempt.OpenAttempt, tried: set[str]
    ) -> base.ForwardReply:
        is_stream = exchange.known_route.kind is fleet.RouteKind.STREAM
        if is_stream and current.response.is_success:
            return self._stream_reply(exchange, current, tried)
        return self._complete_reply(current)

    def _complete_reply(self, current: attempt.OpenAttempt) -> base.ForwardReply:
        """Read the complete response and close the attempt."""
        answer = current.response
        reply_headers = headers.to_caller(answer.headers)
        body = self._buffers.read(answer)
        current.close()
        if answer.status < verdicts.FIRST_SERVER_ERROR:
            self._counts.answered(current.endpoint.key)
        return base.ForwardReply(answer.status, reply_headers, body)

    def _stream_reply(
        self, exchange: base.Exchange, current: attempt.OpenAttempt, tried: set[str]
    ) -> base.ForwardReply:
        """Return a reply that streams the events, once the first one has arrived."""
        answer = current.response
        reply_headers = headers.to_caller(answer.headers)
        events_left = self._stream.events(exchange, current, tried)
        exchange.at_end.callback(events_left.close)  # type: ignore[attr-defined]
        # The first event must have arrived before status and headers are sent: until then another
        # endpoint may be asked where the route allows it.
        first = next(events_left, b"")
        return base.ForwardReply(answer.status, reply_headers, _chain(first, events_left))


def _chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    yield from rest
