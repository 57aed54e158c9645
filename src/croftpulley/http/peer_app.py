"""The application for other entry boxes: carries out attempts at engines that this box owns."""

from __future__ import annotations

from collections.abc import Generator, Iterator

from croftpulley import cancel, codes, errors
from croftpulley import clock as clocks
from croftpulley.controllers import streams
from croftpulley.core import assembly, attempts
from croftpulley.dispatch import local, wire
from croftpulley.endpoints import base
from croftpulley.http import wsgi
from croftpulley.observe import metrics
from croftpulley.transport import messages


class PeerApp:
    """``POST /v1/dispatch`` over the local dispatcher."""

    def __init__(
        self,
        dispatcher: local.LocalDispatcher,
        watch: streams.Streams,
        clock: clocks.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._streams = watch
        self._clock = clock
        self._counters = counters

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Begin an attempt; its events are the body."""
        if request.path != wire.PATH:
            raise errors.CroftpulleyError(codes.ResultCode.NOT_FOUND, f"got {request.path!r}")
        wsgi.require_method(request, "POST")
        self._counters.control_bytes("Dispatch", 0, len(request.body))
        order = wire.decode_order(request.body)
        watched = streams.WatchedRequest(
            cancel.CancelToken(),
            self._clock.monotonic_s() + order.budget_s,
            request.environ.get("waitress.client_disconnected", lambda: False),
        )
        body = self._body(order, watched)
        return wsgi.Response(200, wsgi.EVENT_STREAM, body, close=body.close)

    def _body(
        self, order: messages.DispatchOrder, watched: streams.WatchedRequest
    ) -> Generator[bytes, None, None]:
        self._streams.watch(watched)
        try:
            for events in self._run(order, watched.token):
                yield b"".join(map(wire.encode_event, events))
        finally:
            self._streams.unwatch(watched)

    def _run(
        self, order: messages.DispatchOrder, token: cancel.CancelToken
    ) -> Iterator[tuple[messages.DispatchEvent, ...]]:
        """Yield the events of one attempt; its failure is an event too."""
        attempt = attempts.Attempt(order.attempt, order.engine)
        try:
            stream = self._dispatcher.start(order, attempt, token)
        except local.NotAdmittedError as refusal:
            yield (messages.Refused(refusal.code, refusal.load),)
            return
        except errors.CroftpulleyError as failure:
            yield (messages.Accepted(), messages.AttemptFailed(failure.code, attempt.phase))
            return
        try:
            yield (messages.Accepted(),)
            for batch in stream.batches():
                yield merged(batch)
        except errors.CroftpulleyError as failure:
            yield (messages.AttemptFailed(failure.code, attempt.phase),)
        finally:
            stream.close()


def merged(batch: base.EventBatch) -> tuple[messages.StreamEvent, ...]:
    """Join the chunks of a batch that follow each other; the end event stays last."""
    if len(batch) == 1:
        return batch
    chunks = [event for event in batch if isinstance(event, assembly.Chunk)]
    ends = [event for event in batch if isinstance(event, messages.Finished)]
    return (*assembly.merge_adjacent(chunks), *ends)
