"""What the fleet knows of its boxes and engines."""

from __future__ import annotations

import collections
import enum

import attrs


@attrs.frozen
class Box:
    """An entry box as the others see it."""

    name: str
    hall: str
    caller_address: str
    peer_address: str
    draining: bool = False


class EndpointKind(enum.Enum):
    """What stands behind an address of the platform's list."""

    ENGINE = "engine"
    WORKER = "worker"


@attrs.frozen
class Endpoint:
    """An engine or a worker as the platform's list gives it.

    ``name`` stays the same over restarts where the list says so. ``incarnation`` is what the
    endpoint itself answers to; a request that expects another one is not run there. ``born_ms`` is
    the Unix time of its start, where the list tells: then a restart may keep both. ``slots`` is how
    many requests it runs at once, 0 if the list does not tell. ``version`` is that of its software,
    empty where the list tells none. ``key`` names one life of the endpoint, whichever way the list
    tells lives apart: all that is remembered of an endpoint is kept by its key, and ends with it.
    Leaving is sticky within one life.
    """

    name: str
    kind: EndpointKind
    pool: str
    address: str
    hall: str
    incarnation: str
    leaving: bool = False
    born_ms: int | None = None
    slots: int = 0
    version: str = ""
    key: str = attrs.field(init=False, repr=False)

    @key.default
    def _make_key(self) -> str:
        life = self.name if self.incarnation == self.name else f"{self.name}#{self.incarnation}"
        return life if self.born_ms is None else f"{life}@{self.born_ms}"


@attrs.frozen
class Ownership:
    """Which box owns an engine; the epoch grows with every grant."""

    engine: str
    box: str
    epoch: int


@attrs.frozen
class Directory:
    """Live boxes, known engines and their owners, as the control boxes see them."""

    version: int = 0
    boxes: tuple[Box, ...] = ()
    engines: tuple[Endpoint, ...] = ()
    owners: tuple[Ownership, ...] = ()

    def box(self, name: str) -> Box | None:
        """Return the box called ``name``."""
        return next((box for box in self.boxes if box.name == name), None)

    def engine(self, name: str) -> Endpoint | None:
        """Return the engine called ``name``."""
        return next((engine for engine in self.engines if engine.name == name), None)

    def engine_counts(self) -> dict[str, int]:
        """Return how many engines each pool has that are not leaving."""
        return dict(collections.Counter(each.pool for each in self.engines if not each.leaving))

    def owner_of(self, engine: str) -> Ownership | None:
        """Return the ownership of ``engine``."""
        return next((each for each in self.owners if each.engine == engine), None)


@attrs.frozen
class PoolLoad:
    """Requests outstanding at the engines of a pool that one box owns, or that all own."""

    pool: str
    outstanding: int
    engines: int

    @property
    def mean(self) -> float:
        """Outstanding requests an engine."""
        return self.outstanding / self.engines if self.engines else 0.0


def keep_leaving(known: dict[str, Endpoint], listed: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
    """Make leaving sticky: an endpoint once seen leaving stays so within one life.

    ``known`` holds endpoints by name.
    """
    return tuple(sticky(known.get(each.name), each) for each in listed)


def sticky(known: Endpoint | None, listed: Endpoint) -> Endpoint:
    """Return ``listed``, leaving if ``known`` is the same life and was seen leaving."""
    if known is not None and known.key == listed.key and known.leaving:
        return attrs.evolve(listed, leaving=True)
    return listed
