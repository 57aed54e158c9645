"""Evacuations of a hall: an operator that orders them in turns, and what endpoints then get."""

from __future__ import annotations

import math
import random
import threading
import time
from collections.abc import Iterator

import attrs
import orjson

from soak import callers, fleet, processes

HALL = "hall-b"
_EVACUATED_S = (0.5, 5.0)
_IN_SERVICE_S = (0.3, 1.5)
_PAUSE_S = 0.1
"""Before an order without a clear answer is sent again."""


@attrs.define
class Evacuation:
    """From its acknowledgement until the order that takes it back is first sent."""

    acknowledged_s: float
    taken_back_s: float = math.inf

    def covers(self, at_s: float, slack_s: float) -> bool:
        """Tell whether a time lies in it, ``slack_s`` after its beginning or later."""
        return self.acknowledged_s + slack_s < at_s < self.taken_back_s


class Operator:
    """Evacuates and returns a hall in turns, at any box, until it is stopped."""

    def __init__(self, site: fleet.Fleet, seed: int, *, runs: bool) -> None:
        self.evacuations: list[Evacuation] = []
        self._site = site
        self._chance = random.Random(f"{seed} places")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._operate, daemon=True) if runs else None

    def start(self) -> None:
        """Begin."""
        if self._thread is not None:
            self._thread.start()

    def stop(self) -> None:
        """End with the hall evacuated by an order that was acknowledged, or given up."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()

    def _operate(self) -> None:
        while not self._stopped.is_set():
            self._evacuate()
            self._stopped.wait(self._chance.uniform(*_EVACUATED_S))
            if self._stopped.is_set():
                return
            for each in self.evacuations[-1:]:
                each.taken_back_s = min(each.taken_back_s, time.monotonic())
            self._order("DELETE")
            self._stopped.wait(self._chance.uniform(*_IN_SERVICE_S))

    def _evacuate(self) -> None:
        if self._order("POST"):
            self.evacuations.append(Evacuation(time.monotonic()))

    def _order(self, method: str) -> bool:
        """Send an order to one box after the other until one acknowledges it."""
        while True:
            box = self._chance.choice(self._site.control)
            answer = callers.operate(box, method, f"/v1/halls/{HALL}/evacuation", None)
            if answer is not None and answer.status == 200:
                return True
            if answer is not None and 400 <= answer.status < 500:
                raise AssertionError(f"an order was refused with {answer.status}: {answer.body!r}")
            if self._stopped.wait(_PAUSE_S):
                return False


def sent_there(site: fleet.Fleet, evacuations: list[Evacuation], slack_s: float) -> Iterator[str]:
    """Find requests that reached endpoints of the hall while it was evacuated."""
    for each in (*site.served, *site.past):
        if each.hall != HALL:
            continue
        for arrival in each.stand_in.arrivals:
            for evacuation in evacuations:
                if evacuation.covers(arrival.at_s, slack_s):
                    late_s = arrival.at_s - evacuation.acknowledged_s
                    yield f"a request reached {each.stand_in.incarnation} {late_s:.2f} s late"


def lost(site: fleet.Fleet, evacuations: list[Evacuation]) -> Iterator[str]:
    """Find an evacuation that is in force no more, though nobody has taken it back."""
    if not evacuations or evacuations[-1].taken_back_s < math.inf:
        return
    names = _evacuated(site.control)
    if HALL not in names:
        yield f"{HALL} was evacuated and not returned, and is not evacuated now: {names}"


def _evacuated(control: list[processes.Program]) -> list[str]:
    for box in control:
        answer = callers.operate(box, "GET", "/v1/halls", None)
        if answer is not None and answer.status == 200:
            halls = orjson.loads(answer.body)["halls"]
            return [each["hall"] for each in halls if each["evacuated"]]
    return ["nobody says"]
