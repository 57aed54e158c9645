"""How many requests all boxes together send an endpoint that is cold: so few that it does not fail.

An endpoint that has just started, or was idle for long, takes a configured number of requests a
second and falls over well above that. Boxes share no memory, so the leading control box allots
what there is: each cold endpoint is open to a few boxes, each of which may send it so many requests
in any second. Who has no allotment sends it nothing. An allotment ends by itself and is given to
another box only when whatever the first one sent is a second old.

Dividing the number evenly needs no leader, but a box cannot send a fraction of a request: 80 boxes
that may each send one in four seconds can do so in the same second.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from croftpulley.core import choice

WINDOW_S = 1.0
"""Requests are counted in any second."""
ALLOTTED_S = 1.0
"""How long a box may use what it was allotted: three more renewals may fail before it ends."""
MARGIN_S = 0.1
"""By how much clocks may run apart over an allotment, and how late a request may leave."""
RETURNED_S = 2.5
"""How long the endpoints of a hall that was returned are taken for cold: they may have turned cold
while they got nothing, and the list says so 0.8 s later by the users' settings. It is read each
0.5 s and told with the next renewal."""


@attrs.define
class _Part:
    """What one box may send in a second; another may have it from ``free_at_s`` on."""

    a_second: int
    free_at_s: float


@attrs.define
class _Allotment:
    """How the ``total`` that one endpoint takes in a second is divided among boxes.

    ``wanted`` is how it should be, ``parts`` what boxes hold: never more than ``total`` together.
    """

    total: int
    boxes: Sequence[str]
    wanted: dict[str, int]
    parts: dict[str, _Part] = attrs.field(factory=dict)

    def keep(self, now_s: float) -> None:
        """Drop the parts whose requests are all older than a second."""
        for box, part in list(self.parts.items()):
            if now_s >= part.free_at_s:
                del self.parts[box]

    def take(self, box: str, now_s: float) -> int:
        """Have a box hold its part for another while; return how large it is."""
        held = self.parts.setdefault(box, _Part(0, now_s))
        free = self.total - sum(each.a_second for each in self.parts.values())
        allotted = min(self.wanted.get(box, 0), held.a_second + free)
        if allotted:
            self.parts[box] = _Part(max(held.a_second, allotted), now_s + _TAKEN_S)
        return allotted


@attrs.define
class Allotments:
    """The allotments of a leading control box.

    >>> made = Allotments()
    >>> made.begin(now_s=0.0)
    >>> made.a_second("e", 4.0, "a", ("a", "b"), 1.0), made.a_second("e", 4.0, "a", ("a", "b"), 9.0)
    (0, 2)
    """

    _from_s: float = float("-inf")
    _by_endpoint: dict[str, _Allotment] = attrs.field(factory=dict)

    def begin(self, now_s: float) -> None:
        """Begin to lead: what the leader before has allotted must run out first."""
        self._by_endpoint.clear()
        self._from_s = now_s + _TAKEN_S

    def a_second(
        self, endpoint: str, takes_per_s: float, box: str, boxes: Sequence[str], now_s: float
    ) -> int:
        """Return how many requests ``box`` may send to ``endpoint`` in any second from now on.

        That holds for `ALLOTTED_S`. ``boxes`` are those in service; the parts go to those that the
        endpoint's own order prefers, so that several cold endpoints are open to different boxes.
        """
        if now_s < self._from_s:
            return 0
        known = self._by_endpoint.get(endpoint)
        if known is None:
            total = max(1, int(takes_per_s))
            known = _Allotment(total, boxes, _divided(endpoint, total, boxes))
            self._by_endpoint[endpoint] = known
        if known.boxes != boxes:
            known.boxes = boxes
            known.wanted = _divided(endpoint, known.total, boxes)
        known.keep(now_s)
        return known.take(box, now_s)

    def forget(self, now_s: float) -> None:
        """Drop endpoints to which nobody may send by an allotment any more."""
        for endpoint, allotment in list(self._by_endpoint.items()):
            allotment.keep(now_s)
            if not allotment.parts:
                del self._by_endpoint[endpoint]


_TAKEN_S = ALLOTTED_S + WINDOW_S + MARGIN_S


def _divided(endpoint: str, total: int, boxes: Sequence[str]) -> dict[str, int]:
    """Divide what an endpoint takes among as many boxes as possible, in whole requests."""
    each, rest = divmod(total, max(1, len(boxes)))
    ordered = choice.order(endpoint, boxes)[:total]
    return {box: each + (position < rest) for position, box in enumerate(ordered)}


@attrs.define
class Departure:
    """A request on its way to a cold endpoint; ``at_s`` is when its last byte left."""

    at_s: float = float("inf")


@attrs.define
class Pace:
    """What one box has sent to cold endpoints within the last second.

    A box that has just started does not know what it sent before: it waits until ``from_s``.

    >>> pace = Pace()
    >>> first = pace.take("e", 1, 0.0)
    >>> pace.may_send("e", 1, 5.0)
    False
    >>> first.at_s = 5.0
    >>> pace.may_send("e", 1, 5.9), pace.may_send("e", 1, 6.2)
    (False, True)
    """

    from_s: float = float("-inf")
    _sent: dict[str, list[Departure]] = attrs.field(factory=dict)

    @classmethod
    def started(cls, now_s: float) -> Pace:
        """Return the pace of a box that starts now."""
        return cls(now_s + WINDOW_S + MARGIN_S)

    def may_send(self, endpoint: str, a_second: int, now_s: float) -> bool:
        """Tell whether one more request is within what the box was allotted."""
        since_s = now_s - WINDOW_S - MARGIN_S
        counted = [each for each in self._sent.get(endpoint, ()) if each.at_s > since_s]
        if counted:
            self._sent[endpoint] = counted
        else:
            self._sent.pop(endpoint, None)
        return now_s >= self.from_s and len(counted) < a_second

    def take(self, endpoint: str, a_second: int, now_s: float) -> Departure | None:
        """Count a request; it counts until a second after its ``at_s``, which the sender sets."""
        if not self.may_send(endpoint, a_second, now_s):
            return None
        departure = Departure()
        self._sent.setdefault(endpoint, []).append(departure)
        return departure


def told(a_second: Mapping[str, int]) -> dict[str, int]:
    """Return what a box is told of cold endpoints, as counts that are not 0 (`told_back`)."""
    return {endpoint: count + 1 for endpoint, count in a_second.items()}


def told_back(counts: Mapping[str, int]) -> dict[str, int]:
    """Return how many requests a second a box may send to each cold endpoint.

    >>> told_back(told({"e": 0, "f": 2}))
    {'e': 0, 'f': 2}
    """
    return {endpoint: count - 1 for endpoint, count in counts.items()}
