"""Sends messages to other boxes in the background, one thread and one link an address."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

import attrs

from croftpulley import errors
from croftpulley.observe import metrics
from croftpulley.transport import links

_WAITING_LIMIT = 8
"""Messages to one address that may wait; beyond them the oldest is dropped, as a network would."""


@attrs.frozen
class Job:
    """A message to send and what to do with its answer; exactly one of the two is called."""

    path: str
    body: bytes
    on_answer: Callable[[bytes], None]
    on_failure: Callable[[errors.CroftpulleyError], None]


class Sender:
    """The sender to one address."""

    def __init__(self, link: links.Link) -> None:
        self._link = link
        self._jobs: queue.Queue[Job | None] = queue.Queue(_WAITING_LIMIT)
        self._thread = threading.Thread(target=self._run, name="sender", daemon=True)
        self._thread.start()

    def send(self, job: Job | None) -> None:
        """Queue a job; ``None`` ends the thread."""
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
            dropped.on_failure(links.unreachable(self._link.address, "too many wait"))

    def _run(self) -> None:
        while True:
            job = self._jobs.get()
            if job is None:
                self._link.close()
                return
            try:
                job.on_answer(self._link.post(job.path, job.body))
            except errors.CroftpulleyError as failure:
                # No answer, or one that cannot be read.
                job.on_failure(failure)


class Senders:
    """One sender an address, made when first asked for."""

    def __init__(self, timeout_s: float, counters: metrics.Metrics) -> None:
        self._timeout_s = timeout_s
        self._counters = counters
        self._senders: dict[str, Sender] = {}

    def to(self, address: str) -> Sender:
        """Return the sender to ``address``."""
        if address not in self._senders:
            self._senders[address] = Sender(links.Link(address, self._timeout_s, self._counters))
        return self._senders[address]

    def keep(self, addresses: set[str]) -> None:
        """End the senders to all other addresses."""
        for address in set(self._senders) - addresses:
            self._senders.pop(address).send(None)
