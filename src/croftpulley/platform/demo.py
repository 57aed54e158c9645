"""A small site on this machine, as the platform would run it; ``make demo-platform`` plays it.

Each machine has an address of its own in 127.0.0.0/8, so that ports are alike on all of them.
"""

from __future__ import annotations

import concurrent.futures
import pathlib
import time
import urllib.parse
from collections import Counter
from typing import Any

import attrs
import click
import orjson

from croftpulley import errors
from croftpulley.core import membership
from croftpulley.endpoints import connection
from croftpulley.fakes import forwarded
from croftpulley.platform import names, stand_ins
from croftpulley.settings import schema

HALLS = ("hall-a", "hall-b", "hall-c")
_PLATFORM_ADDRESS = "127.9.0.1:8223"
_CALLER_PORT = 8227
_READY_PORT = 8220
_OPERATOR_PORT = 8229
_DIRECTORY_PORT = 8224
_FIRST_INTERNAL_PORT = 7340
_HOST = "clinic.example"
_KEY = "a-key"
_WAIT_S = 30.0
_REQUESTS = 300
_CALLERS = 8


@attrs.frozen
class Machine:
    """One machine of the demo; the first of each hall has a disk."""

    name: str
    hall: str
    ip_address: str
    has_disk: bool


def machines() -> list[Machine]:
    """Return two machines a hall."""
    return [
        Machine(f"{hall}-{number}", hall, f"127.{position}.0.{number}", number == 1)
        for position, hall in enumerate(HALLS, start=1)
        for number in (1, 2)
    ]


def boot_document(machine: Machine, folder: pathlib.Path) -> dict[str, Any]:
    """Return the settings that the platform would write for a process of ``machine``."""
    ip_address = machine.ip_address
    return {
        "nodeName": machine.name,
        "ipAddress": ip_address,
        "zone": machine.hall,
        "listenAddresses": {
            "frontend": f"{ip_address}:{_CALLER_PORT}",
            "ready": f"{ip_address}:{_READY_PORT}",
            "controlPlane": f"{ip_address}:{_OPERATOR_PORT}",
            "directory": f"{ip_address}:{_DIRECTORY_PORT}",
        },
        "internalPortRange": [_FIRST_INTERNAL_PORT, _FIRST_INTERNAL_PORT + 15],
        "seedNodes": [
            f"{each.ip_address}:{_OPERATOR_PORT}" for each in machines() if each.has_disk
        ],
        "bootstrap": True,
        "dataDirectory": str(folder / "data" / machine.name),
        "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "retryBudgetExtra": 64},
        "cloudApi": {"address": _PLATFORM_ADDRESS},
    }


def document(version: int) -> dict[str, Any]:
    """Return a configuration with one route of each kind."""
    routes = [
        ("chat", "/stream/chat/", "streaming", "llm", 1),
        ("confirm", "/confirm/", "non_idempotent", "desk", 1),
        ("cancel", "/cancel/", "idempotent", "desk", 2),
    ]
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": _HOST,
                "pathPrefix": prefix,
                "kind": kind,
                "timeoutMs": 5000,
                "service": service,
                "maxAttempts": attempts,
                "stickySessions": kind == "streaming",
            }
            for name, prefix, kind, service, attempts in routes
        ],
        "services": [{"name": "llm"}, {"name": "desk"}],
        "tenants": [{"name": "clinic", "apiKeys": [_KEY], "priority": 0}],
    }


@click.group()
def demo() -> None:
    """Parts of ``make demo-platform``."""


@demo.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
def boot(folder: pathlib.Path) -> None:
    """Write the settings file of each machine into FOLDER and print "ROLE FILE" lines."""
    folder.mkdir(parents=True, exist_ok=True)
    for machine in machines():
        path = folder / f"{machine.name}.json"
        path.write_bytes(orjson.dumps(boot_document(machine, folder)))
        if machine.has_disk:
            click.echo(f"control {path}")
        click.echo(f"entry {path}")


@demo.command()
def play() -> None:
    """Submit a configuration, send checked requests, and print what came of them."""
    endpoints = _start_stand_ins()
    operators = [f"{each.ip_address}:{_OPERATOR_PORT}" for each in machines() if each.has_disk]
    operator = stand_ins.Operator(tuple(operators))
    _wait(lambda: operator.submit(document(1)).status == 200, "the configuration is accepted")
    _wait(lambda: len(_addresses()) == len(machines()), "every router is named")
    with concurrent.futures.ThreadPoolExecutor(_CALLERS) as pool:
        results = Counter(pool.map(_ask, range(_REQUESTS)))
    runs = sum(len(each.runs) for each in endpoints)
    click.echo(f"{_REQUESTS} requests: {dict(results)}; runs at endpoints: {runs}")
    if results != {"whole": _REQUESTS} or runs != _REQUESTS:
        raise SystemExit(1)


def _start_stand_ins() -> list[forwarded.ForwardedEndpoint]:
    """Start the list and two endpoints of each pool in every hall."""
    listing = stand_ins.FakeInstances(_PLATFORM_ADDRESS)
    started = []
    listed = []
    kinds = {"llm": membership.EndpointKind.ENGINE, "desk": membership.EndpointKind.WORKER}
    for pool, kind in kinds.items():
        for hall in HALLS:
            name = f"{pool}-{hall}"
            settings = schema.FakeSettings(name=name, address="127.0.0.1:0")
            each = forwarded.ForwardedEndpoint(settings, names.VOCABULARY)
            each.start()
            started.append(each)
            listed.append(membership.Endpoint(name, kind, pool, each.address, hall, name))
    listing.listed = tuple(listed)
    listing.start()
    return started


def _addresses() -> list[str]:
    """Ask a directory as callers do; empty while none answers."""
    query = urllib.parse.urlencode({"name": _HOST, "region": "here", "zone": HALLS[0]})
    target = connection.Target(f"{machines()[0].ip_address}:{_DIRECTORY_PORT}", 1.0, 1.0)
    request = connection.HttpRequest("GET", f"/resolution?{query}")
    try:
        response, body = connection.send_and_read(target, request, connection.PEER_FAILURES)
    except errors.CroftpulleyError:
        # Its process is still starting.
        return []
    return list(orjson.loads(body)["addresses"]) if response.status == 200 else []


def _ask(number: int) -> str:
    """Send one request to a router; return what came of it."""
    addresses = _addresses()
    path = ("/stream/chat/x", "/confirm/x", "/cancel/x")[number % 3]
    headers = {
        "Host": _HOST,
        names.VOCABULARY.request_id: f"request-{number}",
        names.VOCABULARY.key: _KEY,
        names.VOCABULARY.budget_ms: "5000",
        names.VOCABULARY.prompt_parts: f"system:800,chat-{number % 12}:400,own-{number}:20",
    }
    target = connection.Target(addresses[number % len(addresses)], 1.0, 5.0)
    request = connection.HttpRequest("POST", path, b"body", None, headers)
    response, body = connection.send_and_read(target, request, connection.PEER_FAILURES)
    is_stream = path.startswith("/stream")
    expected = body.count(b"data:") == forwarded.EVENTS if is_stream else body.startswith(b"ran ")
    return "whole" if response.status == 200 and expected else f"status {response.status}"


def _wait(holds: Any, what: str) -> None:
    ends_at_s = time.monotonic() + _WAIT_S
    while not holds():
        if time.monotonic() > ends_at_s:
            raise SystemExit(f"waited {_WAIT_S:g} s in vain until {what}")
        time.sleep(0.1)


if __name__ == "__main__":
    demo()
