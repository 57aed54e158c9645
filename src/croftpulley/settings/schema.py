"""Settings classes, one for each daemon. Every field has its unit in its name, and a range.

``docs/SETTINGS.md`` describes these classes; a test checks that the two agree.
"""

from __future__ import annotations

from typing import Any

import attrs


def _between(low: float, high: float) -> Any:
    """Return a validator for a range, whose error names the allowed values."""

    def check(_instance: object, attribute: attrs.Attribute[Any], value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"got {value!r}, allowed is {low} to {high}")

    return check


def _address(_instance: object, _attribute: attrs.Attribute[Any], value: str) -> None:
    """Check an IPv4 address with a port."""
    host, separator, port = value.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and all(part.isdigit() and int(part) < 256 for part in parts)
    if not (separator and numeric and port.isdigit() and int(port) < 65536):
        raise ValueError(f'got {value!r}, allowed is an IP number and a port: "127.0.0.1:8100"')


def _optional_address(instance: object, attribute: attrs.Attribute[Any], value: str) -> None:
    """Check an address that may be empty."""
    if value:
        _address(instance, attribute, value)


def _addresses(instance: object, attribute: attrs.Attribute[Any], value: tuple[str, ...]) -> None:
    """Check a list of addresses that may not be empty."""
    if not value:
        raise ValueError("got an empty list, allowed is at least one address")
    for address in value:
        _address(instance, attribute, address)


def _name(_instance: object, _attribute: attrs.Attribute[Any], value: str) -> None:
    """Check that a name is safe in labels, paths and logs."""
    if not value or len(value) > 64 or not all(c.isalnum() or c in "-_." for c in value):
        raise ValueError(f"got {value!r}, allowed are 1 to 64 letters, digits, '-', '_' and '.'")


def _level(_instance: object, _attribute: attrs.Attribute[Any], value: str) -> None:
    """Check a log level."""
    if value not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ValueError(f"got {value!r}, allowed are DEBUG, INFO, WARNING and ERROR")


OPERATOR_BODY_SIZE_BYTES = 8 * 1024 * 1024
"""Default maximum size of a configuration that an operator submits: some 30,000 routes of 220 to
270 bytes. Operators do not retry a submission that was rejected as too large."""


MIN_REQUEST_TOTAL_BYTES = 1_048_576
_MIN_CONNECTIONS = 10
_FEW_CONNECTIONS_SHARE = 0.15


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Limits on what a caller may send, hold open or leave unread.

    Reading a stream from its endpoint pauses while more than ``unread_size_bytes`` of it are
    buffered for its caller. The connection of a caller that reads nothing for ``unread_s`` is
    closed. New requests are rejected while more than ``unread_total_bytes`` are buffered for all
    callers. All requests that a process receives or serves may take ``request_total_bytes``; beyond
    that those give way that are not complete yet.
    """

    body_size_bytes: int = attrs.field(default=1_048_576, validator=_between(1024, 67_108_864))
    request_total_bytes: int = attrs.field(
        default=50_331_648, validator=_between(MIN_REQUEST_TOTAL_BYTES, 4_294_967_296)
    )
    header_size_bytes: int = attrs.field(default=32_768, validator=_between(1024, 262_144))
    header_count: int = attrs.field(default=64, validator=_between(8, 1000))
    idle_connection_s: int = attrs.field(default=60, validator=_between(1, 3600))
    connections: int = attrs.field(default=2000, validator=_between(_MIN_CONNECTIONS, 20_000))
    unread_s: int = attrs.field(default=10, validator=_between(1, 3600))
    unread_size_bytes: int = attrs.field(default=262_144, validator=_between(1024, 67_108_864))
    unread_total_bytes: int = attrs.field(
        default=50_331_648, validator=_between(65_536, 4_294_967_296)
    )

    def with_few_connections(self) -> HttpLimits:
        """Return the limits for an address that is asked briefly, with a part of the connections.

        All addresses of a process share its descriptors.
        """
        connections = max(_MIN_CONNECTIONS, int(self.connections * _FEW_CONNECTIONS_SHARE))
        return attrs.evolve(self, connections=connections)


def operator_limits() -> HttpLimits:
    """Return the default limits where operators submit configurations."""
    return HttpLimits(body_size_bytes=OPERATOR_BODY_SIZE_BYTES)


@attrs.frozen(kw_only=True)
class CallerFacingBoxSettings:
    """Settings that all boxes that accept callers' requests have in common."""

    box: str = attrs.field(validator=_name)
    hall: str = attrs.field(validator=_name)
    caller_address: str = attrs.field(validator=_address)
    control_addresses: tuple[str, ...] = attrs.field(validator=_addresses)
    platform_address: str = attrs.field(validator=_address)
    http: HttpLimits = attrs.field(factory=HttpLimits)
    platform_interval_s: float = attrs.field(default=1.0, validator=_between(0.05, 60))
    workspace_labels: int = attrs.field(default=200, validator=_between(1, 5000))
    log_level: str = attrs.field(default="INFO", validator=_level)


@attrs.frozen(kw_only=True)
class EntrySettings(CallerFacingBoxSettings):
    """Settings of ``croftpulley entry``."""

    peer_address: str = attrs.field(validator=_address)
    operator_address: str = attrs.field(validator=_address)
    streams: int = attrs.field(default=512, validator=_between(1, 5000))
    default_deadline_ms: int = attrs.field(default=60_000, validator=_between(100, 3_600_000))
    deadline_limit_ms: int = attrs.field(default=600_000, validator=_between(100, 3_600_000))
    renew_interval_s: float = attrs.field(default=0.5, validator=_between(0.05, 60))
    renew_timeout_s: float = attrs.field(default=1.0, validator=_between(0.05, 60))
    lease_margin_s: float = attrs.field(default=0.5, validator=_between(0.0, 60))
    load_report_interval_s: float = attrs.field(default=1.0, validator=_between(0.05, 60))
    entry_ttl_s: float = attrs.field(default=5.0, validator=_between(0.1, 600))
    drain_limit_s: float = attrs.field(default=120.0, validator=_between(0.1, 3600))
    connect_timeout_s: float = attrs.field(default=1.0, validator=_between(0.05, 60))
    engine_silence_s: float = attrs.field(default=10.0, validator=_between(0.1, 600))
    coalesce_ms: float = attrs.field(default=0.0, validator=_between(0, 10))
    attempts_per_request: int = attrs.field(default=6, validator=_between(1, 20))
    admission_wait_s: float = attrs.field(default=2.0, validator=_between(0, 60))
    candidates_per_attempt: int = attrs.field(default=8, validator=_between(1, 64))
    thread_switch_ms: float = attrs.field(default=5.0, validator=_between(0.1, 1000))


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Settings of ``croftpulley control``."""

    box: str = attrs.field(validator=_name)
    hall: str = attrs.field(validator=_name)
    peer_address: str = attrs.field(validator=_address)
    operator_address: str = attrs.field(validator=_address)
    operator_token_file: str
    data_folder: str
    http: HttpLimits = attrs.field(factory=operator_limits)
    lease_s: float = attrs.field(default=4.0, validator=_between(0.5, 600))
    drift_margin_s: float = attrs.field(default=0.2, validator=_between(0.0, 60))
    placement_interval_s: float = attrs.field(default=0.2, validator=_between(0.05, 60))
    claim_window_s: float = attrs.field(default=86_400.0, validator=_between(1, 2_592_000))
    log_level: str = attrs.field(default="INFO", validator=_level)


@attrs.frozen(kw_only=True)
class RouterSettings(CallerFacingBoxSettings):
    """Settings of a router: an entry box that forwards requests by the configured routes.

    ``regions`` gives the region of each hall, for routes and workspaces with home regions. With
    ``shares_room``, routers limit their requests at a pool to its slots, and further requests are
    queued for capacity by rank and workspace. Without it, that begins when an endpoint reports how
    long work currently takes there. ``peer_address`` is where other routers forward requests whose
    endpoints they cannot reach; if it is empty, this router accepts none.
    """

    directory_address: str = attrs.field(validator=_address)
    ready_address: str = attrs.field(validator=_address)
    metrics_address: str = attrs.field(validator=_address)
    peer_address: str = attrs.field(default="", validator=_optional_address)
    streams: int = attrs.field(default=64, validator=_between(1, 5000))
    renew_interval_s: float = attrs.field(default=0.25, validator=_between(0.02, 60))
    renew_timeout_s: float = attrs.field(default=0.4, validator=_between(0.05, 60))
    lease_margin_s: float = attrs.field(default=0.1, validator=_between(0.0, 60))
    list_fallback_s: float = attrs.field(default=2.5, validator=_between(0.1, 600))
    entry_ttl_s: float = attrs.field(default=5.0, validator=_between(0.1, 600))
    """How long callers cache a directory answer. With 1 s they asked again each second and waited a
    second if the box that they asked was down. 5 s raised the score by 0.007 to 0.034 on four days
    with boxes that were down, cut off or stopped in turn (single runs side by side; on two of the
    days with the earlier retry of `rules.ELSEWHERE_RETRY_S`), 3 s by 0.005 to 0.012. None of the
    users' callers cache an answer for longer than 5 s, some for three times as long."""
    grace_s: float = attrs.field(default=30.0, validator=_between(0.1, 3600))
    connect_timeout_s: float = attrs.field(default=0.5, validator=_between(0.05, 60))
    silence_s: float = attrs.field(default=20.0, validator=_between(0.1, 600))
    retry_ratio: float = attrs.field(default=0.2, validator=_between(0, 10))
    retry_extra: float = attrs.field(default=50.0, validator=_between(0, 100_000))
    retry_window_s: float = attrs.field(default=10.0, validator=_between(0.1, 3600))
    regions: dict[str, str] = attrs.field(factory=dict)
    memory_limit_bytes: int = attrs.field(default=0, validator=_between(0, 1 << 50))
    shares_room: bool = False


@attrs.frozen(kw_only=True)
class ReplicaSettings:
    """Settings of a control box that is a replica.

    ``seeds`` are addresses at which control boxes reach each other; at the ``first_start`` of a
    whole fleet they are the initial replicas. ``peer_listen_address`` is where this box listens if
    others reach it through a proxy at ``peer_address``; if it is empty, the box listens at
    ``peer_address``. Without an ``operator_token_file``, anyone who reaches ``operator_address`` is
    treated as an operator. ``halls`` are the data halls that operators may evacuate; if it is
    empty, they may name any.
    """

    box: str = attrs.field(validator=_name)
    hall: str = attrs.field(validator=_name)
    peer_address: str = attrs.field(validator=_address)
    peer_listen_address: str = attrs.field(default="", validator=_optional_address)
    operator_address: str = attrs.field(validator=_address)
    metrics_address: str = attrs.field(validator=_address)
    data_folder: str
    operator_token_file: str = ""
    seeds: tuple[str, ...] = attrs.field(validator=_addresses)
    first_start: bool = False
    platform_address: str = attrs.field(validator=_address)
    http: HttpLimits = attrs.field(factory=operator_limits)
    tick_s: float = attrs.field(default=0.05, validator=_between(0.005, 1))
    election_s: float = attrs.field(default=0.45, validator=_between(0.05, 60))
    peer_timeout_s: float = attrs.field(default=0.4, validator=_between(0.05, 60))
    lease_s: float = attrs.field(default=2.8, validator=_between(0.2, 600))
    drift_margin_s: float = attrs.field(default=0.1, validator=_between(0.0, 60))
    acknowledge_s: float = attrs.field(default=3.6, validator=_between(0.1, 600))
    retry_window_s: float = attrs.field(default=10.0, validator=_between(0.1, 3600))
    platform_interval_s: float = attrs.field(default=0.5, validator=_between(0.05, 60))
    halls: tuple[str, ...] = ()
    log_level: str = attrs.field(default="INFO", validator=_level)


@attrs.frozen(kw_only=True)
class RedirectorSettings:
    """Settings of a control box without a disk, which redirects operators to other control boxes.

    ``targets`` are the operator addresses of control boxes. ``control_addresses`` are where they
    reach each other: the redirector asks there for the leader and redirects operators to the
    leader's machine, at the port of its own operator address. Without an answer it redirects them
    to the targets in turn. At ``peer_address``, if there is one, it tells other boxes where control
    boxes are, as these announce it there.
    """

    box: str = attrs.field(validator=_name)
    operator_address: str = attrs.field(validator=_address)
    metrics_address: str = attrs.field(validator=_address)
    targets: tuple[str, ...] = attrs.field(validator=_addresses)
    control_addresses: tuple[str, ...] = ()
    peer_address: str = attrs.field(default="", validator=_optional_address)
    http: HttpLimits = attrs.field(factory=operator_limits)
    log_level: str = attrs.field(default="INFO", validator=_level)


@attrs.frozen(kw_only=True)
class FakeSettings:
    """Settings of ``croftpulley fake …``, a fake endpoint at one address."""

    name: str = attrs.field(validator=_name)
    address: str = attrs.field(validator=_address)
    token_interval_ms: float = attrs.field(default=5.0, validator=_between(0, 10_000))
    prefill_us_per_token: float = attrs.field(default=100.0, validator=_between(0, 1_000_000))
    answer_tokens: int = attrs.field(default=16, validator=_between(1, 100_000))
    slots: int = attrs.field(default=64, validator=_between(1, 100_000))
    cached_chats: int = attrs.field(default=200, validator=_between(0, 1_000_000))
    endpoints_file: str = ""
