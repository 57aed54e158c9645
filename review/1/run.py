"""A worker that names no length turns slow: is an answer cut by the router told as whole?"""

from __future__ import annotations

import concurrent.futures
import pathlib
import sys
import threading
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit"))

import site_of_programs as site  # noqa: E402

TIMEOUT_MS = 2000
"""Of the route, as of every plain route of the site file; requesters wait for 3,000 ms."""
DEADLINE_MS = 3000
WORK_S = 0.45
"""The longest work of a plain request in the site file."""
SLOW_TIMES = 5.0
"""The largest dose of srv_slow in the site file."""
PIECES = 9
PIECE_BYTES = 90
REQUESTS = 12
CALLERS = 4
SERVICE = "xano55b"
PATHS = {"save": "/lohu930/", "trade": "/puxa403/", "chat": "/pufi791/"}
KINDS = {"save": "non_idempotent", "trade": "idempotent", "chat": "streaming"}


class Worker:
    """Runs each request, writes its answer piece by piece as it works, and names no length."""

    def __init__(self, record: site.Record) -> None:
        self._record = record
        self.slow_times = 1.0
        self.ran: dict[str, int] = {}
        self._lock = threading.Lock()

    def handle(self, channel: site.Channel) -> None:
        """Answer one request, or a health check."""
        request = channel.read_request()
        request_id = request.headers.get("croftpulley-attempt-id", "")
        if not request_id:
            channel.send(
                b"HTTP/1.1 200 OK\r\nCroftpulley-Instance-Id: i-1\r\nContent-Length: 0\r\n"
                b"Connection: close\r\n\r\n"
            )
            return
        with self._lock:
            self.ran[request_id] = self.ran.get(request_id, 0) + 1
        name = next(each for each, path in PATHS.items() if request.target.startswith(path))
        content_type = b"text/event-stream" if name == "chat" else b"application/octet-stream"
        self._record.write(f"worker runs {request_id}")
        time.sleep(0.01)
        channel.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nCroftpulley-Attempt-Id: %b\r\n"
            b"Croftpulley-Server-Signature: 3e1b.07.%b\r\nConnection: close\r\n\r\n"
            % (content_type, request_id.encode(), request_id.encode())
        )
        for number in range(PIECES):
            time.sleep(WORK_S * self.slow_times / PIECES)
            if channel.is_closed():
                self._record.write(f"worker drops {request_id}: its channel is closed")
                return
            channel.send(piece(name, request_id, number))
        self._record.write(f"worker has answered {request_id} whole")


def piece(name: str, request_id: str, number: int) -> bytes:
    """Return a part of an answer; of a stream it is one event, whose ids rise."""
    if name == "chat":
        return f"id: {number + 1}\ndata: {request_id} event {number + 1}\n\n".encode()
    return f"{request_id} piece {number} ".encode().ljust(PIECE_BYTES, b".")


def whole_body(name: str, request_id: str) -> bytes:
    """Return the whole answer to a request."""
    return b"".join(piece(name, request_id, number) for number in range(PIECES))


def manifest() -> dict[str, Any]:
    """Return a manifest with one route of each kind."""
    return {
        "version": 7,
        "routes": [
            {
                "name": name,
                "host": site.HOST,
                "pathPrefix": PATHS[name],
                "kind": kind,
                "timeoutMs": TIMEOUT_MS,
                "targetLatencyMs": 300,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 1,
                "anonymous": False,
                "stickySessions": False,
                "streamResumption": name == "chat",
            }
            for name, kind in KINDS.items()
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


def send(record: site.Record, machine: site.Machine, number: int) -> str:
    """Send one request and return what became of it."""
    name = tuple(PATHS)[number % len(PATHS)]
    request_id = f"{number:016x}"
    headers = {
        "Host": site.HOST,
        "Croftpulley-Attempt-Id": request_id,
        "Croftpulley-Deadline-Ms": str(DEADLINE_MS),
        "Croftpulley-Credential": site.KEY,
    }
    record.write(f"requester sends {request_id} ({name}) to {machine.name}")
    address = f"{machine.ip}:{site.CALLER_PORT}"
    try:
        answer = site.ask(
            address, "POST", f"{PATHS[name]}2f", headers, b"x" * 600, DEADLINE_MS / 1000
        )
    except OSError as failure:
        record.write(f"requester got no answer to {request_id}: {failure!r}")
        return "no answer"
    expected = whole_body(name, request_id)
    has_proof = "croftpulley-server-signature" in answer.headers
    record.write(
        f"requester got {answer.status} to {request_id} after {answer.took_s:.3f} s: "
        f"{len(answer.body)} of {len(expected)} bytes, proof {has_proof}, "
        f"Content-Length {answer.headers.get('content-length')}, "
        f"ended as framed: {answer.is_whole}"
    )
    if not 200 <= answer.status < 300:
        return f"status {answer.status}"
    if not answer.is_whole:
        return "cut, and seen to be cut"
    return "whole" if answer.body == expected else f"PART OF AN ANSWER TOLD AS WHOLE ({name})"


def play(record: site.Record, has_trouble: bool) -> bool:
    """Run the site and the requests; return whether no part of an answer was told as whole."""
    place = site.Site(record, machine_count=3, disk_count=3)
    worker = Worker(record)
    for _ in site.running(place):
        site.serve(f"{place.net}.200", site.WORKER_PORT, worker.handle)
        place.list_worker("i-1", SERVICE, f"{place.net}.200:{site.WORKER_PORT}", "hall-a", 6)
        place.start_all()
        place.submit(manifest(), within_s=30.0)
        place.wait_ready(within_s=20.0)
        if has_trouble:
            worker.slow_times = SLOW_TIMES
            record.write(f"the worker takes {SLOW_TIMES:g} times as long from here")
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
            results = list(
                callers.map(
                    lambda number: send(record, place.machines[number % 3], number + 1),
                    range(REQUESTS),
                )
            )
    record.write(site.tally(results))
    print(site.tally(results))
    if not has_trouble and set(results) != {"whole"}:
        raise site.SiteError("without the disruption not every answer was whole")
    return not any(each.startswith("PART") for each in results)


if __name__ == "__main__":
    site.exit_with(site.main(FOLDER, play))
