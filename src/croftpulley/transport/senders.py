"""Sends messages to other boxes in the background, with a thread and a link for each address."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable

import attrs

from croftpulley import errors
from croftpulley.observe import events, metrics
from croftpulley.transport import links

_LOG = logging.getLogger(__name__)
_MAX_QUEUED = 8
"""Maximum number of queued messages to one address. If the queue is full, the oldest is dropped, as
a network would do."""


@attrs.frozen
class Job:
    """A message to send, and the callbacks for its response; exactly one of them is called."""

    path: str
    body: bytes
    on_answer: Callable[[bytes], None]
    on_failure: Callable[[errors.CroftpulleyError], None]


class Sender:
    """Sends queued messages to one address, in order, on a thread of its own."""

    def __init__(self, link: links.Link) -> None:
        self._link = link
        self._jobs: queue.Queue[Job | None] = queue.Queue(_MAX_QUEUED)
        self._thread = threading.Thread(target=self._run, name="sender", daemon=True)
        self._thread.start()

    def send(self, job: Job | None) -> None:
        """Queue a job without blocking; ``None`` ends the thread and closes the link.

        If the queue is full, the oldest job is dropped and its ``on_failure`` called.
        """
        while True:
            try:
                self._jobs.put_nowait(job)
                return
            except queue.Full:
                self._drop_oldest()

    def _drop_oldest(self) -> None:
        try:
            dropped = self._jobs.get_nowait()
        except queue.Empty:
            return
        if dropped is not None:
            dropped.on_failure(links.unreachable_error(self._link.address, "send queue is full"))

    def _run(self) -> None:
        while True:
            job = self._jobs.get()
            if job is None:
                self._link.close()
                return
            try:
                self._send(job)
            except Exception as failure:
                events.emit(_LOG, events.Event.INTERNAL_ERROR, level=logging.ERROR, failure=failure)
                job.on_failure(links.unreachable_error(self._link.address, "internal error"))

    def _send(self, job: Job) -> None:
        try:
            job.on_answer(self._link.post(job.path, job.body))
        except errors.CroftpulleyError as failure:
            # No response, an error status, or a body that ``on_answer`` cannot decode.
            job.on_failure(failure)


class Senders:
    """One sender for each address, created on first use. Not thread-safe."""

    def __init__(self, timeout_s: float, counters: metrics.Metrics) -> None:
        self._timeout_s = timeout_s
        self._counters = counters
        self._senders: dict[str, Sender] = {}

    def to(self, address: str) -> Sender:
        """Return the sender to ``address``, creating it on first use."""
        if address not in self._senders:
            self._senders[address] = Sender(links.Link(address, self._timeout_s, self._counters))
        return self._senders[address]

    def retain(self, addresses: set[str]) -> None:
        """Stop and remove the senders to all addresses but these."""
        for address in set(self._senders) - addresses:
            self._senders.pop(address).send(None)
