"""The fleet's configuration, which operators submit and every router applies."""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterator
from typing import Any

import attrs

from croftpulley import errors
from croftpulley.policy import arms, language
from croftpulley.settings import loader

_MOST_FAULTS = 100
"""Of a configuration's references; an error for each could take far more memory than it."""


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
    """A class of requests; engines run those of a larger ``priority`` first."""

    name: str
    priority: int = 0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer: the keys of its callers, and its limit of requests in flight at one entry box.

    ``priority`` takes precedence over the priority of routes; 0 is the most urgent. If it has
    ``home_regions``, its requests run only there.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int = attrs.field(default=0, validator=_not_negative)
    in_flight_per_box: int = attrs.field(default=1000, validator=_positive)
    home_regions: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Model:
    """A model that callers request by name, and the pool of engines that serves it."""

    name: str
    pool: str


@attrs.frozen(kw_only=True)
class Service:
    """A service that is not a model: the pool of its workers and the calls that must not repeat."""

    name: str
    pool: str
    unrepeatable_calls: tuple[str, ...] = ()


class RouteKind(enum.Enum):
    """Whether a request may run again if its outcome is unknown."""

    REPEATABLE = "repeatable"
    """It may run more than once."""
    ONCE = "once"
    """It may run at most once."""
    STREAM = "stream"
    """Responds with an event stream; may run once, unless the route's streams are resumable."""


@attrs.frozen(kw_only=True)
class Share:
    """The share of a route's requests that goes to a pool, in proportion to its weight."""

    pool: str
    weight: int = attrs.field(default=1, validator=_not_negative)


@attrs.frozen(kw_only=True)
class Route:
    """Requests for one host under one path prefix, forwarded unchanged.

    Attributes:
        time_limit_ms: Maximum time that a request may take.
        objective_ms: Target time to the response, or to the first event of a stream.
        gap_ms: Target for the longest pause between the events of a stream.
        priority: 0 is the most urgent.
        attempts: Maximum number of endpoints at which a request may run.
        open: Whether requests need no key.
        sticky: Whether requests name the parts of their prompt; they prefer endpoints that have
            these cached.
        resumable: Whether streams may continue at another endpoint.
        home_regions: If not empty, requests run only in these regions. Those of the workspace
            apply as well.
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
        """Return whether a request may run again if its outcome is unknown."""
        return self.is_resumable_stream or self.kind is RouteKind.REPEATABLE

    @property
    def is_resumable_stream(self) -> bool:
        """Return whether responses are streams that may continue at another endpoint."""
        return self.kind is RouteKind.STREAM and self.resumable

    @property
    def is_split(self) -> bool:
        """Return whether more than one pool gets requests of the route."""
        return sum(bool(share.weight) for share in self.shares) > 1


@attrs.frozen(kw_only=True)
class Pool:
    """Endpoints that serve the same requests.

    ``slots`` and ``cache_tokens`` are the capacity of one endpoint, 0 if unknown. ``cold_per_s`` is
    the maximum number of requests per second that a cold endpoint gets; 0 sets no limit.
    """

    name: str
    health_path: str = "/health"
    connections: int = attrs.field(default=1000, validator=_positive)
    slots: int = attrs.field(default=0, validator=_not_negative)
    cache_tokens: int = attrs.field(default=0, validator=_not_negative)
    cold_per_s: float = attrs.field(default=0.0, validator=_not_negative)


@attrs.frozen(kw_only=True)
class Arm:
    """One arm of a policy experiment: a share of the chats and its programs (``docs/POLICIES.md``).

    ``score`` and ``admit`` are programs; if one is empty, the built-in rule is used. The decisions
    of an arm whose ``acts`` is false are only counted, and the built-in rule is applied.
    """

    name: str
    weight: int = attrs.field(default=1, validator=_not_negative)
    score: str = ""
    admit: str = ""
    acts: bool = True


@attrs.frozen(kw_only=True)
class WireLimits:
    """Limits on the size and the timing of callers' requests; routers apply changes at once."""

    header_size_bytes: int = attrs.field(default=32_768, validator=_positive)
    body_size_bytes: int = attrs.field(default=1_048_576, validator=_positive)
    header_wait_ms: float = attrs.field(default=10_000, validator=_positive)
    idle_ms: float = attrs.field(default=60_000, validator=_positive)


@attrs.frozen(kw_only=True)
class FleetConfiguration:
    """One version of the configuration; ``version`` 0 means that none was submitted.

    If there is any workspace, callers need a key on routes that are not open.
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
        """Return the class called ``name``, or the first for an empty name; else ``None``."""
        if not name:
            return self.classes[0] if self.classes else None
        return next((each for each in self.classes if each.name == name), None)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace called ``name``, ``None`` if there is none."""
        return next((each for each in self.workspaces if each.name == name), None)

    def model(self, name: str) -> Model | None:
        """Return the model called ``name``, ``None`` if there is none."""
        return next((each for each in self.models if each.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``, ``None`` if there is none."""
        return next((each for each in self.services if each.name == name), None)


def parse(text: str, path: str = "(submission)") -> FleetConfiguration:
    """Parse and validate a submitted document; raises as `loader.parse` and `check`."""
    configuration = loader.parse(text, FleetConfiguration, path)
    check(configuration, path)
    return configuration


def check(configuration: FleetConfiguration, path: str = "(submission)") -> None:
    """Validate a configuration's references and uniqueness rules.

    Raises `errors.SettingsErrorGroup` with one error for each fault, up to some.
    """
    all_faults = itertools.chain(
        _route_faults(configuration, path),
        _key_faults(configuration, path),
        _arm_faults(configuration, path),
    )
    faults = list(itertools.islice(all_faults, _MOST_FAULTS))
    if faults:
        raise errors.SettingsErrorGroup("the configuration is not valid", faults)


def _route_faults(configuration: FleetConfiguration, path: str) -> Iterator[errors.SettingsError]:
    pools = {pool.name for pool in configuration.pools}
    seen_prefixes: set[tuple[str, str]] = set()
    for index, route in enumerate(configuration.routes):
        key = f"routes[{index}]"
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if host_and_prefix in seen_prefixes:
            problem = f"got host and path {host_and_prefix}, which another route has"
            yield errors.SettingsError(path, key, problem)
        seen_prefixes.add(host_and_prefix)
        for unknown in sorted({share.pool for share in route.shares} - pools):
            problem = f"got pool {unknown!r}, which is not among the pools"
            yield errors.SettingsError(path, f"{key}.shares", problem)
        if sum(share.weight for share in route.shares) <= 0:
            problem = "got weights that sum to 0, allowed is more than 0"
            yield errors.SettingsError(path, f"{key}.shares", problem)


def _key_faults(configuration: FleetConfiguration, path: str) -> Iterator[errors.SettingsError]:
    owner_by_key: dict[str, str] = {}
    for index, workspace in enumerate(configuration.workspaces):
        for key in workspace.keys:
            if owner_by_key.setdefault(key, workspace.name) != workspace.name:
                problem = f"got a key that workspace {owner_by_key[key]!r} has too"
                yield errors.SettingsError(path, f"workspaces[{index}].keys", problem)


def _arm_faults(configuration: FleetConfiguration, path: str) -> Iterator[errors.SettingsError]:
    names: set[str] = set()
    for index, arm in enumerate(configuration.arms):
        key = f"arms[{index}]"
        if arm.name in names:
            problem = f"got {arm.name!r}, which another arm is called"
            yield errors.SettingsError(path, f"{key}.name", problem)
        names.add(arm.name)
        try:
            compile_arm(arm)
        except language.ProgramError as failure:
            yield errors.SettingsError(path, key, str(failure))


def compile_arm(arm: Arm) -> arms.Arm:
    """Compile the programs of an arm; raises `language.ProgramError` for one that is not valid."""
    return arms.Arm(
        name=arm.name,
        weight=arm.weight,
        acts=arm.acts,
        score=_program("score", arm.score, arms.CANDIDATE_VARIABLES),
        admit=_program("admit", arm.admit, arms.REQUEST_VARIABLES),
    )


def _program(kind: str, source: str, names: tuple[str, ...]) -> language.Program | None:
    if not source:
        return None
    try:
        return language.parse(source, names)
    except language.ProgramError as failure:
        raise language.ProgramError(f"{kind}: {failure}") from failure
