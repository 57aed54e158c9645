"""Endpoints that crash if they reject too many requests a second, as announced in their responses.

Such a *brittle* pool may be offered more load than it can take. Boxes learn of each other's load
with a delay, so now and then one sends a request for which there is no room. While endpoints are
brittle, boxes send only requests that certainly find room by all they know. A box that is rejected
backs off for so long that all boxes together, each rejected equally often, stay below the announced
number of rejections.
"""

from __future__ import annotations

import re

import attrs

ANNOUNCEMENT_TTL_S = 5.0
"""How long an announcement holds if it is not renewed."""
SAFETY_FACTOR = 2.0
"""Safety factor on the announced number of rejections, as several boxes may be rejected in the same
second."""
MIN_BACKOFF_S = 1.0
"""Shortest back-off after a rejection: the second over which an endpoint counts rejections."""
_NUMBER = re.compile(r"\d{1,7}", re.ASCII).fullmatch


def parse(text: str) -> int | None:
    """Parse how many requests an endpoint may reject a second; ``None`` if it is no valid number.

    >>> parse("12"), parse("0"), parse("-1"), parse("many")
    (12, 0, None, None)
    """
    found = _NUMBER(text.strip())
    return int(found[0]) if found else None


def backoff_s(most_turned_away: int, boxes: int) -> float:
    """Return how long a box backs off from a brittle endpoint that rejected it.

    ``boxes`` is how many boxes share the limit of ``most_turned_away`` rejections a second.

    >>> backoff_s(8, 3), backoff_s(8, 92), backoff_s(0, 3)
    (1.0, 23.0, 6.0)
    """
    return max(MIN_BACKOFF_S, SAFETY_FACTOR * max(1, boxes) / max(1, most_turned_away))


@attrs.frozen
class _Announcement:
    """An announcement and when it expires."""

    pool: str
    most_turned_away: int
    until_s: float


@attrs.define
class BrittleEndpoints:
    """The endpoints that announced a limit on rejections, by endpoint key.

    >>> brittle = BrittleEndpoints()
    >>> brittle.note_limit("e", "desk", 8, 10.0), brittle.note_limit("e", "desk", 8, 11.0)
    (True, False)
    >>> brittle.most_turned_away("desk", 12.0), brittle.most_turned_away("desk", 16.0)
    (8, None)
    """

    _announcements: dict[str, _Announcement] = attrs.field(factory=dict)

    def note_limit(self, endpoint: str, pool: str, limit: int | None, now_s: float) -> bool:
        """Record the limit announced in a response, ``None`` if it has none; tell whether it
        changed.
        """
        known = self._announcements.pop(endpoint, None)
        is_new = known is None or known.until_s <= now_s or known.most_turned_away != limit
        if limit is None:
            return known is not None and known.until_s > now_s
        self._announcements[endpoint] = _Announcement(pool, limit, now_s + ANNOUNCEMENT_TTL_S)
        return is_new

    def most_turned_away(self, pool: str, now_s: float) -> int | None:
        """Return the lowest limit in a pool, in rejections a second; ``None`` if it has none."""
        if not self._announcements:
            return None
        self._announcements = {
            key: each for key, each in self._announcements.items() if now_s < each.until_s
        }
        of_pool = [
            each.most_turned_away for each in self._announcements.values() if each.pool == pool
        ]
        return min(of_pool, default=None)

    def is_brittle(self, endpoint: str, now_s: float) -> bool:
        """Tell whether the endpoint has announced a limit within `ANNOUNCEMENT_TTL_S`."""
        announcement = self._announcements.get(endpoint)
        return announcement is not None and now_s < announcement.until_s
