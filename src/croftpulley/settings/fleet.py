"""The fleet's agreed configuration: what operators submit and every router obeys."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from croftpulley import errors
from croftpulley.policy import arms, language
from croftpulley.settings import loader


def _positive(_instance: object, _attribute: attrs.Attribute[Any], value: float) -> None:
    if value <= 0:
        raise ValueError(f"got {value!r}, allowed is more than 0")


def _not_negative(_instance: object, _attribute: attrs.Attribute[Any], value: float) -> None:
    if value < 0:
        raise ValueError(f"got {value!r}, allowed is 0 or more")


def _path_prefix(_instance: object, _attribute: attrs.Attribute[Any], value: str) -> None:
    if not value.startswith("/") or not value.endswith("/"):
        raise ValueError(f"got {value!r}, allowed is a path that begins and ends with a slash")


def _at_least_one(_instance: object, _attribute: attrs.Attribute[Any], value: float) -> None:
    if value < 1:
        raise ValueError(f"got {value!r}, allowed is 1 or more")


@attrs.frozen(kw_only=True)
class RequestClass:
    """A class of requests; a larger ``priority`` goes first at the engine."""

    name: str
    priority: int = 0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer: its limit of requests in flight at one entry box, and the keys of its callers.

    ``priority`` ranks customers before routes; 0 is the most urgent. Its requests run in its
    ``home_regions`` only; none binds nothing.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int = attrs.field(default=0, validator=_not_negative)
    in_flight_per_box: int = attrs.field(default=1000, validator=_positive)
    home_regions: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Model:
    """A model that callers name and the pool of engines that serves it."""

    name: str
    pool: str


@attrs.frozen(kw_only=True)
class Service:
    """A plain service, the pool of its workers and which calls may not be repeated."""

    name: str
    pool: str
    unrepeatable_calls: tuple[str, ...] = ()


class RouteKind(enum.Enum):
    """What may be done with a request whose fate is not known."""

    REPEATABLE = "repeatable"
    """It may run more than once."""
    ONCE = "once"
    """It may run at most once."""
    STREAM = "stream"
    """Its answer is an event stream; it may run once, unless the route lets streams resume."""


@attrs.frozen(kw_only=True)
class Share:
    """A pool's part of a route's requests; shares count in proportion."""

    pool: str
    weight: int = attrs.field(default=1, validator=_not_negative)


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host below one path, passed on as they are.

    ``time_limit_ms`` is how long a request may be held, ``objective_ms`` when its answer (a
    stream: the first event) is in time, ``gap_ms`` the longest pause between events that is in
    time. ``attempts`` is at how many endpoints it may run. ``open`` routes need no key.
    ``sticky`` requests name the parts of their prompt and should go where those are cached.
    ``resumable`` streams may go on at another endpoint. Priority 0 is the most urgent. Requests run
    in ``home_regions`` only, and in those of their workspace; none binds nothing.
    """

    name: str
    host: str
    path_prefix: str = attrs.field(validator=_path_prefix)
    kind: RouteKind
    shares: tuple[Share, ...]
    time_limit_ms: float = attrs.field(validator=_positive)
    objective_ms: float = attrs.field(default=1000.0, validator=_positive)
    gap_ms: float = attrs.field(default=1000.0, validator=_positive)
    priority: int = attrs.field(default=0, validator=_not_negative)
    attempts: int = attrs.field(default=1, validator=_at_least_one)
    open: bool = False
    sticky: bool = False
    resumable: bool = False
    home_regions: tuple[str, ...] = ()

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run again when its fate is not known."""
        return self.is_resumable_stream or self.kind is RouteKind.REPEATABLE

    @property
    def is_resumable_stream(self) -> bool:
        """Tell whether its answers are streams that may go on at another endpoint."""
        return self.kind is RouteKind.STREAM and self.resumable

    @property
    def is_split(self) -> bool:
        """Tell whether its requests go to several pools."""
        return sum(bool(share.weight) for share in self.shares) > 1


@attrs.frozen(kw_only=True)
class Pool:
    """Endpoints that routes send to; ``slots`` and ``cache_tokens`` are of one, 0 if unknown.

    ``cold_per_s`` is how many requests a second one takes that is cold; 0 sets no bound.
    """

    name: str
    health_path: str = "/health"
    connections: int = attrs.field(default=1000, validator=_positive)
    slots: int = attrs.field(default=0, validator=_not_negative)
    cache_tokens: int = attrs.field(default=0, validator=_not_negative)
    cold_per_s: float = attrs.field(default=0.0, validator=_not_negative)


@attrs.frozen(kw_only=True)
class Arm:
    """A share of the chats and the programs that decide for it (``docs/POLICIES.md``).

    ``score`` and ``admit`` are programs; empty, the built-in rule decides. An arm with ``acts``
    false decides and is counted, and the built-in rule is obeyed.
    """

    name: str
    weight: int = attrs.field(default=1, validator=_not_negative)
    score: str = ""
    admit: str = ""
    acts: bool = True


@attrs.frozen(kw_only=True)
class WireLimits:
    """What a caller of a route may send and how long it may take, changed while running."""

    header_size_bytes: int = attrs.field(default=32_768, validator=_positive)
    body_size_bytes: int = attrs.field(default=1_048_576, validator=_positive)
    header_wait_ms: float = attrs.field(default=10_000, validator=_positive)
    idle_ms: float = attrs.field(default=60_000, validator=_positive)


@attrs.frozen(kw_only=True)
class FleetConfiguration:
    """One version of the configuration. ``version`` 0 means none has been submitted.

    Callers need a key on routes that are not open once there is any workspace.
    """

    version: int = 0
    cap_multiple: float = attrs.field(default=1.25, validator=_at_least_one)
    classes: tuple[RequestClass, ...] = (RequestClass(name="standard"),)
    workspaces: tuple[Workspace, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    arms: tuple[Arm, ...] = ()
    limits: WireLimits = WireLimits()

    def request_class(self, name: str) -> RequestClass | None:
        """Return the class called ``name``, or the first for an empty name."""
        if not name:
            return self.classes[0] if self.classes else None
        return next((each for each in self.classes if each.name == name), None)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace called ``name``."""
        return next((each for each in self.workspaces if each.name == name), None)

    def model(self, name: str) -> Model | None:
        """Return the model called ``name``."""
        return next((each for each in self.models if each.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``."""
        return next((each for each in self.services if each.name == name), None)


def parse(text: str, path: str = "(submission)") -> FleetConfiguration:
    """Parse and check a submitted document; errors as for `loader.load`."""
    configuration = loader.parse(text, FleetConfiguration, path)
    check(configuration, path)
    return configuration


def check(configuration: FleetConfiguration, path: str = "(submission)") -> None:
    """Raise `errors.SettingsErrorGroup` for every fault between the parts of a configuration."""
    faults = [
        *_route_faults(configuration, path),
        *_key_faults(configuration, path),
        *_arm_faults(configuration, path),
    ]
    if faults:
        raise errors.SettingsErrorGroup("the configuration is not valid", faults)


def _route_faults(configuration: FleetConfiguration, path: str) -> list[errors.SettingsError]:
    faults = []
    pools = {pool.name for pool in configuration.pools}
    places: set[tuple[str, str]] = set()
    for index, route in enumerate(configuration.routes):
        key = f"routes[{index}]"
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            problem = f"got host and path {place}, which another route has"
            faults.append(errors.SettingsError(path, key, problem))
        places.add(place)
        for unknown in sorted({share.pool for share in route.shares} - pools):
            problem = f"got pool {unknown!r}, which is not among the pools"
            faults.append(errors.SettingsError(path, f"{key}.shares", problem))
        if sum(share.weight for share in route.shares) <= 0:
            problem = "got weights that sum to 0, allowed is more than 0"
            faults.append(errors.SettingsError(path, f"{key}.shares", problem))
    return faults


def _key_faults(configuration: FleetConfiguration, path: str) -> list[errors.SettingsError]:
    faults = []
    holders: dict[str, str] = {}
    for index, workspace in enumerate(configuration.workspaces):
        for key in workspace.keys:
            if holders.setdefault(key, workspace.name) != workspace.name:
                problem = f"got a key that workspace {holders[key]!r} has too"
                faults.append(errors.SettingsError(path, f"workspaces[{index}].keys", problem))
    return faults


def _arm_faults(configuration: FleetConfiguration, path: str) -> list[errors.SettingsError]:
    faults = []
    names: set[str] = set()
    for index, arm in enumerate(configuration.arms):
        key = f"arms[{index}]"
        if arm.name in names:
            problem = f"got {arm.name!r}, which another arm is called"
            faults.append(errors.SettingsError(path, f"{key}.name", problem))
        names.add(arm.name)
        try:
            made_arm(arm)
        except language.ProgramError as failure:
            faults.append(errors.SettingsError(path, key, str(failure)))
    return faults


def made_arm(arm: Arm) -> arms.Arm:
    """Return an arm whose programs are ready to run; raises `language.ProgramError`."""
    return arms.Arm(
        name=arm.name,
        weight=arm.weight,
        acts=arm.acts,
        score=_program("score", arm.score, arms.CANDIDATE_NAMES),
        admit=_program("admit", arm.admit, arms.REQUEST_NAMES),
    )


def _program(kind: str, source: str, names: tuple[str, ...]) -> language.Program | None:
    if not source:
        return None
    try:
        return language.parse(source, names)
    except language.ProgramError as failure:
        raise language.ProgramError(f"{kind}: {failure}") from failure
