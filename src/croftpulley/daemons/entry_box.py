"""What all boxes that take callers' requests do alike: serve, then stop by plan."""

from __future__ import annotations

import abc
import logging
from typing import Any

from croftpulley.controllers import streams
from croftpulley.daemons import signals
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
TELLING_S = 0.25
"""How long requests that a planned stop ends may take to tell their callers."""


class EntryBox(abc.ABC):
    """A daemon that is drained before it stops."""

    @abc.abstractmethod
    def start(self) -> None:
        """Begin to serve and to renew."""

    @abc.abstractmethod
    def use_settings(self, settings: Any) -> None:
        """Use what settings that changed say, as far as it needs no restart."""

    @abc.abstractmethod
    def drain(self) -> bool:
        """Stop by plan; return whether every stream ended in time."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop at once; `drain` comes first in a planned stop."""

    def run(self, stop: signals.StopSignal) -> int:
        """Serve until the stop begins, then drain; return 0 if every stream ended, else 1."""
        self.start()
        stop.wait()
        ended = self.drain()
        self.stop()
        return 0 if ended else 1


def end_streams(in_flight: streams.Streams, limit_s: float) -> bool:
    """Wait for the streams to end, and log whether all did; return that.

    Those that did not are cancelled then, so that their callers are told what is known of them.
    """
    ended = in_flight.wait_until_empty(limit_s)
    event = events.Event.DRAIN_FINISHED if ended else events.Event.DRAIN_LIMIT_REACHED
    events.emit(_LOG, event, streams=in_flight.open_count())
    in_flight.stop()
    if not ended:
        in_flight.wait_until_empty(TELLING_S)
    return ended
