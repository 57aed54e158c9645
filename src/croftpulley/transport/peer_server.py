"""The gRPC service of an entry box: carries out attempts for other boxes."""

from __future__ import annotations

import functools
from collections.abc import Iterator

import grpc

from croftpulley import cancel, codes, errors
from croftpulley import clock as clocks
from croftpulley.controllers import streams
from croftpulley.core import assembly, attempts
from croftpulley.dispatch import local
from croftpulley.endpoints import base
from croftpulley.observe import metrics
from croftpulley.transport import codec, messages
from croftpulley.transport._generated import fleet_pb2 as wire
from croftpulley.transport._generated import fleet_pb2_grpc as services


class PeerService(services.PeerServicer):
    """The generated service over the local dispatcher."""

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

    def Dispatch(  # noqa: D102
        self, request: wire.DispatchRequest, context: grpc.ServicerContext
    ) -> Iterator[wire.DispatchEvent]:
        self._counters.control_bytes("Dispatch", 0, request.ByteSize())
        order = codec.order_from_wire(request)
        token = cancel.CancelToken()
        context.add_callback(functools.partial(_caller_gone, token))
        watched = streams.Watched(
            token, self._clock.monotonic_s() + order.budget_s, lambda: not context.is_active()
        )
        self._streams.watch(watched)
        try:
            for event in self._run(order, token):
                yield codec.event_to_wire(event)
        finally:
            self._streams.unwatch(watched)

    def _run(
        self, order: messages.DispatchOrder, token: cancel.CancelToken
    ) -> Iterator[messages.DispatchEvent]:
        """Yield the events of one attempt; its failure is an event too."""
        attempt = attempts.Attempt(order.attempt, order.engine)
        try:
            stream = self._dispatcher.start(order, attempt, token)
        except local.NotAdmittedError as refusal:
            yield messages.Refused(refusal.code, refusal.load)
            return
        except errors.CroftpulleyError as failure:
            yield messages.Accepted()
            yield messages.Broken(failure.code, attempt.phase)
            return
        yield messages.Accepted()
        try:
            for batch in stream.batches():
                yield from merged(batch)
        except errors.CroftpulleyError as failure:
            yield messages.Broken(failure.code, attempt.phase)
        finally:
            stream.close()


def _caller_gone(token: cancel.CancelToken) -> None:
    token.cancel(codes.ResultCode.CALLER_GONE)


def merged(batch: base.EventBatch) -> list[messages.StreamEvent]:
    """Join the chunks of a batch that follow each other; the end event stays last."""
    chunks = [event for event in batch if isinstance(event, assembly.Chunk)]
    ends = [event for event in batch if isinstance(event, messages.Finished)]
    return [*assembly.merge(chunks), *ends]
