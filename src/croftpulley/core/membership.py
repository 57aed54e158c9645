"""The boxes and endpoints of the fleet, and which box owns which engine."""

from __future__ import annotations

import collections
import enum

import attrs


@attrs.frozen
class Box:
    """An entry box as other boxes see it."""

    name: str
    hall: str
    caller_address: str
    peer_address: str
    draining: bool = False


class EndpointKind(enum.Enum):
    """What runs at an address of the platform's list."""

    ENGINE = "engine"
    WORKER = "worker"


@attrs.frozen
class Endpoint:
    """An engine or a worker as the platform's list gives it.

    - ``name`` stays the same over restarts if the list provides stable names.
    - ``incarnation`` is the id that the endpoint identifies itself by; it runs no request that
      expects another one.
    - ``born_ms`` is the Unix time of its start, if the list gives it: then a restart may keep both
      name and incarnation.
    - ``slots`` is how many requests it runs concurrently, 0 if the list does not say.
    - ``version`` is the version of its software, empty if the list does not say.
    - ``key`` identifies one incarnation of the endpoint, from start to end, by whatever the list
      distinguishes them with. All state about an endpoint is stored under its key and ends with
      that incarnation.

    ``leaving`` is sticky: it is never reset within one incarnation.
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
        run = self.name if self.incarnation == self.name else f"{self.name}#{self.incarnation}"
        return run if self.born_ms is None else f"{run}@{self.born_ms}"


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
        """Return the box with this name, or ``None``."""
        return next((box for box in self.boxes if box.name == name), None)

    def engine(self, name: str) -> Endpoint | None:
        """Return the engine with this name, or ``None``."""
        return next((engine for engine in self.engines if engine.name == name), None)

    def engine_counts(self) -> dict[str, int]:
        """Return the number of engines of each pool that are not leaving."""
        return dict(collections.Counter(each.pool for each in self.engines if not each.leaving))

    def owner_of(self, engine: str) -> Ownership | None:
        """Return the ownership of ``engine``, or ``None``."""
        return next((each for each in self.owners if each.engine == engine), None)


@attrs.frozen
class PoolLoad:
    """Outstanding requests and engines of a pool, of those that one box owns or of all."""

    pool: str
    outstanding: int
    engines: int

    @property
    def mean(self) -> float:
        """Outstanding requests per engine; 0 without engines."""
        return self.outstanding / self.engines if self.engines else 0.0


def carry_over_leaving_flags(
    known: dict[str, Endpoint], listed: tuple[Endpoint, ...]
) -> tuple[Endpoint, ...]:
    """Return the listed endpoints with the ``leaving`` flag of earlier lists carried over.

    ``known`` holds the endpoints of earlier lists by name.
    """
    return tuple(carry_over_leaving_flag(known.get(each.name), each) for each in listed)


def carry_over_leaving_flag(known: Endpoint | None, listed: Endpoint) -> Endpoint:
    """Return ``listed``, marked as leaving if ``known`` is the same incarnation and was leaving."""
    if known is not None and known.key == listed.key and known.leaving:
        return attrs.evolve(listed, leaving=True)
    return listed
