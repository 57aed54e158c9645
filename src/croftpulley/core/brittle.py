"""Endpoints that end when they have to turn away too many requests, as they say in their answers.

Answers more demand than such a pool takes. Boxes hear each other's loads some time after the fact,
so now and then one sends more than there is room for; while endpoints are brittle they send no more
than surely finds room by all that they know, and whoever is turned away stays away for so long that
all boxes together, each turned away as often, stay within what the endpoint bears.
"""

from __future__ import annotations

import re

import attrs

BELIEVED_S = 5.0
"""How long an endpoint's word holds of which nothing more is heard."""
SAFETY = 2.0
"""How many times fewer requests it should turn away than it bears: boxes meet in one second."""
LEAST_AWAY_S = 1.0
"""How long a box stays away at least: the second in which an endpoint counts."""
_NUMBER = re.compile(r"\d{1,7}", re.ASCII).fullmatch


def parse(text: str) -> int | None:
    """Read how many requests an endpoint may turn away in a second; ``None`` if that says nothing.

    >>> parse("12"), parse("0"), parse("-1"), parse("many")
    (12, 0, None, None)
    """
    found = _NUMBER(text.strip())
    return int(found[0]) if found else None


def away_s(most_turned_away: int, boxes: int) -> float:
    """Return how long a box that was turned away stays away from an endpoint.

    >>> away_s(8, 3), away_s(8, 92), away_s(0, 3)
    (1.0, 23.0, 6.0)
    """
    return max(LEAST_AWAY_S, SAFETY * max(1, boxes) / max(1, most_turned_away))


@attrs.frozen
class _Said:
    pool: str
    most_turned_away: int
    until_s: float


@attrs.define
class Brittle:
    """The endpoints that said so, by their keys.

    >>> brittle = Brittle()
    >>> brittle.hear("e", "desk", 8, 10.0), brittle.hear("e", "desk", 8, 11.0)
    (True, False)
    >>> brittle.most_turned_away("desk", 12.0), brittle.most_turned_away("desk", 16.0)
    (8, None)
    """

    _said: dict[str, _Said] = attrs.field(factory=dict)

    def hear(self, endpoint: str, pool: str, most: int | None, now_s: float) -> bool:
        """Take what an answer says, ``None`` for nothing; tell whether that is news."""
        known = self._said.pop(endpoint, None)
        is_new = known is None or known.until_s <= now_s or known.most_turned_away != most
        if most is None:
            return known is not None and known.until_s > now_s
        self._said[endpoint] = _Said(pool, most, now_s + BELIEVED_S)
        return is_new

    def most_turned_away(self, pool: str, now_s: float) -> int | None:
        """Return what the most brittle of a pool's endpoints bears, ``None`` if none is brittle."""
        if not self._said:
            return None
        self._said = {key: each for key, each in self._said.items() if now_s < each.until_s}
        of_pool = [each.most_turned_away for each in self._said.values() if each.pool == pool]
        return min(of_pool, default=None)

    def is_brittle(self, endpoint: str, now_s: float) -> bool:
        """Tell whether an endpoint said so lately."""
        said = self._said.get(endpoint)
        return said is not None and now_s < said.until_s
