"""Whether one box reaches the endpoints of its pools, by what its own connections met; pure.

An endpoint that cannot be reached has ended or is cut off; so has the box. Failures in a row do not
tell which where many endpoints are down, so they only raise a doubt: then others of the pool are
tried all at once, and the way is lost if none of those is reached either.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

LEAST_FAILED = 2
"""Endpoints of a pool that cannot be reached, one after another, before the way is in doubt."""
MOST_LOOKED_AT = 16
"""Endpoints that are tried at once then. With three quarters of a pool of 24 down none of so many
is reached once in 10,000 looks, of a pool of any size once in 100."""
LOOKED_S = 0.5
"""How long a look that reached an endpoint holds: who fails meanwhile has ended."""
FLAPPING_S = 5.0
"""A way that is lost again so soon after it was back is there once two connections in a row are
made: a link that comes and goes is left alone."""
REACHED_S = 1.0
"""How long a connection that was made says that the way is there."""
REMEMBERED_S = 5.0
"""What failed longer ago says nothing of the way now."""
SILENT_S = 0.5
"""How long nothing may come back over connections to several endpoints before the way is doubted:
most answers begin sooner, and a doubt alone decides nothing."""
UNTOLD_S = 1.0
"""After so long without an answer of a pool its way is doubted as well where another's is lost."""
AWAITED_S = 2.0
"""How long it is open whether a failure was its endpoint's: until another of the pool answers."""


@attrs.frozen
class Failure:
    """An attempt at an endpoint that ended without a word of it."""

    endpoint: str
    at_s: float


@attrs.define
class PoolReach:
    """The way to one pool's endpoints, by their keys.

    >>> way = PoolReach()
    >>> way.unreached("a", 3, 0.0), way.unreached("b", 3, 0.1)
    (False, True)
    >>> way.looked(is_reached=False, now_s=0.2), way.is_lost
    (True, True)
    >>> way.connected(0.3), way.is_lost
    (True, False)
    """

    is_lost: bool = False
    """No connection is made."""
    is_mute: bool = False
    """Connections are made, and nothing comes back over them."""
    _silent_since_s: dict[str, float] = attrs.field(factory=dict)
    _answered_at_s: float = float("-inf")
    _broken: set[str] = attrs.field(factory=set)
    """Endpoints whose attempts ended without a word since any of the pool has answered."""
    _unreached_at_s: dict[str, float] = attrs.field(factory=dict)
    _looks_since_s: float | None = None
    """Since when others are tried, if they are."""
    _looked_at_s: float = float("-inf")
    _connected_at_s: float = float("-inf")
    _back_at_s: float = float("-inf")
    _reached_count: int = 0
    _least_reached: int = 1
    _open: list[Failure] = attrs.field(factory=list)

    def unreached(self, endpoint: str, size: int, now_s: float) -> bool:
        """Note that no connection to an endpoint was made; tell whether to look at others now.

        ``size`` is how many endpoints the pool has. Who is told so
        says by `looked` what came of it.
        """
        self._reached_count = 0
        self._unreached_at_s[endpoint] = now_s
        self._unreached_at_s = {
            key: at_s for key, at_s in self._unreached_at_s.items() if now_s < at_s + REMEMBERED_S
        }
        if self.is_lost or self._looks_since_s is not None or now_s < self._looked_at_s + LOOKED_S:
            return False
        if len(self._unreached_at_s) < _least(size):
            return False
        self._looks_since_s = now_s
        return True

    @property
    def is_looked_at(self) -> bool:
        """Tell whether others are being tried now."""
        return self._looks_since_s is not None

    def looked(self, *, is_reached: bool, now_s: float) -> bool:
        """Note whether a look reached any endpoint; tell whether the way is lost by that."""
        since_s, self._looks_since_s = self._looks_since_s, None
        if is_reached or since_s is None or self._connected_at_s >= since_s:
            self._looked_at_s = now_s
            self._connected_at_s = now_s
            self._unreached_at_s.clear()
            return False
        self.is_lost = True
        self._reached_count = 0
        self._least_reached = 2 if now_s < self._back_at_s + FLAPPING_S else 1
        # The failures were the way's, not the endpoints'.
        self._open.clear()
        return True

    def connected(self, now_s: float) -> bool:
        """Note that a connection to an endpoint was made; tell whether the way is there again."""
        self._connected_at_s = now_s
        if not self.is_lost:
            self._unreached_at_s.clear()
            return False
        self._reached_count += 1
        if self._reached_count < self._least_reached:
            return False
        self.is_lost = False
        self._back_at_s = now_s
        self._reached_count = 0
        self._unreached_at_s.clear()
        return True

    def asked(self, endpoint: str, now_s: float) -> None:
        """Note a connection over which an answer is awaited."""
        self._silent_since_s.setdefault(endpoint, now_s)

    def silent(self, size: int, now_s: float) -> list[str]:
        """Return the endpoints that have been silent for long, if they are enough for a doubt.

        ``size`` is how many endpoints the pool has. No other one has answered since either.
        """
        since_s = self._silent_since_s.items()
        silent = [key for key, at_s in since_s if at_s + SILENT_S <= now_s]
        return silent if len(silent) >= _least(size) else []

    def is_reached(self, now_s: float) -> bool:
        """Tell whether a connection to any endpoint was made lately."""
        return not self.is_lost and now_s < self._connected_at_s + REACHED_S

    def untold(self, endpoints: Iterable[str], now_s: float) -> list[str]:
        """Return these endpoints if none of the pool has answered lately, asked or not."""
        return list(endpoints) if self._answered_at_s + UNTOLD_S <= now_s else []

    def broken(self, size: int) -> list[str]:
        """Return the endpoints whose attempts ended without a word, if enough for a doubt."""
        return sorted(self._broken) if len(self._broken) >= _least(size) else []

    def mute(self) -> None:
        """Take the way to be mute: endpoints that were asked whether they are well said nothing."""
        self.is_mute = True
        self._open.clear()

    def failed(self, endpoint: str, now_s: float) -> None:
        """Note an attempt that ended without a word of its endpoint, or within its answer."""
        if endpoint not in self._unreached_at_s:
            self._broken.add(endpoint)
        if not (self.is_lost or self.is_mute):
            self._open.append(Failure(endpoint, now_s))

    def answered(self, endpoint: str, now_s: float) -> list[str]:
        """Note an answer's head; return the endpoints of failures that were not the way's.

        Those are the ones that came before, at other endpoints, each as often as it failed.
        """
        self.is_mute = False
        self._answered_at_s = now_s
        self._silent_since_s.clear()
        self._broken.clear()
        recent = [each for each in self._open if now_s < each.at_s + AWAITED_S]
        self._open = [each for each in recent if each.endpoint == endpoint]
        return [each.endpoint for each in recent if each.endpoint != endpoint]


def _least(size: int) -> int:
    """Return how many of a pool's endpoints, of which there are ``size``, speak for the way."""
    return max(1, min(LEAST_FAILED, size))
