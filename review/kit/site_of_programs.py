"""A small site of real programs on loopback addresses, for the scripts of this review.

Only the standard library is used. The programs are started with the commands of the deploy file;
the platform, the workers and the requesters are stand-ins that follow the users' pages.
"""

from __future__ import annotations

import collections
import dataclasses
import http.client
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
import urllib.parse
from collections.abc import Callable, Iterator
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CALLER_PORT, READY_PORT, OPERATOR_PORT, DIRECTORY_PORT = 8227, 8220, 8229, 8224
INTERNAL_PORT, PLATFORM_PORT, WORKER_PORT = 7340, 8223, 8120
METRICS_PORTS = (9464, 9465)
HALLS = ("hall-a", "hall-b", "hall-c")
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
RUN_LIMIT_S = 110.0


class SiteError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in order, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def write(self, line: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_s:8.3f} {line}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass
class Machine:
    """One machine; those with a disk also run a control box."""

    name: str
    hall: str
    ip: str
    has_disk: bool


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a requester got: ``is_whole`` says that the answer ended as its framing says."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    took_s: float


class Site:
    """Machines, their processes, the platform's list and an operator."""

    def __init__(self, record: Record, machine_count: int, disk_count: int) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net()
        self.machines = [
            Machine(f"m-{n + 1}", HALLS[n % len(HALLS)], f"{self.net}.{n + 1}", n < disk_count)
            for n in range(machine_count)
        ]
        self.seeds = [each for each in self.machines if each.has_disk][:3]
        self.listed: list[dict[str, Any]] = []
        self._processes: dict[tuple[str, str], subprocess.Popen[bytes]] = {}
        self._commands = _commands()
        self._platform = serve(f"{self.net}.200", PLATFORM_PORT, self._list_instances)

    # --- programs -------------------------------------------------------------------------------

    def start(self, machine: Machine, role: str, *, bootstrap: bool = False) -> None:
        """Start a role as the deploy file says."""
        settings = self.folder / f"{machine.name}-{role}.json"
        settings.write_text(json.dumps(self._settings(machine, role, bootstrap)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CROFTPULLEY_BOOT"] = str(settings)
        with (self.folder / f"{machine.name}-{role}.log").open("ab") as log:
            process = subprocess.Popen(
                self._commands[role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes[machine.name, role] = process
        self.record.write(f"start {machine.name} {role} pid {process.pid}")

    def start_all(self) -> None:
        """Start every machine for the first time."""
        for each in self.machines:
            if each.has_disk:
                self.start(each, "control", bootstrap=True)
            self.start(each, "entry", bootstrap=True)

    def signal(self, machine: Machine, role: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes that this site started."""
        self.record.write(f"signal {number.name} to {machine.name} {role}")
        self._processes[machine.name, role].send_signal(number)

    def process(self, machine: Machine, role: str) -> subprocess.Popen[bytes]:
        """Return the process of a role."""
        return self._processes[machine.name, role]

    def stop(self) -> None:
        """End every process that was started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.write(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, machine: Machine, role: str, bootstrap: bool) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "nodeName": machine.name,
            "role": role,
            "machineClass": "frontend",
            "serves": ["control_plane"] if role == "control" else ["frontend", "directory"],
            "ipAddress": machine.ip,
            "zone": machine.hall,
            "region": "scot-north",
            "zones": dict.fromkeys(HALLS, "scot-north"),
            "listenAddresses": {
                "frontend": f"{machine.ip}:{CALLER_PORT}",
                "ready": f"{machine.ip}:{READY_PORT}",
                "controlPlane": f"{machine.ip}:{OPERATOR_PORT}",
                "directory": f"{machine.ip}:{DIRECTORY_PORT}",
            },
            "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seedNodes": [f"{each.ip}:{OPERATOR_PORT}" for each in self.seeds],
            "bootstrap": bootstrap,
            "faultDomainMember": machine.has_disk,
            "limits": {"cpuShare": 0.968, "cpuCores": 2, "memoryMb": 300, "fileDescriptors": 4100},
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
                "graceS": 8,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "downgradeSlackMs": 250,
                "maxExtensionMs": 5000,
                "strictRevocation": True,
                "revokeMs": 5000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "retryBudgetExtra": 58,
                "recoveryS": 12,
                "iterationMs": 120,
                "retryAfterS": 10,
                "capacityMultiplier": 2,
                "ttl_max_s": 5,
            },
            "configurationMode": "highest",
            "cloudApi": {
                "address": f"{self.net}.200:{PLATFORM_PORT}",
                "ratePerS": 47.0,
                "duties": [],
                "maxLagMs": 800,
            },
        }
        if machine.has_disk:
            folder = self.folder / "data" / machine.name / role
            folder.mkdir(parents=True, exist_ok=True)
            settings["dataDirectory"] = str(folder)
        return settings

    # --- the platform ---------------------------------------------------------------------------

    def list_worker(self, name: str, service: str, address: str, hall: str, slots: int) -> None:
        """Add a worker to the platform's list."""
        self.listed.append(
            {
                "id": name,
                "service": service,
                "address": address,
                "zone": hall,
                "version": "v1",
                "slots": slots,
                "state": "ready",
                "coldRemainingMs": 0,
            }
        )

    def _list_instances(self, channel: Channel) -> None:
        request = channel.read_request()
        status = 200 if urllib.parse.urlsplit(request.target).path == "/instances" else 404
        body = json.dumps({"instances": self.listed, "nextPageToken": None}).encode()
        channel.send(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, len(body), body)
        )

    # --- the operator ---------------------------------------------------------------------------

    def operate(self, method: str, path: str, body: bytes, first: Machine) -> tuple[int, bytes]:
        """Call a control box as the operator does, following 307 twice; 0 is no answer."""
        address = f"{first.ip}:{OPERATOR_PORT}"
        for _ in range(3):
            try:
                answer = ask(address, method, path, {"Content-Type": "application/json"}, body, 5.0)
            except (OSError, http.client.HTTPException):
                return 0, b""
            if answer.status != 307:
                return answer.status, answer.body
            address = urllib.parse.urlsplit(answer.headers["location"]).netloc
        return 0, b""

    def submit(self, manifest: dict[str, Any], within_s: float, first: int = 0) -> None:
        """Send a manifest to one node after another until it is acknowledged."""
        body = json.dumps(manifest).encode()
        nodes = [each for each in self.machines if each.has_disk]
        deadline_s = time.monotonic() + within_s
        turn = first
        while time.monotonic() < deadline_s:
            status, _ = self.operate(
                "POST", "/Configuration.Replace", body, nodes[turn % len(nodes)]
            )
            if status == 200:
                self.record.write(f"operator: version {manifest['version']} acknowledged")
                return
            turn += 1
            time.sleep(0.1)
        raise SiteError(f"version {manifest['version']} was not acknowledged")

    def wait_ready(self, within_s: float) -> None:
        """Wait until every machine says that it is ready."""
        deadline_s = time.monotonic() + within_s
        for each in self.machines:
            while not self.is_ready(each):
                if time.monotonic() > deadline_s:
                    raise SiteError(f"{each.name} did not become ready")
                time.sleep(0.1)
        self.record.write("every machine is ready")

    def is_ready(self, machine: Machine) -> bool:
        """Ask as the infrastructure does whether a machine is ready."""
        try:
            address = f"{machine.ip}:{READY_PORT}"
            return ask(address, "GET", "/readiness", {}, b"", 1.0).status == 200
        except (OSError, http.client.HTTPException):
            return False


# --- sockets ------------------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that a stand-in has read; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Channel:
    """A channel that a stand-in has accepted."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._file = sock.makefile("rb")

    def read_request(self) -> Request:
        """Read one request; raises `ConnectionError` at the channel's end."""
        line = self._file.readline()
        if not line:
            raise ConnectionError("the channel ended")
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while (line := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        size_bytes = int(headers.get("content-length", "0"))
        return Request(method, target, headers, self._file.read(size_bytes))

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.sock.sendall(data)

    def is_closed(self) -> bool:
        """Tell whether the other side has closed the channel."""
        self.sock.settimeout(0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(None)


def serve(ip: str, port: int, handle: Callable[[Channel], None]) -> socket.socket:
    """Listen, and handle each channel in a thread of its own until the process ends."""
    listener = socket.create_server((ip, port), backlog=256)

    def run(sock: socket.socket) -> None:
        with sock:
            try:
                handle(Channel(sock))
            except OSError:
                # The other side went away, which the test is about.
                return

    def accept() -> None:
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=run, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def ask(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Answer:
    """Send one request on a new channel and read its answer."""
    host, _, port = address.rpartition(":")
    began_s = time.monotonic()
    link = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        link.request(method, target, body or None, headers)
        response = link.getresponse()
        parts: list[bytes] = []
        is_whole = True
        try:
            while part := response.read1(65536):
                parts.append(part)
        except (OSError, http.client.HTTPException):
            is_whole = False
        if response.length not in (0, None):
            is_whole = False
        given = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, given, b"".join(parts), is_whole, time.monotonic() - began_s)
    finally:
        link.close()


# --- the run ------------------------------------------------------------------------------------


def main(folder: pathlib.Path, play: Callable[[Record, bool], bool]) -> int:
    """Run a case; ``play`` returns whether the rule held, with or without the disruption."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    threading.Thread(target=_end_late, args=(record,), daemon=True).start()
    try:
        if not (ROOT / "target" / "deps").is_dir():
            raise SiteError("target/deps is missing: the build of the deploy file comes first")
        record.write(f"disruption: {'yes' if has_trouble else 'no'}")
        held = play(record, has_trouble)
    except (SiteError, OSError) as failure:
        record.write(f"the case could not run: {failure!r}")
        print(f"the case could not run: {failure!r}")
        return COULD_NOT_RUN
    record.write("the rule held" if held else "THE RULE IS BROKEN")
    print("the rule held" if held else "the rule is broken")
    return HELD if held else BROKEN


def running(site: Site) -> Iterator[Site]:
    """Yield the site and end its processes, whatever happens."""
    global _site
    _site = site
    try:
        yield site
    finally:
        site.stop()


_site: Site | None = None


def _end_late(record: Record) -> None:
    """End a case that takes too long, and its processes."""
    time.sleep(RUN_LIMIT_S)
    record.write("the case could not run: it took too long")
    if _site is not None:
        _site.stop()
    os._exit(COULD_NOT_RUN)


def _commands() -> dict[str, list[str]]:
    """Return the commands of the deploy file; a control box starts beside the router."""
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    commands = {}
    for name, role in roles.items():
        words = role["run"].split()
        words = ["0.3" if word.startswith("{{#dataDirectory}}") else word for word in words]
        commands[name] = words
    return commands


def _free_net() -> str:
    """Return the first three numbers of addresses on which the site's ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        ports = (
            CALLER_PORT,
            READY_PORT,
            OPERATOR_PORT,
            DIRECTORY_PORT,
            INTERNAL_PORT,
            INTERNAL_PORT + 1,
            PLATFORM_PORT,
            WORKER_PORT,
            *METRICS_PORTS,
        )
        try:
            for port in ports:
                for last in (1, 2, 3, 200):
                    socket.create_server((f"{net}.{last}", port)).close()
        except OSError:
            continue
        return net
    raise SiteError("found no free addresses")


def tally(results: list[str]) -> str:
    """Return how often each result came."""
    counts = sorted(collections.Counter(results).items())
    return ", ".join(f"{name}: {count}" for name, count in counts)


def exit_with(code: int) -> None:
    """End the process at once: stand-ins still wait in their threads."""
    sys.stdout.flush()
    os._exit(code)
