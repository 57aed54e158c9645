"""The real programs, one of each kind, with stand-ins for what they serve."""

from __future__ import annotations

import http.client
import json
import pathlib
from typing import Any

import attrs

from client_crowds import MAX_BODY_BYTES
from conftest import wait_until
from croftpulley.fakes import engine, forwarded, platform_list
from croftpulley.settings import schema
from site_of_routers import ANY_PORT, ReservedPort
from soak import processes

HOST = "clinic.example"
START_LIMIT_S = 30.0
_TIMEOUT_S = 20.0
_STAYING_S = 600
"""No client of a crowd is sent away for having taken long."""
_STREAMS = 512
"""As many as an entry box has by default: a whole crowd may be at its endpoints."""
_HELD_S = 600.0
FAULTY_LIMIT_S = 2.0
_TOKEN = "a-token-for-tests"
_LIMITS = {
    "body_size_bytes": MAX_BODY_BYTES,
    "header_wait_ms": 1000 * _STAYING_S,
    "idle_ms": 1000 * _STAYING_S,
}


def _route(
    name: str, kind: str = "repeatable", pool: str = "", time_limit_s: float = _STAYING_S
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "shares": [{"pool": pool or name}],
        "time_limit_ms": int(1000 * time_limit_s),
        "attempts": 1,
    }


ROUTER_DOCUMENT = {
    "pools": [{"name": name, "slots": 0} for name in ("quick", "held", "faulty")],
    "routes": [
        _route("quick"),
        _route("held"),
        _route("faulty", time_limit_s=FAULTY_LIMIT_S),
        _route("stream", "stream", "faulty", FAULTY_LIMIT_S),
    ],
    "limits": _LIMITS,
}
ENTRY_DOCUMENT = {
    "classes": [{"name": "interactive", "priority": 10}],
    "workspaces": [{"name": "clinic", "in_flight_per_box": 50}],
    "models": [{"name": "triage", "pool": "llm"}],
}


@attrs.frozen
class Ordinary:
    """A request of an ordinary client, and the status of its answer."""

    address: str
    method: str
    path: str
    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None

    def is_answered(self) -> bool:
        """Send it once and tell whether it is answered as it should be."""
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
        try:
            connection.request(self.method, self.path, self.body, self.headers)
            response = connection.getresponse()
            response.read()
            return response.status == self.status
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


@attrs.frozen
class Place:
    """A program with the addresses that it listens at.

    ``crowd_head`` is how a request of a crowd begins, up to the header that says its body's length.
    """

    program: processes.Program
    addresses: tuple[str, ...]
    crowd_head: bytes
    ordinary: Ordinary


class Site:
    """Starts what a place needs; nothing is behind a proxy."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.http = {"body_size_bytes": MAX_BODY_BYTES, "idle_connection_s": _STAYING_S}
        """Limits on what clients may send and hold open, for programs that have such settings."""
        self.router_changes: dict[str, Any] = {}
        """Settings of a router beyond those that every test has."""
        self.endpoints: dict[str, forwarded.ForwardedEndpoint] = {}
        """Behind a router, by their pools."""
        self._ports: list[ReservedPort] = []
        self._programs: list[processes.Program] = []
        self._listed = platform_list.FakePlatformList(
            schema.FakeSettings(name="list", address=ANY_PORT)
        )
        self._listed.start()
        self._stand_ins: list[Any] = [self._listed]

    def stop(self) -> None:
        """End all that was started."""
        for each in self._programs:
            each.kill()
        for each in self._stand_ins:
            each.stop()
        for each in self._ports:
            each.close()

    def router(self) -> Place:
        """Start a router, its control box and its endpoints."""
        control = self._start_replica()
        for pool, pause_s in (("quick", 0.0), ("held", _HELD_S), ("faulty", 0.0)):
            made = forwarded.ForwardedEndpoint(schema.FakeSettings(name=pool, address=ANY_PORT))
            made.pause_s = pause_s
            self.endpoints[pool] = made
            self._serve(made, made.incarnation, "worker", pool)
        settings = {
            "box": "router-0",
            "hall": "hall-a",
            "control_addresses": [control["peer_address"]],
            "platform_address": self._listed.address,
            "streams": _STREAMS,
            "http": self.http,
            **self._addresses("caller", "directory", "ready", "metrics", "peer"),
            **self.router_changes,
        }
        program = self._start("router", settings)
        self._submit(control["operator_address"], {"number": 1, "document": ROUTER_DOCUMENT})
        headers = {"Host": HOST, "X-Request-Id": "ordinary", "X-Deadline-Ms": "10000"}
        ordinary = Ordinary(
            settings["caller_address"], "POST", "/quick/x", 200, headers, b"ordinary"
        )
        head = f"POST /held/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n".encode()
        return Place(program, _listened(settings), head, ordinary)

    def replica(self) -> Place:
        """Start a control box with a disk."""
        settings = self._start_replica()
        ordinary = Ordinary(settings["operator_address"], "GET", "/v1/config", 200)
        return Place(self._programs[-1], _listened(settings), _SUBMISSION_HEAD, ordinary)

    def redirector(self) -> Place:
        """Start a control box without a disk."""
        settings = {
            "box": "redirector-0",
            "targets": ["127.0.0.1:9"],
            **self._addresses("operator", "metrics", "peer"),
        }
        program = self._start("redirector", settings)
        ordinary = Ordinary(settings["operator_address"], "GET", "/v1/config", 307)
        return Place(program, _listened(settings), _SUBMISSION_HEAD, ordinary)

    def control(self) -> Place:
        """Start the first daemons' control box."""
        settings = self._start_control()
        ordinary = Ordinary(settings["operator_address"], "GET", "/healthz", 200)
        addresses = (settings["operator_address"],)
        return Place(self._programs[-1], addresses, _SUBMISSION_HEAD, ordinary)

    def entry(self) -> Place:
        """Start the first daemons' entry box, its control box and an engine."""
        control = self._start_control()
        made = engine.FakeEngine(
            schema.FakeSettings(
                name="engine", address=ANY_PORT, token_interval_ms=0.0, prefill_us_per_token=0.0
            )
        )
        self._serve(made, "engine", "engine", "llm")
        settings = {
            "box": "entry-0",
            "hall": "hall-a",
            "control_addresses": [control["peer_address"]],
            "platform_address": self._listed.address,
            "http": self.http,
            **self._addresses("caller", "peer", "operator"),
        }
        program = self._start("entry", settings)
        submission = {"operator": "aigerim", "number": 1, "document": ENTRY_DOCUMENT}
        self._submit(control["operator_address"], submission)
        question = {"model": "triage", "messages": [{"role": "user", "content": "hello"}]}
        ordinary = Ordinary(
            settings["caller_address"],
            "POST",
            "/v1/chat/completions",
            200,
            {"X-Workspace": "clinic", "X-Chat": "ordinary"},
            json.dumps(question).encode(),
        )
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: clinic\r\n"
        return Place(program, _listened(settings), head, ordinary)

    def _start_replica(self) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "box": "control-0",
            "hall": "hall-a",
            "data_folder": str(self._folder / "data"),
            "first_start": True,
            "platform_address": self._listed.address,
            "http": self.http,
            **self._addresses("operator", "metrics", "peer"),
        }
        settings["seeds"] = [settings["peer_address"]]
        self._start("replica", settings)
        return settings

    def _start_control(self) -> dict[str, Any]:
        token_file = self._folder / "token"
        token_file.write_text(_TOKEN, encoding="utf-8")
        settings: dict[str, Any] = {
            "box": "control-0",
            "hall": "hall-a",
            "operator_token_file": str(token_file),
            "data_folder": str(self._folder / "data"),
            "http": self.http,
            **self._addresses("operator", "peer"),
        }
        self._start("control", settings)
        return settings

    def _start(self, command: str, settings: dict[str, Any]) -> processes.Program:
        program = processes.Program(command, settings, self._folder)
        self._programs.append(program)
        program.start()
        return program

    def _serve(self, made: Any, name: str, kind: str, pool: str) -> None:
        made.start()
        self._stand_ins.append(made)
        self._listed.endpoints = [
            *self._listed.endpoints,
            {
                "name": name,
                "kind": kind,
                "pool": pool,
                "address": made.address,
                "hall": "hall-a",
                "incarnation": name,
                "leaving": False,
            },
        ]

    def _submit(self, address: str, submission: dict[str, Any]) -> None:
        """Have a configuration accepted, once there is a leader."""
        headers = {"Authorization": f"Bearer {_TOKEN}"}
        body = json.dumps(submission).encode()
        order = Ordinary(address, "POST", "/v1/config/submissions", 200, headers, body)
        wait_until(order.is_answered, "the configuration is in force", START_LIMIT_S)

    def _addresses(self, *names: str) -> dict[str, str]:
        made = [ReservedPort() for _ in names]
        self._ports += made
        return {f"{name}_address": port.address for name, port in zip(names, made, strict=True)}


_SUBMISSION_HEAD = b"POST /v1/config/submissions HTTP/1.1\r\nHost: x\r\n"
_LISTENED = ("caller", "directory", "ready", "metrics", "peer", "operator")


def _listened(settings: dict[str, Any]) -> tuple[str, ...]:
    """Return the addresses at which a program is asked over HTTP."""
    return tuple(settings[f"{name}_address"] for name in _LISTENED if f"{name}_address" in settings)
