"""Protocol-independent interfaces of engines and workers."""

from __future__ import annotations

import abc
from collections.abc import Iterator

import attrs

from croftpulley import cancel, errors
from croftpulley.core import attempts, withdrawal
from croftpulley.transport import messages

EventBatch = tuple[messages.StreamEvent, ...]
"""Events of a response that arrived together."""


@attrs.frozen
class LoadReport:
    """The load that an engine reports, which may be out of date: running requests and slots."""

    running: int
    slots: int


class EngineRefusalError(errors.CroftpulleyError):
    """An engine's response that is no stream, with the notice in its headers."""

    notice: withdrawal.Notice = withdrawal.EMPTY_NOTICE


class EngineStream(abc.ABC):
    """The response of one attempt as it arrives.

    ``notice`` is what the response headers announce about the engine.
    """

    notice: withdrawal.Notice = withdrawal.EMPTY_NOTICE

    @abc.abstractmethod
    def batches(self) -> Iterator[EventBatch]:
        """Yield events as they arrive, up to and including `messages.Finished`.

        Raises `errors.CroftpulleyError` when the response breaks off.
        """

    @abc.abstractmethod
    def shutdown(self) -> None:
        """End `batches` from another thread."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""


class EngineClient(abc.ABC):
    """A client for model engines."""

    @abc.abstractmethod
    def start(
        self,
        address: str,
        order: messages.DispatchOrder,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
    ) -> EngineStream:
        """Send the request and return the response stream once it has begun.

        Updates the phase of ``attempt``. Raises `errors.CroftpulleyError`, and
        `EngineRefusalError` for a response that is no stream.
        """

    @abc.abstractmethod
    def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Tell the engine to stop an attempt; raises `errors.CroftpulleyError`."""

    @abc.abstractmethod
    def load(self, address: str) -> LoadReport:
        """Fetch the engine's load report; raises `errors.CroftpulleyError`."""


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
    """A worker's complete response."""

    http_status: int
    content_type: str
    body: bytes


class WorkerClient(abc.ABC):
    """A client for workers of plain services."""

    @abc.abstractmethod
    def call(
        self,
        address: str,
        call: WorkerCall,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Send a call and return the complete response; updates the phase of ``attempt``.

        Raises `errors.CroftpulleyError`.
        """
