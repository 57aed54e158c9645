"""The file that the platform writes for a process at each start, as the fleet's settings."""

from __future__ import annotations

import pathlib

import attrs

from croftpulley import errors
from croftpulley.platform import fields
from croftpulley.settings import schema

_PRESSURE = "pressure"
"""Among the contracts: callers compete for too little room."""
_MEGABYTE = 1_000_000
_REQUEST_MEMORY_SHARE = 0.2
"""Of a machine's memory, for requests; programs and answers need the rest."""
ROUTER_METRICS_PORT = 9464
CONTROL_METRICS_PORT = 9465
"""Ports that ``deploy/system.toml`` names too; the platform fetches metrics from fixed ones."""


def read(path: str) -> fields.Fields:
    """Read the file; raises `errors.SettingsErrorGroup`."""
    try:
        return fields.parse(pathlib.Path(path).read_bytes())
    except (OSError, errors.CroftpulleyError) as failure:
        raise _invalid(path, failure) from failure


def router_settings(path: str) -> schema.RouterSettings:
    """Return the settings of a router; raises `errors.SettingsErrorGroup`."""
    try:
        return _router_settings(read(path))
    except (ValueError, errors.CroftpulleyError) as failure:
        raise _invalid(path, failure) from failure


def replica_settings(path: str) -> schema.ReplicaSettings:
    """Return the settings of a control box; raises `errors.SettingsErrorGroup`."""
    try:
        return _replica_settings(read(path))
    except (ValueError, errors.CroftpulleyError) as failure:
        raise _invalid(path, failure) from failure


def _router_settings(boot: fields.Fields) -> schema.RouterSettings:
    listen = boot.object("listenAddresses")
    bounds = boot.object("bounds")
    host = boot.text("ipAddress")
    return schema.RouterSettings(
        box=boot.text("nodeName"),
        hall=boot.text("zone"),
        caller_address=listen.text("frontend"),
        directory_address=listen.text("directory"),
        ready_address=listen.text("ready"),
        metrics_address=f"{host}:{ROUTER_METRICS_PORT}",
        peer_address=f"{host}:{_hop_port(boot)}",
        control_addresses=_control_addresses(boot),
        platform_address=boot.object("cloudApi").text("address"),
        grace_s=bounds.number("graceS", 30.0),
        retry_ratio=bounds.number("retryBudgetRatio", 0.2),
        retry_extra=bounds.number("retryBudgetExtra", 50.0),
        retry_window_s=bounds.number("budgetWindowS", 10.0),
        regions=boot.object("zones").texts_by_name(),
        shares_room=_PRESSURE in boot.texts("contracts"),
        http=_http_limits(boot, schema.HttpLimits()),
        memory_limit_bytes=_memory_bytes(boot),
    )


def _replica_settings(boot: fields.Fields) -> schema.ReplicaSettings:
    host = boot.text("ipAddress")
    bounds = boot.object("bounds")
    return schema.ReplicaSettings(
        box=boot.text("nodeName"),
        hall=boot.text("zone"),
        peer_address=f"{host}:{_peer_port(boot)}",
        operator_address=boot.object("listenAddresses").text("controlPlane"),
        metrics_address=f"{host}:{CONTROL_METRICS_PORT}",
        data_folder=boot.text("dataDirectory"),
        seeds=_control_addresses(boot),
        # Not that this process starts for the first time: that the whole fleet does.
        first_start=boot.flag("bootstrap"),
        platform_address=boot.object("cloudApi").text("address"),
        retry_window_s=bounds.number("budgetWindowS", 10.0),
        halls=boot.object("zones").names(),
        http=_http_limits(boot, schema.operator_limits()),
    )


def redirector_settings(path: str) -> schema.RedirectorSettings:
    """Return the settings of a control box without a disk; raises `errors.SettingsErrorGroup`."""
    boot = read(path)
    try:
        return schema.RedirectorSettings(
            box=boot.text("nodeName"),
            peer_address=f"{boot.text('ipAddress')}:{_peer_port(boot)}",
            operator_address=boot.object("listenAddresses").text("controlPlane"),
            metrics_address=f"{boot.text('ipAddress')}:{CONTROL_METRICS_PORT}",
            targets=boot.texts("seedNodes"),
            control_addresses=_control_addresses(boot),
            http=_http_limits(boot, schema.operator_limits()),
        )
    except (ValueError, errors.CroftpulleyError) as failure:
        raise _invalid(path, failure) from failure


def _http_limits(boot: fields.Fields, limits: schema.HttpLimits) -> schema.HttpLimits:
    """Return the limits on clients that fit the machine, where the platform tells its size."""
    memory_bytes = _memory_bytes(boot)
    if memory_bytes:
        room_bytes = int(memory_bytes * _REQUEST_MEMORY_SHARE)
        room_bytes = max(schema.MIN_REQUEST_TOTAL_BYTES, room_bytes)
        limits = attrs.evolve(limits, request_total_bytes=room_bytes)
    return limits


def _memory_bytes(boot: fields.Fields) -> int:
    """Return beyond what the platform ends a process, 0 if it does not tell."""
    return int(boot.object("limits").number("memoryMb", 0.0) * _MEGABYTE)


def _control_addresses(boot: fields.Fields) -> tuple[str, ...]:
    """Return where control boxes reach each other.

    The seeds are named by the address for operators; ports are the same on every machine.
    """
    port = _peer_port(boot)
    return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in boot.texts("seedNodes"))


def _peer_port(boot: fields.Fields) -> int:
    return boot.wholes("internalPortRange")[0]


def _hop_port(boot: fields.Fields) -> int:
    """Return where routers hand each other requests: beside the control box of the machine."""
    return boot.wholes("internalPortRange")[0] + 1


def _invalid(path: str, failure: Exception) -> errors.SettingsErrorGroup:
    detail = failure.detail if isinstance(failure, errors.CroftpulleyError) else str(failure)
    return errors.SettingsErrorGroup(
        "settings are not valid", [errors.SettingsError(path, "(platform)", detail)]
    )
