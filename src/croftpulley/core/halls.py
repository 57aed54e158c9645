"""Which data halls are evacuated, as operators have ordered: their endpoints get no requests.

Orders have no number and no body, so one that is sent again cannot be told from a new one. Each is
applied in the order of the log: a hall that is evacuated already, or was returned already, changes
nothing, and whoever sent the order is told the same as the first time.
"""

from __future__ import annotations

import attrs

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
