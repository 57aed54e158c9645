"""Who waits for something to be in force at every box that holds a lease."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pykka

from croftpulley import codes, errors
from croftpulley.core import sessions


@attrs.frozen
class WhenInForce:
    """Asks for a future to be set once ``wanted`` is in force at every box with a lease."""

    wanted: sessions.Known
    done: pykka.Future[bool]


class Waiting:
    """Those who wait at one leader; used by one thread."""

    def __init__(self) -> None:
        self._waiting: list[WhenInForce] = []

    def add(self, message: WhenInForce) -> None:
        """Have one more wait."""
        self._waiting.append(message)

    def settle(self, is_in_force: Callable[[sessions.Known], bool]) -> None:
        """Answer those whose wish is in force now."""
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if is_in_force(each.wanted):
                each.done.set(True)
            else:
                self._waiting.append(each)

    def refuse(self) -> None:
        """Tell all that another box leads."""
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            failure = errors.CroftpulleyError(codes.ResultCode.NOT_LEADER)
            each.done.set_exception((type(failure), failure, None))
