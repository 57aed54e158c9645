"""Callers that wait until a change is in force, that is, in use on every box with a lease."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pykka

from croftpulley import codes, errors
from croftpulley.core import sessions


@attrs.frozen
class AwaitInForce:
    """Requests that ``done`` is set once ``target`` is in force on every box with a lease."""

    target: sessions.AppliedVersions
    done: pykka.Future[bool]


class InForceWaiters:
    """The pending requests at one leader; not thread-safe."""

    def __init__(self) -> None:
        self._waiting: list[AwaitInForce] = []

    def add(self, message: AwaitInForce) -> None:
        """Add a pending request."""
        self._waiting.append(message)

    def complete(self, is_in_force: Callable[[sessions.AppliedVersions], bool]) -> None:
        """Set the futures of the requests whose target is in force now."""
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if is_in_force(each.target):
                each.done.set(True)
            else:
                self._waiting.append(each)

    def fail_all(self) -> None:
        """Fail all pending requests with NOT_LEADER."""
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            failure = errors.CroftpulleyError(codes.ResultCode.NOT_LEADER)
            each.done.set_exception((type(failure), failure, None))
