"""Attempts at engines that this box owns."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from concurrent import futures

from croftpulley import cancel, codes, errors
from croftpulley.controllers import gate
from croftpulley.core import attempts
from croftpulley.endpoints import base
from croftpulley.observe import events
from croftpulley.transport import messages

_LOG = logging.getLogger(__name__)
_CANCEL_THREADS = 4


class NotAdmittedError(errors.CroftpulleyError):
    """The engine's owner did not admit the request.

    ``load`` is the number of requests at the engine, or -1 if unknown.
    """

    def __init__(self, code: codes.ResultCode, load: int) -> None:
        super().__init__(code)
        self.load = load


class LocalDispatcher:
    """Admits an attempt at the gate, runs it, and releases it at the gate when it ends."""

    def __init__(self, engine_gate: gate.EngineGate, client: base.EngineClient) -> None:
        self._gate = engine_gate
        self._client = client
        # Own threads, so that cancel requests don't delay the response to a caller.
        self._cancels = futures.ThreadPoolExecutor(_CANCEL_THREADS, "cancel")

    def start(
        self,
        order: messages.DispatchOrder,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
    ) -> base.EngineStream:
        """Start an attempt; raises `NotAdmittedError` or what the engine client raises."""
        admitted = self._gate.admit(order.engine, order.epoch, order.mean_evidence)
        if isinstance(admitted, gate.NotAdmitted):
            raise NotAdmittedError(admitted.code, admitted.load)
        address = admitted.engine.address
        try:
            stream = self._client.start(address, order, attempt, token)
        except BaseException as failure:
            if isinstance(failure, base.EngineRefusalError):
                self._gate.apply_notice(order.engine, order.epoch, failure.notice)
            self.end(order, address, attempt)
            raise
        self._gate.apply_notice(order.engine, order.epoch, stream.notice)
        return LocalAttempt(self, order, address, attempt, stream)

    def end(self, order: messages.DispatchOrder, address: str, attempt: attempts.Attempt) -> None:
        """Release an attempt at the gate; if the engine may still run it, cancel it there first.

        The cancel request and the release then happen in another thread.
        """
        if attempt.phase in (attempts.Phase.SENT, attempts.Phase.ANSWERING):
            self._cancels.submit(self._cancel_and_release, order, address)
        else:
            self._gate.remove_request(order.engine, order.epoch)

    def stop(self) -> None:
        """Wait for pending cancel requests."""
        self._cancels.shutdown()

    def _cancel_and_release(self, order: messages.DispatchOrder, address: str) -> None:
        try:
            self._client.cancel(address, order.request_id, order.attempt)
        except errors.CroftpulleyError as failure:
            events.emit(
                _LOG,
                events.Event.CANCEL_FAILED,
                level=logging.WARNING,
                request_id=order.request_id,
                problem=str(failure),
            )
        finally:
            self._gate.remove_request(order.engine, order.epoch)


class LocalAttempt(base.EngineStream):
    """An engine's stream; closing it also releases the attempt at the gate."""

    def __init__(
        self,
        dispatcher: LocalDispatcher,
        order: messages.DispatchOrder,
        address: str,
        attempt: attempts.Attempt,
        stream: base.EngineStream,
    ) -> None:
        self._dispatcher = dispatcher
        self._order = order
        self._address = address
        self._attempt = attempt
        self._stream = stream
        self._closed = False

    def batches(self) -> Iterator[base.EventBatch]:
        """Yield the engine's events."""
        return self._stream.batches()

    def shutdown(self) -> None:
        """End `batches` from another thread."""
        self._stream.shutdown()

    def close(self) -> None:
        """Close the stream and release the attempt; a second call does nothing."""
        if self._closed:
            return
        self._closed = True
        self._stream.close()
        self._dispatcher.end(self._order, self._address, self._attempt)
