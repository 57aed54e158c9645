"""Routers are stopped by plan as users come at once: does each of them notice its SIGTERM?"""

from __future__ import annotations

import dataclasses
import http.client
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit"))

import site_of_programs as site  # noqa: E402

SERVICE = "xano55b"
PATH = "/lohu930/"
GRACE_S = 8.0
COUNTED_AFTER_S = 3.0
"""A request sent later than this after the SIGTERM is counted though its worker is at work."""
WORK_S = 0.45
"""The longest work of a plain request in the site file."""
DEADLINE_MS = 3000
TIMEOUT_MS = 2000
AT_ONCE = 3
"""Users that come to one router at the same moment."""
STEADY_PAUSE_S = 0.1
PLAY_S = 80.0
MACHINES = 12
SITE_PER_S = 42.0
"""Requests that users send to the whole site, as the users' sheet has it."""
SETTLE_S = 1.2
LONGEST_DELAY_S = 0.02
GAP_S = 1.0
"""Between the stops of two routers."""


@dataclasses.dataclass
class Sent:
    """A request whose last byte was sent, and what became of it."""

    request_id: str
    sent_s: float
    outcome: str = "under way"
    ended_s: float = 0.0


class Traffic:
    """Sends requests to a router and notes how each ended."""

    def __init__(self, record: site.Record) -> None:
        self._record = record
        self._lock = threading.Lock()
        self.sent: list[Sent] = []

    @property
    def failed(self) -> bool:
        """Tell whether any request was not served."""
        return any(each.outcome != "200" for each in self.sent)

    def send(self, machine: site.Machine, begin: threading.Event | None = None) -> None:
        """Send one request on a new channel, once ``begin`` is set."""
        request_id = f"{random.getrandbits(64):016x}"
        link = http.client.HTTPConnection(machine.ip, site.CALLER_PORT, timeout=DEADLINE_MS / 1000)
        headers = {
            "Host": site.HOST,
            "Croftpulley-Attempt-Id": request_id,
            "Croftpulley-Deadline-Ms": str(DEADLINE_MS),
            "Croftpulley-Credential": site.KEY,
        }
        try:
            link.connect()
            if begin is not None:
                begin.wait()
            link.request("POST", f"{PATH}2f", b"x" * 600, headers)
        except OSError:
            # The router does not listen: nothing was sent.
            link.close()
            return
        sent = Sent(request_id, time.monotonic())
        with self._lock:
            self.sent.append(sent)
        try:
            response = link.getresponse()
            response.read()
            sent.outcome = str(response.status)
        except (OSError, http.client.HTTPException) as failure:
            sent.outcome = f"no answer: {failure!r}"
        sent.ended_s = time.monotonic()
        self._record.write(f"requester: {request_id} to {machine.name}: {sent.outcome}")
        link.close()

    def spawn(self, machine: site.Machine, begin: threading.Event | None = None) -> None:
        """Send one request in a thread of its own."""
        threading.Thread(target=self.send, args=(machine, begin), daemon=True).start()


class Worker:
    """Runs what it is sent, always for the same time."""

    def __init__(self, record: site.Record) -> None:
        self._record = record
        self._lock = threading.Lock()
        self.ran: set[str] = set()

    def handle(self, channel: site.Channel) -> None:
        """Answer one request, or a health check."""
        request = channel.read_request()
        request_id = request.headers.get("croftpulley-attempt-id", "")
        if request_id:
            with self._lock:
                self.ran.add(request_id)
            self._record.write(f"worker runs {request_id}")
            time.sleep(WORK_S)
        channel.send(
            b"HTTP/1.1 200 OK\r\nCroftpulley-Attempt-Id: %b\r\nCroftpulley-Instance-Id: i-1\r\n"
            b"Croftpulley-Server-Signature: 3e1b.07\r\nContent-Length: 4\r\n"
            b"Connection: close\r\n\r\ndone" % request_id.encode()
        )


def manifest() -> dict[str, Any]:
    """Return a manifest with one route whose requests may run once."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "save",
                "host": site.HOST,
                "pathPrefix": PATH,
                "kind": "non_idempotent",
                "timeoutMs": TIMEOUT_MS,
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
        "tenants": [{"name": "hule930", "apiKeys": [site.KEY], "priority": 1}],
    }


def play(record: site.Record, has_trouble: bool) -> bool:
    """Run the site and stop its routers in turn; return whether no request was lost."""
    place = site.Site(record, machine_count=MACHINES, disk_count=3)
    worker = Worker(record)
    stops: list[Stop] = []
    threads: list[threading.Thread] = []
    for _ in site.running(place):
        site.serve(f"{place.net}.200", site.WORKER_PORT, worker.handle)
        place.list_worker("i-1", SERVICE, f"{place.net}.200:{site.WORKER_PORT}", "hall-a", 64)
        place.start_all()
        place.submit(manifest(), within_s=30.0)
        place.wait_ready(within_s=20.0)
        time.sleep(SETTLE_S)
        ends_s = time.monotonic() + PLAY_S
        threading.Thread(target=keep_sending, args=(place, record), daemon=True).start()
        while time.monotonic() < ends_s and not any(each.lost for each in stops):
            machine = place.machines[len(stops) % MACHINES]
            stops.append(Stop(place, machine, worker, record))
            threads.append(threading.Thread(target=stops[-1].play, args=(has_trouble,)))
            threads[-1].start()
            if len(threads) >= MACHINES:
                # A router is stopped again once it was started again.
                threads[-MACHINES].join()
            time.sleep(GAP_S)
        for thread in threads:
            thread.join()
    ignored = sum(not each.has_ended for each in stops)
    summary = f"{len(stops)} planned stops, {ignored} not noticed" if has_trouble else "no stops"
    record.write(summary)
    print(summary)
    if not has_trouble and any(each.traffic.failed for each in stops):
        raise site.SiteError("without the disruption not every request was served")
    return not any(each.lost for each in stops)


def keep_sending(place: site.Site, record: site.Record) -> None:
    """Have users come to all routers, evenly, for as long as the case runs."""
    traffic = Traffic(record)
    while True:
        for machine in place.machines:
            traffic.spawn(machine)
            time.sleep(1.0 / SITE_PER_S)


class Stop:
    """One planned stop of a router, with the requests that users send to it."""

    def __init__(
        self, place: site.Site, machine: site.Machine, worker: Worker, record: site.Record
    ) -> None:
        self._place = place
        self._machine = machine
        self._worker = worker
        self._record = record
        self._stopped_s = 0.0
        self.traffic = Traffic(record)
        self.has_ended = True
        self.lost: list[Sent] = []

    def play(self, has_trouble: bool) -> None:
        """Have users come at once, stop the router at about that moment, and start it again."""
        come_at_once(self.traffic, self._machine)
        if not has_trouble:
            time.sleep(WORK_S + SETTLE_S)
            return
        time.sleep(random.uniform(0.0, LONGEST_DELAY_S))
        self._stop()
        self._place.start(self._machine, "entry")
        if self.has_ended:
            time.sleep(SETTLE_S)
            return
        time.sleep(DEADLINE_MS / 1000)
        self.lost = self._lost()

    def _stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace, as the infrastructure does.

        Users go on coming meanwhile, as long as the router is not known to be gone.
        """
        process = self._place.process(self._machine, "entry")
        self._place.signal(self._machine, "entry", signal.SIGTERM)
        self._stopped_s = time.monotonic()
        while time.monotonic() < self._stopped_s + GRACE_S:
            self.traffic.spawn(self._machine)
            try:
                process.wait(STEADY_PAUSE_S)
            except subprocess.TimeoutExpired:
                continue
            took_s = time.monotonic() - self._stopped_s
            self._record.write(f"{self._machine.name} ended {took_s:.2f} s after its SIGTERM")
            return
        ready = self._place.is_ready(self._machine)
        self._record.write(
            f"{self._machine.name} runs {GRACE_S:g} s after its SIGTERM; says it is ready: {ready}"
        )
        self._place.signal(self._machine, "entry", signal.SIGKILL)
        process.wait()
        self.has_ended = False

    def _lost(self) -> list[Sent]:
        """Return the requests that count: handed to a worker, and without an answer."""
        lost = [
            each
            for each in self.traffic.sent
            if each.outcome.startswith("no answer")
            and each.request_id in self._worker.ran
            and each.sent_s > self._stopped_s + COUNTED_AFTER_S
            and each.ended_s < each.sent_s + TIMEOUT_MS / 1000
        ]
        for each in lost:
            self._record.write(
                f"BROKEN, LOST: {each.request_id}, sent {each.sent_s - self._stopped_s:.2f} s "
                "after the SIGTERM, ran at a worker; its channel ended "
                f"{each.ended_s - each.sent_s:.2f} s later without an answer"
            )
        return lost


def come_at_once(traffic: Traffic, machine: site.Machine) -> None:
    """Have users send at one moment, on channels that they have just opened."""
    begin = threading.Event()
    for _ in range(AT_ONCE):
        traffic.spawn(machine, begin)
    time.sleep(0.3)
    begin.set()


if __name__ == "__main__":
    site.exit_with(site.main(FOLDER, play))
