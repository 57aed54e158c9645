"""Building blocks of all controllers: the actor base class, a timer and published values."""

from __future__ import annotations

import contextlib
import logging
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any, Generic, TypeVar

import attrs
import pykka

from croftpulley.observe import events

T = TypeVar("T")
_LOG = logging.getLogger(__name__)
STOP_TIMEOUT_S = 5.0
"""How long the ticks that are under way at a stop may take, all together."""


@attrs.frozen
class Tick:
    """The message that a `Ticker` sends at each interval."""


class View(Generic[T]):
    """A value that one controller publishes and any thread reads without blocking."""

    def __init__(self, value: T) -> None:
        self._value = value
        self._changed = threading.Condition()

    def get(self) -> T:
        """Return the most recently published value."""
        return self._value

    def publish(self, value: T) -> None:
        """Replace the value and wake the threads in `wait_for`."""
        with self._changed:
            self._value = value
            self._changed.notify_all()

    def wait_for(self, predicate: Callable[[T], bool], timeout_s: float) -> bool:
        """Block until ``predicate`` is true of the value; return ``False`` on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: predicate(self._value), timeout_s)


class Controller(pykka.ThreadingActor):
    """An actor that handles typed messages and keeps running if handling one raises."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Handle one message; an unexpected exception is logged and returned as the reply."""
        try:
            return self.handle(message)
        except Exception as failure:
            events.emit(
                _LOG,
                events.Event.INTERNAL_ERROR,
                level=logging.ERROR,
                failure=failure,
                controller=type(self).__name__,
            )
            return failure

    def tell_self(self, message: object) -> None:
        """Queue a message from a thread that may outlive this controller; ignored once stopped."""
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)

    def handle(self, message: Any) -> Any:
        """Handle one message and return the reply; subclasses match on the message type."""
        raise NotImplementedError


class Ticker:
    """Sends a `Tick` to an actor at a fixed interval until stopped."""

    def __init__(self, actor: pykka.ActorRef[Any], interval_s: float) -> None:
        self._actor = actor
        self._interval_s = interval_s
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)
        self._thread.start()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Stop sending ticks; wait for the one under way, but no longer than the timeout."""
        self._stopped.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        # `ask` waits for the reply: a slow tick delays the next, and ticks never queue up.
        while not self._stopped.wait(self._interval_s):
            try:
                self._actor.ask(Tick())
            except pykka.ActorDeadError:
                return


def stop_tickers(tickers: Sequence[Ticker], timeout_s: float = STOP_TIMEOUT_S) -> None:
    """Stop tickers; those whose tick is not over within the timeout, for all, are left behind."""
    ends_at_s = time.monotonic() + timeout_s
    for each in tickers:
        each.stop(max(0.0, ends_at_s - time.monotonic()))


def stop_controllers(
    controllers: Sequence[pykka.ActorRef[Any]], timeout_s: float = STOP_TIMEOUT_S
) -> None:
    """Stop controllers, one after the other; those that are not done in time are left behind."""
    ends_at_s = time.monotonic() + timeout_s
    for each in controllers:
        with contextlib.suppress(pykka.Timeout):
            each.stop(timeout=max(0.0, ends_at_s - time.monotonic()))
