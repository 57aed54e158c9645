"""A small fleet of real programs behind proxies, with stand-ins for what it serves."""

from __future__ import annotations

import collections
import enum
import math
import pathlib
import random
import shutil
import time
from collections.abc import Callable
from typing import Any

import attrs

from croftpulley.core import retry_budget
from croftpulley.fakes import forwarded, platform_list
from croftpulley.settings import schema
from site_of_routers import ANY_PORT, ReservedPort
from soak import kernel_sockets, processes, proxy

HOST = "clinic.example"
KINDS = ("once", "repeat", "chat", "note")
"""A call that runs once, one that may repeat, a stream that runs once, one that may resume."""
STREAMS = ("chat", "note")
ENGINE_POOL = "llm"
WORKER_POOL = "desk"
ROUTERS = 3
CONTROL = 3
ENDPOINTS = 3
"""Of each kind."""
WORK_S = 0.03
"""How long an endpoint works on a call, and between the events of a stream."""
LARGE_ROUTES = 700
"""Of a large configuration: 210 kB as control boxes sent it whole."""
LINK_BYTES_PER_S = 625_000.0
"""What a control box sends, where links have a rate: a 20th of the 12.5 MB/s of real ones.

Two copies of a large configuration take longer on it than a request between control boxes may
(0.4 s), as seven copies of 878 kB do on a real one.
"""


TIGHT = retry_budget.Allowance(ratio=0.1, extra=9.0, window_s=3.0)
"""The budget of repeats in a storm: endpoints that turn requests away use up more than this."""


def pool_of(kind: str) -> str:
    """Return the pool that serves a kind of request."""
    return ENGINE_POOL if kind in STREAMS else WORKER_POOL


def key_of(version: int) -> str:
    """Return the key that comes with a version; it goes with the second version after it."""
    return f"key-{version}"


def path_of(version: int, kind: str, request_id: str) -> str:
    """Return a path of a route that comes with a version; it goes as the key does."""
    stream = forwarded.STREAM_MARK.strip("/") + "/" if kind in STREAMS else ""
    return f"/v{version}/{kind}/{stream}{request_id}"


def document(version: int, spare_routes: int = 0, slots: int = 0) -> dict:
    """Return the configuration of one version: its own routes and key, and the last one's.

    ``spare_routes`` make it large; nobody uses them. ``slots`` are those of each endpoint.
    """
    live = [each for each in (version - 1, version) if each > 0]
    return {
        "workspaces": [{"name": "clinic", "keys": [key_of(each) for each in live]}],
        "pools": [{"name": each, "slots": slots} for each in (ENGINE_POOL, WORKER_POOL)],
        "routes": [
            *(_route(each, kind) for each in live for kind in KINDS),
            *(_spare_route(version, number) for number in range(spare_routes)),
        ],
    }


def _spare_route(version: int, number: int) -> dict:
    """Return a route whose name cannot be packed much."""
    name = random.Random(f"{version} {number}").randbytes(16).hex()
    return _route(version, "once") | {"name": name, "path_prefix": f"/{name}/"}


def _route(version: int, kind: str) -> dict:
    is_stream = kind in STREAMS
    return {
        "name": f"{kind}-{version}",
        "host": HOST,
        "path_prefix": f"/v{version}/{kind}/",
        "kind": "stream" if is_stream else "repeatable" if kind == "repeat" else "once",
        "resumable": kind == "note",
        "shares": [{"pool": pool_of(kind)}],
        "time_limit_ms": 4000,
        "attempts": 2,
    }


@attrs.define
class Served:
    """A stand-in that is or was listed, behind its proxy."""

    stand_in: forwarded.ForwardedEndpoint
    pool: str
    way: proxy.Proxy
    leaving: bool = False
    born_ms: int = 0
    hall: str = "hall-a"


class Spoil(enum.Enum):
    """Entries of another writer, which name no endpoint to use."""

    NO_OBJECT = "no object"
    NO_ADDRESS = "no address"
    WRONG_HALL = "wrong hall"
    WRONG_START = "wrong start"
    NOBODY = "a sound endpoint's name at an address where nobody is"


def _spoilt(spoil: Spoil, sound: dict[str, Any]) -> Any:
    match spoil:
        case Spoil.NO_OBJECT:
            return 7
        case Spoil.NO_ADDRESS:
            return {**sound, "address": None}
        case Spoil.WRONG_HALL:
            return {**sound, "name": "other", "hall": 7}
        case Spoil.WRONG_START:
            return {**sound, "name": "other", "born_ms": "1"}
        case Spoil.NOBODY:
            return {**sound, "address": "127.0.0.1:9", "pool": 7}


def _now_ms() -> int:
    return int(time.time() * 1000)


class Fleet:
    """Three control boxes, three routers, and what they serve.

    Each control box sends over a link of ``link_bytes_per_s``; ``allowance`` is the budget of
    repeats that routers share. With ``slots`` of each endpoint they share room as well, with
    ``cuts`` the links of single routers to endpoints may be harmed. ``redirectors`` is how many
    control boxes without a disk there are.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        link_bytes_per_s: float = math.inf,
        allowance: retry_budget.Allowance | None = None,
        slots: int = 0,
        *,
        cuts: bool = False,
        redirectors: int = 0,
    ) -> None:
        self.folder = folder
        self.cuts: dict[int, proxy.Harm] = {}
        """What harms the links of single routers to endpoints, by their numbers."""
        self._cut_of = self._harm_of if cuts else None
        self.slots = slots
        self.allowance = allowance or retry_budget.Allowance()
        self.link_bytes_per_s = link_bytes_per_s
        self.loop = proxy.Loop()
        self.listed = platform_list.FakePlatformList(
            schema.FakeSettings(name="list", address=ANY_PORT)
        )
        self.listed.start()
        self.spoils: tuple[Spoil, ...] = ()
        """What another writer adds to the list."""
        self.served: list[Served] = []
        self.past: list[Served] = []
        self._made: collections.Counter[str] = collections.Counter()
        for pool in (ENGINE_POOL, WORKER_POOL):
            for _ in range(ENDPOINTS):
                self.add_endpoint(pool)
        self._ports: list[ReservedPort] = []
        self.lanes = [proxy.Lane(link_bytes_per_s) for _ in range(CONTROL)]
        self.control_ways = [
            proxy.Proxy(self.loop, lane=lane, lane_of=self._lane_of) for lane in self.lanes
        ]
        self.seeds = [each.address for each in self.control_ways]
        """What the settings of programs name at first."""
        self.control = [self._make_control(number) for number in range(CONTROL)]
        self.redirectors = [self._make_redirector(number) for number in range(redirectors)]
        self.router_ways = [proxy.Proxy(self.loop) for _ in range(ROUTERS)]
        self.routers = [self._make_router(number) for number in range(ROUTERS)]

    @property
    def programs(self) -> list[processes.Program]:
        """Every program."""
        return [*self.control, *self.redirectors, *self.routers]

    @property
    def ways(self) -> list[proxy.Proxy]:
        """Every proxy that leads to something in service."""
        return [*self.control_ways, *self.router_ways, *(each.way for each in self.served)]

    def start(self) -> None:
        """Start all programs for the first time."""
        for each in self.control:
            each.start(first_start=True)
        for each in (*self.redirectors, *self.routers):
            each.start()

    def use_seeds(self, addresses: list[str]) -> None:
        """Name other seeds in the settings of all programs; they see that by themselves."""
        for each in self.programs:
            key = "seeds" if each in self.control else "control_addresses"
            each.settings[key] = addresses
            each.write_settings()

    def start_again(self, program: processes.Program) -> None:
        """Start a program that has ended."""
        program.start(**({"first_start": False} if program in self.control else {}))

    def stop(self) -> None:
        """End all that was started."""
        for each in self.programs:
            each.kill()
        for each in (*self.served, *self.past):
            each.stand_in.stop()
        self.listed.stop()
        self.loop.stop()
        for each in self._ports:
            each.close()

    def add_endpoint(self, pool: str, version: str = "") -> None:
        """Start one more endpoint and list it; with a ``version`` the list tells it."""
        self._made[pool] += 1
        hall = "hall-b" if self._made[pool] % ENDPOINTS == 0 else "hall-a"
        self._serve(f"{pool}-{self._made[pool]}", pool, _now_ms(), hall)
        self.served[-1].stand_in.version = version
        self.list_endpoints()

    def _serve(self, name: str, pool: str, born_ms: int, hall: str) -> None:
        made = forwarded.ForwardedEndpoint(schema.FakeSettings(name=name, address=ANY_PORT))
        made.pause_s = WORK_S
        made.start()
        way = proxy.Proxy(self.loop, made.address, cut_of=self._cut_of)
        self.served.append(Served(made, pool, way, born_ms=born_ms, hall=hall))

    def restart_endpoint(self, served: Served, back_ms: int) -> None:
        """End an endpoint and start it again under its name, its clock set back by so much."""
        self._end(served)
        name = served.stand_in.settings.name
        self._serve(name, served.pool, _now_ms() - back_ms, served.hall)
        self.list_endpoints()

    def remove_endpoint(self, served: Served) -> None:
        """End an endpoint; what it ran is still known."""
        self._end(served)
        self.list_endpoints()

    def _end(self, served: Served) -> None:
        self.served.remove(served)
        self.past.append(served)
        served.stand_in.stop()
        served.way.reset()

    def list_endpoints(self) -> None:
        """Have the platform list what is in service."""
        sound = [
            {
                "name": each.stand_in.incarnation,
                "kind": "engine" if each.pool == ENGINE_POOL else "worker",
                "pool": each.pool,
                "address": each.way.address,
                "hall": each.hall,
                "incarnation": each.stand_in.incarnation,
                "leaving": each.leaving,
                "born_ms": each.born_ms,
                "version": each.stand_in.version,
            }
            for each in self.served
        ]
        self.listed.endpoints = [*sound, *(_spoilt(each, sound[0]) for each in self.spoils)]

    def wipe(self, control: processes.Program) -> None:
        """Lose the disk of a control box that is down."""
        shutil.rmtree(control.settings["data_folder"])

    def tear(self, control: processes.Program, garbage: bytes) -> None:
        """Leave the beginning of a record at the end of a log, as a loss of power does."""
        logs = sorted(pathlib.Path(control.settings["data_folder"]).glob("log-*"))
        if logs:
            with logs[-1].open("ab") as file:
                file.write(garbage)

    def runs(self) -> dict[str, list[str]]:
        """Return where each request ran, by its id."""
        found = collections.defaultdict(list)
        for each in (*self.served, *self.past):
            for run in list(each.stand_in.runs):
                found[run.headers["x-request-id"]].append(each.stand_in.incarnation)
        return found

    def arrivals(self) -> dict[str, list[forwarded.Arrival]]:
        """Return what reached the endpoints of each pool."""
        found = collections.defaultdict(list)
        for each in (*self.served, *self.past):
            found[each.pool] += list(each.stand_in.arrivals)
        return found

    def crashes(self) -> list[forwarded.Arrival]:
        """Return the requests under which endpoints ended."""
        return [
            crash for each in (*self.served, *self.past) for crash in list(each.stand_in.crashes)
        ]

    def _harm_of(self, port: int, listening_port: int) -> Callable[[], proxy.Harm]:
        """Return what tells how the links of the router that connects are harmed now."""
        name = kernel_sockets.socket_between(port, listening_port)
        for number, router in enumerate(self.routers):
            if router.holds(name):
                return lambda: self.cuts.get(number, proxy.Harm.NONE)
        return lambda: proxy.Harm.NONE

    def _lane_of(self, port: int, listening_port: int) -> proxy.Lane | None:
        """Return the lane of the control box that connects, if it is one."""
        name = kernel_sockets.socket_between(port, listening_port)
        for lane, box in zip(self.lanes, self.control, strict=True):
            if box.holds(name):
                return lane
        return None

    def _port(self) -> str:
        self._ports.append(ReservedPort())
        return self._ports[-1].address

    def _make_control(self, number: int) -> processes.Program:
        way = self.control_ways[number]
        way.target = self._port()
        settings = {
            "box": f"control-{number}",
            "hall": "hall-a",
            "peer_address": way.address,
            "peer_listen_address": way.target,
            "operator_address": self._port(),
            "metrics_address": self._port(),
            "data_folder": str(self.folder / f"data-{number}"),
            "seeds": self.seeds,
            "platform_address": self.listed.address,
        }
        return processes.Program("replica", settings, self.folder)

    def _make_redirector(self, number: int) -> processes.Program:
        settings = {
            "box": f"redirector-{number}",
            "peer_address": self._port(),
            "operator_address": self._port(),
            "metrics_address": self._port(),
            "targets": [each.settings["operator_address"] for each in self.control],
            "control_addresses": self.seeds,
        }
        return processes.Program("redirector", settings, self.folder)

    def _make_router(self, number: int) -> processes.Program:
        way = self.router_ways[number]
        way.target = self._port()
        settings = {
            "box": f"router-{number}",
            "hall": "hall-a",
            "caller_address": way.target,
            "directory_address": self._port(),
            "ready_address": self._port(),
            "metrics_address": self._port(),
            "peer_address": self._port(),
            "control_addresses": self.seeds,
            "platform_address": self.listed.address,
            "grace_s": 8.0,
            "retry_ratio": self.allowance.ratio,
            "retry_extra": self.allowance.extra,
            "retry_window_s": self.allowance.window_s,
            "shares_room": bool(self.slots),
        }
        return processes.Program("router", settings, self.folder)
