"""What all controllers share: typed messages, timers, and published views."""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs
import pykka

from croftpulley.observe import events

T = TypeVar("T")
_LOG = logging.getLogger(__name__)


@attrs.frozen
class Tick:
    """Sent by a `Ticker`."""


class View(Generic[T]):
    """A value that one controller publishes and any thread reads without waiting."""

    def __init__(self, value: T) -> None:
        self._value = value
        self._changed = threading.Condition()

    def get(self) -> T:
        """Return the value last published."""
        return self._value

    def publish(self, value: T) -> None:
        """Publish a new value."""
        with self._changed:
            self._value = value
            self._changed.notify_all()

    def wait_for(self, holds: Callable[[T], bool], timeout_s: float) -> bool:
        """Wait until ``holds`` of the value; return whether it does."""
        with self._changed:
            return self._changed.wait_for(lambda: holds(self._value), timeout_s)


class Controller(pykka.ThreadingActor):
    """An actor that handles typed messages and survives an error in one of them."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Handle one message; an unexpected error is logged and is the answer to who asked."""
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
        """Queue a message from a thread that may outlive this controller a moment."""
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)

    def handle(self, message: Any) -> Any:
        """Handle one message; subclasses match on its type."""
        raise NotImplementedError


class Ticker:
    """Sends a `Tick` to an actor at a fixed interval until stopped."""

    def __init__(self, actor: pykka.ActorRef[Any], interval_s: float) -> None:
        self._actor = actor
        self._interval_s = interval_s
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Send no more ticks."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        # A tick that takes longer than the interval delays the next; they never pile up.
        while not self._stopped.wait(self._interval_s):
            try:
                self._actor.ask(Tick())
            except pykka.ActorDeadError:
                return
