"""Data halls: which are evacuated, and the region that each belongs to.

**Evacuations.** Operators order that the endpoints of a hall get no requests, and later end that.
Orders have no number and no body, so a repeated order cannot be told from a new one. Orders are
applied in log order and are idempotent: one that changes nothing gets the same answer as the first.

**Home regions.** Routes and workspaces may name the regions where their requests may run. The body
of a request goes from the caller to the box that it chose and from there directly to an endpoint,
so home regions restrict both the endpoints that are used and the boxes that callers are sent to.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

import attrs

from croftpulley.core import membership

MAX_HALL_NAME_LENGTH = 64
"""Maximum length of a hall's name in characters, as in the settings of boxes."""


@attrs.frozen
class EvacuatedHalls:
    """The names of the evacuated halls, sorted; ``revision`` grows with each change.

    >>> one = EvacuatedHalls().with_hall("b").with_hall("a")
    >>> one
    EvacuatedHalls(revision=2, names=('a', 'b'))
    >>> one.with_hall("a") is one, one.without_hall("c") is one
    (True, True)
    >>> one.without_hall("b")
    EvacuatedHalls(revision=3, names=('a',))
    """

    revision: int = 0
    names: tuple[str, ...] = ()

    def with_hall(self, hall: str) -> EvacuatedHalls:
        """Return the set with ``hall`` evacuated; ``self`` if it already is."""
        if hall in self.names:
            return self
        return EvacuatedHalls(self.revision + 1, tuple(sorted((*self.names, hall))))

    def without_hall(self, hall: str) -> EvacuatedHalls:
        """Return the set without ``hall``; ``self`` if it is not evacuated."""
        if hall not in self.names:
            return self
        return EvacuatedHalls(self.revision + 1, tuple(name for name in self.names if name != hall))

    def if_changed(self, revision: int) -> EvacuatedHalls | None:
        """Return ``self``, or ``None`` for a recipient that already has this revision."""
        return None if revision == self.revision else self


def allowed_regions(*region_lists: Sequence[str]) -> frozenset[str] | None:
    """Return the regions that are in every list of home regions, ``None`` if any region is allowed.

    An empty list restricts nothing.

    >>> allowed_regions((), ()) is None, sorted(allowed_regions(("a", "b"), ("b",)))
    (True, ['b'])
    >>> allowed_regions(("a",), ("b",))
    frozenset()
    """
    binding = [frozenset(each) for each in region_lists if each]
    return frozenset.intersection(*binding) if binding else None


Located = TypeVar("Located", membership.Box, membership.Endpoint)


@attrs.frozen
class HallRegions:
    """The region of each hall; a hall that the settings do not name has none."""

    by_hall: Mapping[str, str] = attrs.field(factory=dict)

    def region_of(self, hall: str) -> str:
        """Return the region of a hall, an empty string if it is not known."""
        return self.by_hall.get(hall, "")

    def filter_by_region(
        self, located: Iterable[Located], home_regions: frozenset[str] | None
    ) -> list[Located]:
        """Return the endpoints or boxes in the regions ``home_regions``; all if it is ``None``."""
        if home_regions is None:
            return list(located)
        return [each for each in located if self.region_of(each.hall) in home_regions]

    def nearest_boxes(
        self, boxes: Iterable[membership.Box], caller: CallerLocation, home_regions: frozenset[str]
    ) -> list[membership.Box]:
        """Return the boxes for a caller, nearest first: its own hall, then its region, then others.

        If ``home_regions`` is not empty, only boxes in these regions and in the caller's region are
        returned, or all boxes if there are none there.
        """
        region = caller.region or self.region_of(caller.hall)

        def distance(box: membership.Box) -> int:
            if box.hall == caller.hall:
                return 0
            return 1 if self.region_of(box.hall) == region else 2

        nearest = sorted(boxes, key=distance)
        if not home_regions:
            return nearest
        in_regions = [box for box in nearest if self.region_of(box.hall) in home_regions | {region}]
        return in_regions or nearest


@attrs.frozen
class CallerLocation:
    """The location of a caller and the host that it asks for; empty where it sent none."""

    hall: str = ""
    region: str = ""
    host: str = ""
