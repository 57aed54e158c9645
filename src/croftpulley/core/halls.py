"""Data halls: which are evacuated, and in which region each lies.

**Evacuations.** Operators order that the endpoints of a hall get no requests, until they take that
back. Orders have no number and no body, so one that is sent again cannot be told from a new one.
Each is applied in the order of the log: a hall that is evacuated already, or was returned already,
changes nothing, and whoever sent the order is told the same as the first time.

**Homes.** Routes and workspaces may name the regions where their requests may run. A request's body
goes from its caller to the box that the caller chose and from there straight to an endpoint, so
homes bear on which endpoints may be asked and on which boxes callers are told of.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

import attrs

from croftpulley.core import membership

LONGEST_NAME = 64
"""Characters of a hall's name, as in the settings of boxes."""


@attrs.frozen
class Evacuated:
    """The evacuated halls in the order of their names; ``revision`` grows with each change.

    >>> one = Evacuated().with_hall("b").with_hall("a")
    >>> one
    Evacuated(revision=2, names=('a', 'b'))
    >>> one.with_hall("a") is one, one.without_hall("c") is one
    (True, True)
    >>> one.without_hall("b")
    Evacuated(revision=3, names=('a',))
    """

    revision: int = 0
    names: tuple[str, ...] = ()

    def with_hall(self, hall: str) -> Evacuated:
        """Return what holds once ``hall`` is evacuated."""
        if hall in self.names:
            return self
        return Evacuated(self.revision + 1, tuple(sorted((*self.names, hall))))

    def without_hall(self, hall: str) -> Evacuated:
        """Return what holds once ``hall`` is returned to service."""
        if hall not in self.names:
            return self
        return Evacuated(self.revision + 1, tuple(name for name in self.names if name != hall))

    def unless(self, revision: int) -> Evacuated | None:
        """Return this, or ``None`` to one that knows this revision."""
        return None if revision == self.revision else self


def allowed(*homes: Sequence[str]) -> frozenset[str] | None:
    """Return the regions that are in every list of homes, ``None`` for any region.

    An empty list binds nothing.

    >>> allowed((), ()) is None, sorted(allowed(("a", "b"), ("b",))), allowed(("a",), ("b",))
    (True, ['b'], frozenset())
    """
    binding = [frozenset(each) for each in homes if each]
    return frozenset.intersection(*binding) if binding else None


Placed = TypeVar("Placed", membership.Box, membership.Endpoint)


@attrs.frozen
class Regions:
    """The region of each hall; a hall that the settings do not name lies in none."""

    by_hall: Mapping[str, str] = attrs.field(factory=dict)

    def of(self, hall: str) -> str:
        """Return a hall's region, empty if it is not known."""
        return self.by_hall.get(hall, "")

    def at_home(self, placed: Iterable[Placed], homes: frozenset[str] | None) -> list[Placed]:
        """Return the endpoints or boxes in ``homes``; all where nothing binds."""
        if homes is None:
            return list(placed)
        return [each for each in placed if self.of(each.hall) in homes]

    def ordered(
        self, boxes: Iterable[membership.Box], caller: Caller, homes: frozenset[str]
    ) -> list[membership.Box]:
        """Return the boxes for a caller: those of its hall first, then those of its region.

        With ``homes`` only boxes of these regions and of the caller's are told, if there are any.
        """
        region = caller.region or self.of(caller.hall)

        def distance(box: membership.Box) -> int:
            if box.hall == caller.hall:
                return 0
            return 1 if self.of(box.hall) == region else 2

        nearest = sorted(boxes, key=distance)
        if not homes:
            return nearest
        fitting = [box for box in nearest if self.of(box.hall) in homes | {region}]
        return fitting or nearest


@attrs.frozen
class Caller:
    """Where a caller is and which host it asks for, as far as it told."""

    hall: str = ""
    region: str = ""
    host: str = ""
