"""From which pools boxes have answers, as they tell the leading control box; pure.

A box over whose connections nothing comes back cannot tell by itself whether its links are lost or
the endpoints are slow: that others have answers speaks for the links.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

RECENT_S = 2.0
"""How long an answer says that its pool answers: some renewals, and few requests a second."""


@attrs.define
class Answering:
    """When each box last had answers of each pool.

    >>> heard = Answering()
    >>> heard.note("box-1", ["llm"], 0.0)
    >>> heard.by_others("box-2", 0.5), heard.by_others("box-1", 0.5), heard.by_others("box-2", 2.5)
    (('llm',), (), ())
    """

    _at_s: dict[str, dict[str, float]] = attrs.field(factory=dict)
    """By pools, then by boxes."""

    def note(self, box: str, pools: Iterable[str], now_s: float) -> None:
        """Take a box's word that pools have answered since its last one."""
        for pool in pools:
            of_pool = self._at_s.setdefault(pool, {})
            of_pool.pop(box, None)
            # The newest stands last.
            of_pool[box] = now_s

    def by_others(self, box: str, now_s: float) -> tuple[str, ...]:
        """Return the pools of which another box had answers lately."""
        return tuple(
            pool for pool, of_pool in sorted(self._at_s.items()) if _other(of_pool, box, now_s)
        )

    def forget(self, now_s: float) -> None:
        """Drop what is too old to say anything."""
        for pool, of_pool in list(self._at_s.items()):
            recent = {box: at_s for box, at_s in of_pool.items() if now_s < at_s + RECENT_S}
            if recent:
                self._at_s[pool] = recent
            else:
                del self._at_s[pool]


def _other(of_pool: dict[str, float], box: str, now_s: float) -> bool:
    """Tell whether the newest word of another box is recent; it is one of the last two."""
    newest = [name for name, _ in zip(reversed(of_pool), range(2), strict=False)]
    return any(name != box and now_s < of_pool[name] + RECENT_S for name in newest)
