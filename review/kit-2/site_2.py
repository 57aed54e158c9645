"""A small site on loopback for the cases 4 to 8: the deploy file's programs as separate processes,
and stand-ins (list of workers, workers, operator, requesters) that speak as the users' pages say.

Only the standard library is used. Every machine has an address of its own in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "clinic.example"
KEY = "a-key"
TENANT = "clinic"
FRONTEND_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
DIRECTORY_PORT = 8224
INTERNAL_PORTS = (7340, 7355)
PROOF = "3e1b.07.5a2.600.0.c9f2a4d1"
GRACE_S = 8
RESTART_DELAY_S = 0.3
START_LIMIT_S = 40.0

Handler = Callable[
    ["Worker", "Request", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Record:
    """Writes what was sent, answered and run to ``record.txt``; thread-safe."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
            self._file.flush()


class Request:
    """A request as a worker received it."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.at_s = time.monotonic()

    @property
    def attempt_id(self) -> str:
        """The requester's id of the request."""
        return self.headers.get("croftpulley-attempt-id", "")


class Loop:
    """An event loop in a thread, for all stand-ins that listen."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, coroutine: Awaitable[object]) -> object:
        """Run a coroutine to its end and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one whole request; bodies have a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    pairs = (line.split(":", 1) for line in head[1:] if ":" in line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body)


class Worker:
    """A sound worker: runs what is meant for it, and answers with its proof."""

    def __init__(
        self, loop: Loop, record: Record, name: str, service: str, ip: str, zone: str
    ) -> None:
        self.loop = loop
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.runs: list[Request] = []
        self.handler: Handler = answer_whole
        self._ip = ip
        self.address = ""
        self._server: asyncio.Server | None = None
        loop.call(self._listen())

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._ip, 0, backlog=1024)
        self.address = f"{self._ip}:{self._server.sockets[0].getsockname()[1]}"

    def stop_listening(self) -> None:
        """Refuse new channels, as a worker does that has ended."""
        self.loop.call(self._close())

    async def _close(self) -> None:
        if self._server is not None:
            self._server.close()

    def entry(self) -> dict[str, object]:
        """Return this worker as the platform lists it."""
        return {
            "id": f"i-{self.name}",
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await read_request(reader)
            if request.path == "/health" and not request.attempt_id:
                await self._send(
                    writer,
                    head(request, 200, 4, f"Croftpulley-Instance-Id: i-{self.name}\r\n") + b"well",
                )
            elif not request.attempt_id:
                await self._send(writer, head(request, 404, 0, proof=False))
            elif request.headers.get("croftpulley-expected-instance") not in (
                None,
                f"i-{self.name}",
            ):
                await self._send(
                    writer, head(request, 421, 0, "Croftpulley-Not-Executed: 1\r\n", proof=False)
                )
            else:
                self.runs.append(request)
                self.record(
                    f"run {self.name} {request.method} {request.path}"
                    f" id={request.attempt_id} body={len(request.body)}"
                )
                await self.handler(self, request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def _send(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()


def head(
    request: Request, status: int, length: int | None, extra: str = "", *, proof: bool = True
) -> bytes:
    """Return the head of an answer; without a length it is sent in chunks."""
    lines = [f"HTTP/1.1 {status} Fine", f"Croftpulley-Attempt-Id: {request.attempt_id}"]
    if proof:
        lines.append(f"Croftpulley-Server-Signature: {PROOF}")
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return ("\r\n".join([*lines, framing, "Connection: close"]) + "\r\n" + extra + "\r\n").encode(
        "latin-1"
    )


async def answer_whole(
    worker: Worker, request: Request, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer with 800 bytes after a short while."""
    await asyncio.sleep(0.02)
    writer.write(head(request, 200, 800) + b"x" * 800)
    await writer.drain()


class Listing:
    """The platform's list of workers."""

    def __init__(self, loop: Loop, ip: str) -> None:
        self.workers: list[Worker] = []
        self._ip = ip
        self.address = ""
        loop.call(self._listen())

    async def _listen(self) -> None:
        server = await asyncio.start_server(self._serve, self._ip, 0, backlog=1024)
        self.address = f"{self._ip}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_request(reader)
            body = json.dumps(
                {"instances": [each.entry() for each in self.workers], "nextPageToken": None}
            ).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body
            )
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Program:
    """One program on one machine; started again when it ends, as the platform does."""

    def __init__(self, site: Site, machine: Machine, role: str) -> None:
        self._site = site
        self.machine = machine
        self.role = role
        self.process: subprocess.Popen[bytes] | None = None
        self.is_wanted = True
        self.starts = 0
        self.exits: list[int] = []

    @property
    def pid(self) -> int:
        """The id of the running process."""
        return self.process.pid if self.process is not None else 0

    def start(self) -> None:
        """Start the command of the deploy file with the platform's variables."""
        words = self._site.deploy["roles"][self.role]["run"].split()
        if self.role == "entry":
            # The gap in the deploy file: 0.3 where there is a disk, else 0.
            words[-1] = "0.3" if self.machine.has_disk else "0"
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CROFTPULLEY_BOOT"] = str(self.machine.boot_path(self.role))
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TMPDIR"] = str(self.machine.temporary(self.role))
        self.machine.write_boot(self.role, first=self.starts == 0)
        log = (self._site.folder / f"{self.machine.name}-{self.role}.log").open("ab")
        self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.starts += 1

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def watch(self) -> None:
        """Start the process again a short while after it has ended."""
        if self.process is None or self.process.poll() is None:
            return
        self.exits.append(self.process.returncode)
        self._site.record(f"{self.machine.name} {self.role} ended with {self.process.returncode}")
        self.process = None
        if self.is_wanted:
            time.sleep(RESTART_DELAY_S)
            self.start()


class Machine:
    """One machine, at one loopback address."""

    def __init__(
        self, site: Site, name: str, zone: str, ip: str, *, has_disk: bool, serves_control: bool
    ) -> None:
        self._site = site
        self.name = name
        self.zone = zone
        self.ip = ip
        self.has_disk = has_disk
        # The deploy file: two machines of each zone serve control, the first of them has the disk.
        roles = ["control", "entry"] if serves_control else ["entry"]
        self.programs = {role: Program(site, self, role) for role in roles}

    def boot_path(self, role: str) -> pathlib.Path:
        """Return where the settings file of a role lies."""
        return self._site.folder / f"{self.name}-{role}.json"

    def temporary(self, role: str) -> pathlib.Path:
        """Return the folder that is /tmp for a role on the platform."""
        folder = self._site.folder / f"tmp-{self.name}-{role}"
        folder.mkdir(exist_ok=True)
        return folder

    def write_boot(self, role: str, *, first: bool) -> None:
        """Write the settings, as at each start."""
        data = self._site.folder / "data" / self.name
        data.mkdir(parents=True, exist_ok=True)
        document = {
            "nodeName": self.name,
            "role": role,
            "machineClass": "frontend",
            "serves": ["frontend", "control_plane", "directory"],
            "ipAddress": self.ip,
            "zone": self.zone,
            "region": "here",
            "zones": {each.zone: "here" for each in self._site.machines},
            "listenAddresses": {
                "frontend": f"{self.ip}:{FRONTEND_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "controlPlane": f"{self.ip}:{CONTROL_PORT}",
                "directory": f"{self.ip}:{DIRECTORY_PORT}",
            },
            "internalPortRange": list(INTERNAL_PORTS),
            "seedNodes": [f"{each.ip}:{CONTROL_PORT}" for each in self._site.seeds],
            "bootstrap": first,
            "faultDomainMember": self.has_disk,
            "limits": {
                "cpuShare": 0.968,
                "cpuCores": 2,
                "memoryMb": 300,
                "fileDescriptors": 4100,
                "linkMbps": 1000.0,
                "diskMb": 64,
            },
            "discovery": "cloud",
            "entryPoint": "directory",
            "heartbeatIntervalMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "addressReuseS": 2,
                "contactMs": 3000,
                "ackMs": 4000,
                "catchUpS": 4,
                "drainMs": 3000,
                "graceS": GRACE_S,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "downgradeSlackMs": 250,
                "maxExtensionMs": 5000,
                "strictRevocation": True,
                "revokeMs": 5000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "retryBudgetExtra": 64,
                "recoveryS": 12,
                "iterationMs": 120,
                "retryAfterS": 10,
                "capacityMultiplier": 2,
                "ttl_max_s": 5,
            },
            "configurationMode": "highest",
            "cloudApi": {
                "address": self._site.listing.address,
                "ratePerS": 47.0,
                "duties": [],
                "maxLagMs": 800,
            },
        }
        if self.has_disk:
            document["dataDirectory"] = str(data)
        path = self.boot_path(role)
        draft = path.with_suffix(".draft")
        draft.write_text(json.dumps(document))
        draft.replace(path)


class Site:
    """Machines with the deploy file's programs, workers, the list and the operator."""

    def __init__(self, case: pathlib.Path, *, plain: int = 0) -> None:
        self.record = Record(case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="croftpulley-case-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.loop = Loop()
        self._base = _free_base()
        self.listing = Listing(self.loop, f"{self._base}.200")
        self.machines: list[Machine] = []
        zones = ("hall-a", "hall-b", "hall-c")
        for number, zone in enumerate(zones):
            self.machines.append(
                Machine(
                    self,
                    f"front-{zone}-1",
                    zone,
                    f"{self._base}.{number + 1}",
                    has_disk=True,
                    serves_control=True,
                )
            )
        for number in range(plain):
            zone = zones[number % 3]
            self.machines.append(
                Machine(
                    self,
                    f"front-{zone}-{number // 3 + 2}",
                    zone,
                    f"{self._base}.{number + 11}",
                    has_disk=False,
                    serves_control=number < len(zones),
                )
            )
        self.seeds = [each for each in self.machines if each.has_disk]
        """The machines that the settings name; the first start names those with a disk."""
        self._ended = threading.Event()
        self._watcher: threading.Thread | None = None

    def add_worker(self, name: str, service: str, zone: str = "hall-a") -> Worker:
        """Start a worker and list it."""
        ip = f"{self._base}.{100 + len(self.listing.workers)}"
        worker = Worker(self.loop, self.record, name, service, ip, zone)
        self.listing.workers.append(worker)
        return worker

    def programs(self) -> list[Program]:
        """Return the programs of all machines."""
        return [each for machine in self.machines for each in machine.programs.values()]

    def start(self, manifest: dict[str, object]) -> None:
        """Start all programs, have the manifest taken, wait until every router is ready."""
        for each in self.programs():
            each.start()
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._watcher.start()
        ends_at_s = time.monotonic() + START_LIMIT_S
        while self.submit(manifest) != 200:
            _check_time(ends_at_s, "the manifest was not taken")
        while not all(self.is_ready(each) for each in self.machines):
            _check_time(ends_at_s, "not every router became ready")
            time.sleep(0.1)
        time.sleep(1.0)

    def _watch(self) -> None:
        while not self._ended.wait(0.05):
            for each in self.programs():
                each.watch()

    def submit(self, manifest: dict[str, object]) -> int:
        """Send a manifest to one box after another until one answers; 0 without an answer."""
        body = json.dumps(manifest).encode()
        for machine in self.machines:
            if not machine.has_disk:
                continue
            status = self._submit_to(f"{machine.ip}:{CONTROL_PORT}", body)
            if status == 200 or 400 <= status < 500:
                self.record(f"operator version={manifest['version']} answer={status}")
                return status
        time.sleep(0.2)
        return 0

    def _submit_to(self, address: str, body: bytes) -> int:
        for _ in range(3):
            try:
                answer = ask(
                    address,
                    "POST",
                    "/Configuration.Replace",
                    {"Content-Type": "application/json"},
                    body,
                    limit_s=5.0,
                )
            except OSError:
                return 0
            if answer.status != 307:
                return answer.status
            address = answer.headers["location"].removeprefix("http://").partition("/")[0]
        return 0

    def is_ready(self, machine: Machine) -> bool:
        """Ask a router whether it is ready."""
        try:
            return (
                ask(f"{machine.ip}:{READY_PORT}", "GET", "/readiness", {}, limit_s=1.0).status
                == 200
            )
        except OSError:
            return False

    def address(self, index: int) -> str:
        """Return the address for requesters of a machine."""
        return f"{self.machines[index].ip}:{FRONTEND_PORT}"

    def lose_disk(self, machine: Machine, dark_s: float) -> None:
        """Have a machine lose power and its disk, and start it again at its address."""
        self.record(f"{machine.name} loses power and its disk")
        for each in machine.programs.values():
            each.is_wanted = False
            each.signal(signal.SIGKILL)
        time.sleep(dark_s)
        shutil.rmtree(self.folder / "data" / machine.name)
        for each in machine.programs.values():
            each.start()
            each.is_wanted = True
        self.record(f"{machine.name} is back, its disk is empty")

    def read_manifest(self) -> int:
        """Ask the control boxes with a disk for the manifest; return its version, 0 without one."""
        for machine in self.machines:
            if not machine.has_disk:
                continue
            address = f"{machine.ip}:{CONTROL_PORT}"
            for _ in range(3):
                try:
                    answer = ask(address, "GET", "/Configuration.Read", {}, limit_s=1.0)
                except OSError:
                    break
                if answer.status == 200:
                    return int(json.loads(answer.body)["version"])
                if answer.status != 307:
                    break
                address = answer.headers["location"].removeprefix("http://").partition("/")[0]
        return 0

    def exchange_seeds(self, machines: list[Machine]) -> None:
        """Name other seeds in all settings files, and tell the processes."""
        self.seeds = machines
        self.record(f"settings name other seeds: {[each.name for each in machines]}")
        for each in self.programs():
            each.machine.write_boot(each.role, first=False)
            each.signal(signal.SIGHUP)

    def end(self) -> None:
        """End every process that was started."""
        for each in self.programs():
            each.is_wanted = False
        self._ended.set()
        if self._watcher is not None:
            self._watcher.join()
        for each in self.programs():
            each.signal(signal.SIGCONT)
            each.signal(signal.SIGKILL)
            if each.process is not None:
                each.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a requester got."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, *, is_whole: bool, took_s: float
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole
        self.took_s = took_s


def connect(address: str, *, receive_bytes: int = 0, limit_s: float = 1.0) -> socket.socket:
    """Open a channel; with ``receive_bytes`` one with a small window."""
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(limit_s)
    host, _, port = address.rpartition(":")
    try:
        sock.connect((host, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request with a length."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in ({"Host": HOST} | headers).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(sock: socket.socket, limit_s: float, *, bytes_per_s: float = 0.0) -> Answer:
    """Read one answer, at a steady rate if one is given; raises `OSError` without a head."""
    began_s = time.monotonic()
    data = b""
    while b"\r\n\r\n" not in data:
        piece = _receive(sock, 65_536 if not bytes_per_s else 1024, began_s + limit_s)
        if not piece:
            raise ConnectionError("the channel ended without an answer")
        data += piece
    raw, _, body = data.partition(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ", 2)[1])
    headers = {
        name.strip().lower(): value.strip()
        for name, value in (line.split(":", 1) for line in lines[1:])
    }
    body_began_s = time.monotonic()
    pieces = [body]
    size = len(body)
    is_chunked = headers.get("transfer-encoding", "") == "chunked"
    length = int(headers["content-length"]) if "content-length" in headers else None
    broke = False
    while length is None or size < length:
        if is_chunked and b"".join(pieces[-2:]).endswith(b"0\r\n\r\n"):
            break
        if bytes_per_s:
            time.sleep(max(0.0, size / bytes_per_s - (time.monotonic() - body_began_s)))
        try:
            piece = _receive(sock, 65_536 if not bytes_per_s else 8192, began_s + limit_s)
        except OSError:
            broke = True
            break
        if not piece:
            broke = True
            break
        pieces.append(piece)
        size += len(piece)
    return Answer(
        status, headers, b"".join(pieces), is_whole=not broke, took_s=time.monotonic() - began_s
    )


def _receive(sock: socket.socket, size: int, until_s: float) -> bytes:
    sock.settimeout(max(0.001, until_s - time.monotonic()))
    return sock.recv(size)


def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    limit_s: float = 5.0,
) -> Answer:
    """Send one request on a new channel and return the answer; raises `OSError`."""
    with connect(address) as sock:
        sock.sendall(request_bytes(method, path, headers, body))
        return read_answer(sock, limit_s)


def call_headers(attempt_id: str, budget_ms: int) -> dict[str, str]:
    """Return the headers of a requester's request."""
    return {
        "Croftpulley-Attempt-Id": attempt_id,
        "Croftpulley-Credential": KEY,
        "Croftpulley-Deadline-Ms": str(budget_ms),
    }


def manifest(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a manifest with the services that the routes name."""
    services = sorted({str(each["service"]) for each in routes})
    return {
        "version": version,
        "routes": [
            {
                "host": HOST,
                "targetLatencyMs": 500,
                "priority": 0,
                "maxAttempts": 2,
                "anonymous": False,
                "stickySessions": False,
                "streamResumption": False,
                "gapTargetMs": 300,
            }
            | each
            for each in routes
        ],
        "services": [
            {
                "name": each,
                "healthCheckPath": "/health",
                "connectionLimit": 370,
                "protocol": "h1",
                "tls": False,
            }
            for each in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 0}],
    }


def _free_base() -> str:
    """Return the first three numbers of loopback addresses at which nothing listens."""
    while True:
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(_is_free(f"{base}.{last}") for last in range(1, 18)):
            return base


def _is_free(ip: str) -> bool:
    for port in (
        FRONTEND_PORT,
        READY_PORT,
        CONTROL_PORT,
        DIRECTORY_PORT,
        9464,
        9465,
        *range(INTERNAL_PORTS[0], INTERNAL_PORTS[0] + 2),
    ):
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def _check_time(ends_at_s: float, problem: str) -> None:
    if time.monotonic() > ends_at_s:
        raise CouldNotRunError(problem)


class CouldNotRunError(Exception):
    """The case could not be set up."""


def run_case(
    case: pathlib.Path, play: Callable[[Site, bool], bool], *, is_troubled: bool, plain: int
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    if not (ROOT / "target" / "deps").is_dir():
        print("the build of the deploy file is missing")
        return 2
    site = Site(case, plain=plain)
    site.record(f"TROUBLE={int(is_troubled)}")
    try:
        broken = play(site, is_troubled)
    except Exception as failure:
        # Whatever goes wrong in the script itself must not look like a broken rule.
        site.record(f"could not run: {type(failure).__name__}: {failure}")
        print(f"could not run: {type(failure).__name__}: {failure}")
        return 2
    finally:
        site.end()
    verdict = "the rule was broken" if broken else "the rule held"
    site.record(verdict)
    print(verdict)
    return 1 if broken else 0


def main(
    case_file: str, play: Callable[[Site, bool], bool], *, is_troubled: bool, plain: int = 0
) -> None:
    """Run a case as a program."""
    case = pathlib.Path(case_file).resolve().parent
    sys.exit(run_case(case, play, is_troubled=is_troubled, plain=plain))
