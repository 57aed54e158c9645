"""What the fleet needs of engines, workers and the platform's list, whatever their protocol."""

from __future__ import annotations

import abc
from collections.abc import Iterator

import attrs

from croftpulley import cancel, errors
from croftpulley.core import attempts, withdrawal
from croftpulley.transport import messages

EventBatch = tuple[messages.StreamEvent, ...]
"""Events of an answer that arrived together."""


@attrs.frozen
class LoadReport:
    """What an engine says of itself, late as it may be."""

    running: int
    slots: int


class EngineRefusalError(errors.CroftpulleyError):
    """An engine's answer that is no stream, with what it says of the engine."""

    notice: withdrawal.Notice = withdrawal.EMPTY_NOTICE


class EngineStream(abc.ABC):
    """The answer of one attempt as it arrives; ``notice`` is what its head says of the engine."""

    notice: withdrawal.Notice = withdrawal.EMPTY_NOTICE

    @abc.abstractmethod
    def batches(self) -> Iterator[EventBatch]:
        """Yield events as they arrive, up to and with `messages.Finished`.

        Raises `errors.CroftpulleyError` when the answer breaks off.
        """

    @abc.abstractmethod
    def shutdown(self) -> None:
        """End `batches` from another thread."""

    @abc.abstractmethod
    def close(self) -> None:
        """Free the connection."""


class EngineClient(abc.ABC):
    """Speaks to model engines."""

    @abc.abstractmethod
    def start(
        self,
        address: str,
        order: messages.DispatchOrder,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
    ) -> EngineStream:
        """Send the request and return its answer once that has begun.

        Moves ``attempt`` on as it goes. Raises `errors.CroftpulleyError`, `EngineRefusalError` for
        an answer that is none.
        """

    @abc.abstractmethod
    def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Order an attempt's work to stop; raises `errors.CroftpulleyError`."""

    @abc.abstractmethod
    def load(self, address: str) -> LoadReport:
        """Read the load report; raises `errors.CroftpulleyError`."""


@attrs.frozen
class WorkerCall:
    """A call to a plain service."""

    request_id: str
    service: str
    call: str
    content_type: str
    body: bytes
    idempotency_key: str = ""


@attrs.frozen
class WorkerAnswer:
    """A worker's whole answer."""

    http_status: int
    content_type: str
    body: bytes


class WorkerClient(abc.ABC):
    """Speaks to workers of plain services."""

    @abc.abstractmethod
    def call(
        self,
        address: str,
        call: WorkerCall,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Send a call and return the whole answer; moves ``attempt`` on.

        Raises `errors.CroftpulleyError`.
        """
