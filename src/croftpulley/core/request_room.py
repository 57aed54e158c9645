"""How much memory the requests of a process may take while it receives and serves them.

Clients decide how much they send, how fast, and whether they ever finish. So all requests together
have a limit, and when it is exceeded, requests that are not complete yet give way: first the one
that has taken the most memory for the longest time. That is hardly ever a request whose client
sends it in one go, however large, and never a short one beside long ones that stay.

Requests that are complete give way to nothing, since they may be running. Long ones may take only a
part of the room, so that short requests are received whatever long ones are being served.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable

import attrs

SHORT_REQUEST_BYTES = 65_536
"""Longer requests are long ones."""
_LONG_SHARE = 0.75
"""Of the room, for long requests."""


@attrs.define(eq=False)
class HeldRequest:
    """One request; ``give_up`` is called, from any thread, when it has to give way."""

    since_s: float
    give_up: Callable[[], None]
    size_bytes: int = 0
    is_complete: bool = False
    is_over: bool = False
    """It was given up or released."""

    @property
    def is_long(self) -> bool:
        """Tell whether it counts as a long request."""
        return self.size_bytes > SHORT_REQUEST_BYTES

    def cost(self, now_s: float) -> float:
        """Return how much memory it has taken for how long, in byte seconds."""
        return self.size_bytes * (now_s - self.since_s)


class RequestRoom:
    """The requests that a process holds, from any of its listeners. Thread-safe.

    There is room for a request of the largest size that any listener allows, however small
    ``room_bytes`` is.
    """

    def __init__(self, room_bytes: int) -> None:
        self._lock = threading.Lock()
        self._held: set[HeldRequest] = set()
        self._total_bytes = 0
        self._long_bytes = 0
        self._wanted_bytes = room_bytes
        self._room_bytes = room_bytes
        self._long_room_bytes = int(room_bytes * _LONG_SHARE)
        self._largest_bytes: dict[str, int] = {}

    @property
    def held_bytes(self) -> int:
        """What all requests take now."""
        return self._total_bytes

    def describe(self) -> dict[str, int]:
        """Return the log field for what is held."""
        return {"request_bytes": self.held_bytes}

    def fit(self, listener: str, largest_bytes: int) -> None:
        """Have room for a request of this size from now on, whatever short ones take."""
        with self._lock:
            self._largest_bytes[listener] = largest_bytes
            least_bytes = max(self._largest_bytes.values())
            self._room_bytes = max(self._wanted_bytes, math.ceil(least_bytes / _LONG_SHARE))
            self._long_room_bytes = max(int(self._room_bytes * _LONG_SHARE), least_bytes)

    def grow(
        self, request: HeldRequest, size_bytes: int, now_s: float, *, is_complete: bool
    ) -> None:
        """Count a request with its size by now; requests that have to give way are given up.

        It may be among them itself, even if it has just been completed. One that was given up or
        released is counted no more.
        """
        with self._lock:
            if request.is_over:
                return
            self._held.add(request)
            self._count(request, -1)
            request.size_bytes = size_bytes
            self._count(request, 1)
            given_up = self._make_room(now_s)
            request.is_complete = is_complete
        for each in given_up:
            each.give_up()

    def release(self, request: HeldRequest) -> None:
        """Count a request no more."""
        with self._lock:
            self._forget(request)

    def _make_room(self, now_s: float) -> list[HeldRequest]:
        given_up = []
        while self._is_exceeded():
            is_long_only = self._total_bytes <= self._room_bytes
            incomplete = [
                each
                for each in self._held
                if not each.is_complete and (each.is_long or not is_long_only)
            ]
            if not incomplete:
                break
            costliest = max(incomplete, key=lambda each: each.cost(now_s))
            self._forget(costliest)
            given_up.append(costliest)
        return given_up

    def _is_exceeded(self) -> bool:
        return self._total_bytes > self._room_bytes or self._long_bytes > self._long_room_bytes

    def _forget(self, request: HeldRequest) -> None:
        request.is_over = True
        if request in self._held:
            self._held.remove(request)
            self._count(request, -1)

    def _count(self, request: HeldRequest, sign: int) -> None:
        self._total_bytes += sign * request.size_bytes
        if request.is_long:
            self._long_bytes += sign * request.size_bytes
