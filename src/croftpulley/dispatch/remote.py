"""Attempts at engines that another box owns, forwarded to that box."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from croftpulley import cancel, errors
from croftpulley.core import assembly, attempts
from croftpulley.dispatch import local, wire
from croftpulley.endpoints import base, connection, event_stream
from croftpulley.observe import metrics
from croftpulley.transport import messages

_ANSWER_EVENTS = (assembly.Chunk, messages.Finished)


class RemoteDispatcher:
    """Forwards an attempt to the engine's owner."""

    def __init__(
        self, connect_timeout_s: float, silence_timeout_s: float, counters: metrics.Metrics
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._silence_timeout_s = silence_timeout_s
        self._counters = counters

    def start(
        self,
        peer_address: str,
        order: messages.DispatchOrder,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
    ) -> base.EngineStream:
        """Start an attempt.

        Raises `local.NotAdmittedError`, or `errors.CroftpulleyError` (PEER_LOST). Nothing is sent
        before the connection is established, so an unreachable owner is known to have run nothing.
        """
        exchange = self._exchange(peer_address, attempt, token)
        body = wire.encode_order(order)
        self._counters.control_bytes("Dispatch", len(body), 0)
        stream = RemoteAttempt(exchange, attempt, token)
        try:
            # The owner's headers say nothing about the engine, so the phase stays SENT.
            exchange.begin(connection.HttpRequest("POST", wire.PATH, body), attempts.Phase.SENT)
            stream.await_admission()
        except BaseException:
            stream.close()
            raise
        return stream

    def _exchange(
        self, peer_address: str, attempt: attempts.Attempt, token: cancel.CancelToken
    ) -> connection.Exchange:
        target = connection.Target(peer_address, self._connect_timeout_s, self._silence_timeout_s)
        return connection.Exchange(target, attempt, token, connection.PEER_FAILURES)


class RemoteAttempt(base.EngineStream):
    """An attempt that another box runs."""

    def __init__(
        self,
        exchange: connection.Exchange,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
    ) -> None:
        self._exchange = exchange
        self._token = token
        self._attempt = attempt
        self._reader = event_stream.EventReader(exchange, wire.parse_event)
        self._batches = self._reader.batches()
        self._first_batch: tuple[messages.DispatchEvent, ...] = ()

    def await_admission(self) -> None:
        """Wait until the owner accepts; raises `local.NotAdmittedError` if it refuses.

        Raises `errors.CroftpulleyError` for any other response.
        """
        batch = next(self._batches, ())
        match batch[:1]:
            case (messages.Accepted(),):
                self._first_batch = batch[1:]
                return
            case (messages.Refused(code, load),):
                self._attempt.set_reported_phase(attempts.Phase.REFUSED)
                raise local.NotAdmittedError(code, load)
        raise self._exchange.error_for(EOFError("the owner answered neither yes nor no"))

    def batches(self) -> Iterator[base.EventBatch]:
        """Yield the engine's events as the owner relays them."""
        for batch in itertools.chain([self._first_batch], self._batches):
            answer = tuple(each for each in batch if isinstance(each, _ANSWER_EVENTS))
            if answer:
                done = isinstance(answer[-1], messages.Finished)
                self._attempt.set_reported_phase(
                    attempts.Phase.DONE if done else attempts.Phase.ANSWERING
                )
                yield answer
                if done:
                    return
            self._raise_if_broken(batch)
        raise self._exchange.error_for(EOFError("the owner's stream ended before its end event"))

    def shutdown(self) -> None:
        """End `batches` from another thread."""
        self._exchange.shutdown()

    def close(self) -> None:
        """Close the connection, which makes the owner cancel an unfinished attempt."""
        self._exchange.close()

    def _raise_if_broken(self, batch: tuple[messages.DispatchEvent, ...]) -> None:
        """Raise `errors.CroftpulleyError` if the owner reports that the attempt broke off."""
        for event in batch:
            if isinstance(event, messages.AttemptFailed):
                self._attempt.set_reported_phase(event.phase)
                raise errors.CroftpulleyError(
                    self._token.reason or event.code,
                    "the owner's attempt broke off",
                    run_state=self._attempt.run_state,
                )
