"""Machines lose power one after the other: is what was acknowledged still there, and shown?"""

from __future__ import annotations

import json
import pathlib
import signal
import sys
import threading
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit"))

import site_of_programs as site  # noqa: E402

SERVICE = "xano55b"
PATH = "/lohu930/"
OLD_VERSION, NEW_VERSION = 7, 8
REVOKED_KEY = "anfqasnmgkcuyj8pjbvk"
"""In version 7, taken away by version 8."""
SECOND_LOSS_S = 1.5
"""After the first one."""
SUBMIT_S = 2.5
ACK_WAIT_S = 5.0
LONGEST_LOSS_S = 7.0
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
RECOVERY_S = 12.0
CONTACT_S = 3.0


class Worker:
    """Runs what it is sent and notes the key's absence and the tenant."""

    def __init__(self, record: site.Record) -> None:
        self._record = record
        self.ran: list[str] = []
        self._lock = threading.Lock()

    def handle(self, channel: site.Channel) -> None:
        """Answer one request, or a health check."""
        request = channel.read_request()
        request_id = request.headers.get("croftpulley-attempt-id", "")
        if request_id:
            with self._lock:
                self.ran.append(request_id)
            self._record.write(
                f"worker runs {request_id} for {request.headers.get('croftpulley-tenant')}"
            )
        body = b"done"
        channel.send(
            b"HTTP/1.1 200 OK\r\nCroftpulley-Attempt-Id: %b\r\nCroftpulley-Instance-Id: i-1\r\n"
            b"Croftpulley-Server-Signature: 3e1b.07\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (request_id.encode(), len(body), body)
        )


def manifest(version: int, keys: list[str]) -> dict[str, Any]:
    """Return a manifest with one route and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "save",
                "host": site.HOST,
                "pathPrefix": PATH,
                "kind": "non_idempotent",
                "timeoutMs": 2000,
                "targetLatencyMs": 300,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 1,
                "anonymous": False,
                "stickySessions": False,
                "streamResumption": False,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthCheckPath": "/health",
                "connectionLimit": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": keys, "priority": 1}],
    }


def lose_power(place: site.Site, machines: list[site.Machine]) -> None:
    """End the processes of machines at once."""
    for each in machines:
        for role in ("control", "entry"):
            place.signal(each, role, signal.SIGKILL)


def start_again(place: site.Site, machines: list[site.Machine]) -> None:
    """Start machines on the disks that they had."""
    for each in machines:
        for role in ("control", "entry"):
            place.start(each, role)


def leader_of(place: site.Site, among: list[site.Machine]) -> site.Machine | None:
    """Return the machine that answers a read of the manifest itself, without a redirect."""
    for each in among:
        try:
            answer = site.ask(
                f"{each.ip}:{site.OPERATOR_PORT}", "GET", "/Configuration.Read", {}, b"", 1.0
            )
        except OSError:
            continue
        if answer.status == 200:
            return each
    return None


def read_version(place: site.Site, machine: site.Machine) -> int | None:
    """Read the manifest as the operator does; ``None`` without a clear answer."""
    status, body = place.operate("GET", "/Configuration.Read", b"", machine)
    version = json.loads(body)["version"] if status == 200 else None
    place.record.write(f"operator: read at {machine.name}: {status}, version {version}")
    return version


def send(place: site.Site, machine: site.Machine, request_id: str, key: str) -> int:
    """Send one request and return the status of its answer, 0 without one."""
    headers = {
        "Host": site.HOST,
        "Croftpulley-Attempt-Id": request_id,
        "Croftpulley-Deadline-Ms": "3000",
        "Croftpulley-Credential": key,
    }
    address = f"{machine.ip}:{site.CALLER_PORT}"
    try:
        status = site.ask(address, "POST", f"{PATH}2f", headers, b"x" * 600, 3.0).status
    except OSError as failure:
        place.record.write(f"requester: {request_id} to {machine.name}: no answer, {failure!r}")
        return 0
    place.record.write(f"requester: {request_id} to {machine.name}: {status}")
    return status


def submit_new(place: site.Site, first: site.Machine) -> float | None:
    """Send the new version until it is acknowledged; return when, ``None`` without an ack."""
    position = [each.name for each in place.machines].index(first.name)
    try:
        place.submit(manifest(NEW_VERSION, [site.KEY]), within_s=ACK_WAIT_S, first=position)
    except site.SiteError:
        place.record.write("operator: no ack of the new version in time; none counts")
        return None
    return time.monotonic()


def play(record: site.Record, has_trouble: bool) -> bool:
    """Run the site and the losses of power; return whether the new version was kept."""
    place = site.Site(record, machine_count=4, disk_count=4)
    worker = Worker(record)
    for _ in site.running(place):
        site.serve(f"{place.net}.200", site.WORKER_PORT, worker.handle)
        place.list_worker("i-1", SERVICE, f"{place.net}.200:{site.WORKER_PORT}", "hall-a", 6)
        place.start_all()
        place.submit(manifest(OLD_VERSION, [site.KEY, REVOKED_KEY]), within_s=30.0)
        place.wait_ready(within_s=20.0)
        time.sleep(3.0)
        return _play_ready(place, worker, has_trouble)
    return False


def _play_ready(place: site.Site, worker: Worker, has_trouble: bool) -> bool:
    leader = leader_of(place, place.machines)
    if leader is None:
        raise site.SiteError("no control box leads")
    others = [each for each in place.seeds if each is not leader]
    added = place.machines[3]
    place.record.write(
        f"{leader.name} leads; {others[0].name} and {others[1].name} are seeds as it is, "
        f"{added.name} is none"
    )
    for each in place.machines:
        if send(place, each, f"before-{each.name}", REVOKED_KEY) != 200:
            raise site.SiteError("a key is not honoured before it is taken away")
    began_s = time.monotonic()
    if has_trouble:
        lose_power(place, [others[1]])
        time.sleep(SECOND_LOSS_S)
        lose_power(place, [others[0]])
    time.sleep(max(0.0, began_s + SUBMIT_S - time.monotonic()))
    acked_s = submit_new(place, leader)
    half_s = time.monotonic()
    if has_trouble:
        lose_power(place, [leader, added])
        start_again(place, others)
    held = True
    if acked_s is not None:
        held = _keeps_the_new(place, worker, others, acked_s)
    if has_trouble:
        if time.monotonic() - half_s > LONGEST_LOSS_S:
            raise site.SiteError("a loss of power lasted for too long")
        start_again(place, [leader, added])
    return _keeps_it_to_the_end(place, acked_s) and held


def _keeps_the_new(
    place: site.Site, worker: Worker, asked: list[site.Machine], acked_s: float
) -> bool:
    """Tell whether nobody answers or acts as only the older version allows."""
    held = True
    time.sleep(max(0.0, acked_s + CONFIG_APPLY_S + 0.2 - time.monotonic()))
    while time.monotonic() < acked_s + REVOKE_S + 0.2:
        for each in asked:
            version = read_version(place, each)
            if version is not None and version < NEW_VERSION:
                place.record.write(
                    f"BROKEN, CONFIG: a read sent {time.monotonic() - acked_s:.1f} s after the ack "
                    f"of version {NEW_VERSION} is answered with version {version}"
                )
                held = False
        time.sleep(0.4)
    for each in asked:
        request_id = f"after-{each.name}"
        sent_s = time.monotonic()
        send(place, each, request_id, REVOKED_KEY)
        if request_id in worker.ran:
            place.record.write(
                f"BROKEN, CONFIG: a worker ran {request_id}, sent {sent_s - acked_s:.1f} s after "
                "the ack that took its key away"
            )
            held = False
    return held


def _keeps_it_to_the_end(place: site.Site, acked_s: float | None) -> bool:
    """Read the manifest over and over once all machines run again and have had their time."""
    time.sleep(RECOVERY_S)
    newest = 0
    ends_s = time.monotonic() + CONTACT_S
    turn = 0
    while time.monotonic() < ends_s:
        version = read_version(place, place.machines[turn % len(place.machines)])
        newest = max(newest, version or 0)
        turn += 1
        time.sleep(0.2)
    if acked_s is not None and newest < NEW_VERSION:
        place.record.write(
            f"BROKEN, CONFIG: read back at the end: version {newest}, acknowledged was "
            f"{NEW_VERSION}"
        )
        return False
    return True


if __name__ == "__main__":
    site.exit_with(site.main(FOLDER, play))
