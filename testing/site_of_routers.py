"""A site of control boxes, routers and endpoints in this process, on ports the system picks."""

from __future__ import annotations

import http.client
import pathlib
import socket
from collections.abc import Sequence
from typing import Any

import attrs

from croftpulley import clock as clocks
from croftpulley.core import membership
from croftpulley.daemons import replica, router
from croftpulley.endpoints import dialing
from croftpulley.fakes import forwarded
from croftpulley.platform import callers, names, operators, stand_ins
from croftpulley.settings import schema

ANY_PORT = "127.0.0.1:0"
HOST = "clinic.example"
KEY = "a-key"
WAIT_LIMIT_S = 20.0

DOCUMENT: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": "chat",
            "host": HOST,
            "pathPrefix": "/stream/chat/",
            "kind": "streaming",
            "timeoutMs": 10_000,
            "targetLatencyMs": 500,
            "service": "llm",
            "maxAttempts": 1,
            "stickySessions": True,
        },
        {
            "name": "note",
            "host": HOST,
            "pathPrefix": "/stream/note/",
            "kind": "streaming",
            "timeoutMs": 10_000,
            "service": "llm",
            "maxAttempts": 2,
            "stickySessions": True,
            "streamResumption": True,
        },
        {
            "name": "confirm",
            "host": HOST,
            "pathPrefix": "/confirm/",
            "kind": "non_idempotent",
            "timeoutMs": 10_000,
            "service": "desk",
            "maxAttempts": 1,
        },
        {
            "name": "cancel",
            "host": HOST,
            "pathPrefix": "/cancel/",
            "kind": "idempotent",
            "timeoutMs": 10_000,
            "service": "desk",
            "maxAttempts": 2,
        },
        {
            "name": "open",
            "host": HOST,
            "pathPrefix": "/open/",
            "kind": "idempotent",
            "timeoutMs": 400,
            "service": "desk",
            "maxAttempts": 1,
            "anonymous": True,
        },
    ],
    "services": [{"name": "llm"}, {"name": "desk"}],
    "limits": {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 200_000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": "clinic", "apiKeys": [KEY], "priority": 1}],
}


def default_terms() -> dict[str, float]:
    """Return how long leases and elections last by the default settings, for `Site`."""
    fields = attrs.fields_dict(schema.ReplicaSettings)
    return {name: fields[name].default for name in ("lease_s", "election_s")}


@attrs.frozen
class Answer:
    """What a caller got; ``whole`` is false if the answer broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


class Site:
    """Boxes and stand-ins that speak the platform's interface."""

    def __init__(
        self,
        folder: pathlib.Path,
        control: int = 1,
        routers: int = 1,
        engines: int = 2,
        workers: int = 2,
        lease_s: float = 0.8,
        election_s: float = 0.3,
        halls: dict[str, str] | None = None,
        dialers: Sequence[dialing.Dialer] = (),
        **changes: Any,
    ) -> None:
        self.folder = folder
        self.lease_s = lease_s
        self.election_s = election_s
        self.changes = changes
        self.instances = stand_ins.FakeInstances()
        self.instances.start()
        self.slots = 0
        """Of each endpoint, by the platform's list; 0 if it does not tell."""
        self.crashed: list[forwarded.ForwardedEndpoint] = []
        self.halls = halls or {}
        """Of endpoints by their names; the others are in hall-a."""
        self.engines = [self.start_engine(f"engine-{n}") for n in range(engines)]
        self.workers = [self.start_endpoint(f"worker-{n}") for n in range(workers)]
        self.list_endpoints()
        self.reserved = [ReservedPort() for _ in range(2 * control)]
        self.peers = [each.address for each in self.reserved[:control]]
        self.operators = [each.address for each in self.reserved[control:]]
        self.seeds = tuple(self.peers)
        """What the settings of boxes name that start from now on."""
        self.control: list[replica.ReplicaDaemon | None] = [None] * control
        for number in range(control):
            self.start_control(number, first_start=True)
        self.dialers = {f"router-{n}": each for n, each in enumerate(dialers)}
        """The links to endpoints of routers, by their names; the others have their own."""
        self.routers = [self.start_router(f"router-{n}") for n in range(routers)]
        self.operator = stand_ins.Operator(tuple(self.operators))

    def start_endpoint(self, name: str, incarnation: str = "") -> forwarded.ForwardedEndpoint:
        settings = schema.FakeSettings(name=name, address=ANY_PORT)
        made = forwarded.ForwardedEndpoint(settings, names.VOCABULARY, incarnation)
        made.start()
        return made

    def start_engine(self, name: str) -> stand_ins.FakeEngine:
        made = stand_ins.FakeEngine(schema.FakeSettings(name=name, address=ANY_PORT))
        made.start()
        return made

    def list_endpoints(self, leaving: tuple[str, ...] = ()) -> None:
        """Have the platform list every endpoint."""
        kinds = membership.EndpointKind
        stand_ins_of = [(kinds.ENGINE, "llm", each) for each in self.engines]
        stand_ins_of += [(kinds.WORKER, "desk", each) for each in self.workers]
        self.instances.listed = tuple(
            membership.Endpoint(
                name=each.incarnation,
                kind=kind,
                pool=pool,
                address=each.address,
                hall=self.halls.get(each.settings.name, "hall-a"),
                incarnation=each.incarnation,
                leaving=each.settings.name in leaving,
                slots=self.slots,
                version=each.version,
            )
            for kind, pool, each in stand_ins_of
        )

    def replace_crashed(self) -> None:
        """Start another endpoint for each that has crashed, and list it in its place."""
        self.crashed += [each for each in (*self.engines, *self.workers) if each.has_crashed]
        self.engines = [
            self.start_engine(self._next_name(each)) if each.has_crashed else each
            for each in self.engines
        ]
        self.workers = [
            self.start_endpoint(self._next_name(each)) if each.has_crashed else each
            for each in self.workers
        ]
        self.list_endpoints()

    def _next_name(self, ended: forwarded.ForwardedEndpoint) -> str:
        return f"{ended.settings.name}."

    def start_control(self, number: int, *, first_start: bool = False) -> None:
        """Start a control box over the data that an earlier one left."""
        settings = schema.ReplicaSettings(
            box=f"control-{number}",
            hall="hall-a",
            peer_address=self.peers[number],
            operator_address=self.operators[number],
            metrics_address=ANY_PORT,
            data_folder=str(self.folder / f"control-{number}"),
            seeds=self.seeds,
            first_start=first_start,
            platform_address=self.instances.address,
            tick_s=0.01,
            election_s=self.election_s,
            lease_s=self.lease_s,
            drift_margin_s=0.05,
            platform_interval_s=0.05,
            halls=("hall-a", "hall-b"),
        )
        daemon = replica.ReplicaDaemon(settings, operators.PlatformOperators())
        daemon.start()
        self.control[number] = daemon

    def stop_control(self, number: int) -> None:
        """Stop a control box."""
        daemon = self.control[number]
        if daemon is not None:
            daemon.stop()
        self.control[number] = None

    def start_router(self, name: str, clock: clocks.Clock | None = None) -> router.RouterDaemon:
        """Start one more router."""
        wanted: dict[str, Any] = {
            "box": name,
            "hall": "hall-a",
            "caller_address": ANY_PORT,
            "directory_address": ANY_PORT,
            "ready_address": ANY_PORT,
            "metrics_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "control_addresses": self.seeds,
            "platform_address": self.instances.address,
            "renew_interval_s": 0.03,
            "platform_interval_s": 0.05,
            "entry_ttl_s": 0.1,
            "grace_s": 5.0,
            "silence_s": 5.0,
            # So that the first request of a router that has just started may be repeated.
            "retry_ratio": 10.0,
        }
        daemon = router.RouterDaemon(
            schema.RouterSettings(**(wanted | self.changes)),
            callers.PlatformCallers(),
            clock,
            self.dialers.get(name, dialing.DIRECT),
        )
        daemon.start()
        return daemon

    def stop_all_processes(self) -> None:
        """Stop control boxes and routers; endpoints and the platform's list go on."""
        for each in self.routers:
            each.stop()
        for number in range(len(self.control)):
            self.stop_control(number)

    def start_all_processes(self) -> None:
        """Start as many control boxes and routers as there were."""
        for number in range(len(self.control)):
            self.start_control(number)
        self.routers = [self.start_router(f"router-{n}") for n in range(len(self.routers))]

    def is_ready(self) -> bool:
        """Tell whether every router is ready."""
        answers = [
            self.ask("GET", "/readiness", address=each.ready_address) for each in self.routers
        ]
        return all(answer.status == 200 for answer in answers)

    def ask(
        self,
        method: str,
        path: str,
        *,
        address: str = "",
        body: bytes | None = None,
        request_id: str = "request-1",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request on a connection of its own."""
        connection = self.connect(address)
        try:
            connection.request(method, path, body, self.headers(request_id, headers))
            return read(connection.getresponse())
        finally:
            connection.close()

    def connect(self, address: str = "") -> http.client.HTTPConnection:
        """Open a connection to a router."""
        host, _, port = (address or self.routers[0].caller_address).rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=WAIT_LIMIT_S)

    @staticmethod
    def headers(request_id: str, changes: dict[str, str] | None = None) -> dict[str, str]:
        """Return what a caller sends; a header changed to nothing is left out."""
        wanted = {
            "Host": HOST,
            names.VOCABULARY.request_id: request_id,
            names.VOCABULARY.key: KEY,
            names.VOCABULARY.budget_ms: "5000",
            **(changes or {}),
        }
        return {name: value for name, value in wanted.items() if value}

    @property
    def endpoints(self) -> tuple[forwarded.ForwardedEndpoint, ...]:
        """All that is or was listed, but for what a test replaced by hand."""
        return (*self.engines, *self.workers, *self.crashed)

    def runs(self) -> list[tuple[str, Any]]:
        """Return what ran, with the endpoint's name."""
        return [(each.settings.name, run) for each in self.endpoints for run in each.runs]

    def stop(self) -> None:
        """Stop all that was started."""
        for each in self.routers:
            each.stop()
        for number in range(len(self.control)):
            self.stop_control(number)
        for stand_in in (*self.endpoints, self.instances):
            stand_in.stop()
        for reserved in self.reserved:
            reserved.close()


def read(response: http.client.HTTPResponse) -> Answer:
    """Read an answer to its end, or to where it breaks off."""
    headers = {name.lower(): value for name, value in response.getheaders()}
    body = b""
    try:
        while data := response.read1(65_536):
            body += data
    except (http.client.HTTPException, OSError):
        return Answer(response.status, headers, body, whole=False)
    announced = headers.get("content-length")
    return Answer(response.status, headers, body, announced in (None, str(len(body))))


class ReservedPort:
    """A port that nobody else is given, for boxes that must know each other's before they start.

    The socket is bound and never listens; a server that reuses addresses may bind beside it.
    """

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"

    def close(self) -> None:
        """Give the port back."""
        self._sock.close()
