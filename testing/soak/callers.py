"""Callers and an operator: threads that ask without end and write down what they meet."""

from __future__ import annotations

import http.client
import math
import random
import threading
import time
from collections.abc import Sequence

import orjson

from site_of_routers import read as read_answer
from soak import fleet, processes, records

CALLERS = 6
_PAUSE_S = 0.03
_LONGEST_UNREAD_S = 1.0
_PAUSE_AFTER_FAILURE_S = 0.2
"""A router that is down answers nobody at once."""
_TIMEOUT_S = 6.0
"""Beyond the time limit of every route."""
_OPERATOR_TIMEOUT_S = 5.0
"""Beyond the time in which a control box acknowledges or gives up."""
_LARGE_TIMEOUT_S = 15.0
"""For a large configuration: it is read before the time for the acknowledgement begins."""
_OPERATOR_PAUSE_S = 0.2
_CHANGE_SHARE = 0.25
"""How many of the operator's rounds submit a new version; the others read it back."""
_LARGE_SHARE = 0.3
"""How many of the new versions are large, where links have a rate."""
_OLD_SHARE = 0.15
"""How many requests use a route or a key that is gone or about to go."""


class Crowd:
    """Starts all threads and stops them; without ``changes`` the operator only reads.

    Of the callers ``unread_share`` do not read what they asked for.
    """

    def __init__(
        self,
        site: fleet.Fleet,
        book: records.Book,
        seed: int,
        *,
        changes: bool = True,
        count: int = CALLERS,
        unread_share: float = 0.0,
    ) -> None:
        self._changes = changes
        self._unread_share = unread_share
        self._site = site
        self._book = book
        self._stopped = threading.Event()
        chances = [random.Random(f"{seed} {number}") for number in range(count + 1)]
        # Of its own: the other choices of a seed stay what they are.
        self._large_chance = random.Random(f"{seed} large")
        self._threads = [threading.Thread(target=self._operate, args=(chances[0],), daemon=True)]
        self._threads += [
            threading.Thread(target=self._call, args=(number, chance), daemon=True)
            for number, chance in enumerate(chances[1:])
        ]

    def start(self) -> None:
        """Begin."""
        for each in self._threads:
            each.start()

    def stop(self) -> None:
        """End once every request that is under way has ended."""
        self._stopped.set()
        for each in self._threads:
            each.join()

    def _call(self, number: int, chance: random.Random) -> None:
        kept: dict[int, http.client.HTTPConnection] = {}
        count = 0
        while not self._stopped.wait(_PAUSE_S * chance.random()):
            count += 1
            router = chance.randrange(fleet.ROUTERS)
            if chance.random() < 0.2:
                close(kept.pop(router, None))
            asked = ask(
                self._site.router_ways[router].address,
                kept,
                self._book,
                request_id=f"c{number}-{count}",
                kind=chance.choice(fleet.KINDS),
                router=router,
                route_version=self._version(chance),
                key_version=self._version(chance),
                unread_s=self._unread_s(chance),
            )
            self._book.asked.append(asked)
            if asked.end is not records.End.WHOLE:
                close(kept.pop(router, None))
                self._stopped.wait(_PAUSE_AFTER_FAILURE_S)
        for connection in kept.values():
            connection.close()

    def _unread_s(self, chance: random.Random) -> float:
        """Return for how long a caller does not read before it leaves; 0 if it reads."""
        if not self._unread_share or chance.random() >= self._unread_share:
            return 0.0
        return chance.uniform(0.0, _LONGEST_UNREAD_S)

    def _version(self, chance: random.Random) -> int:
        """Return what was accepted last, or now and then one of the versions around it."""
        accepted = self._book.accepted_version
        if chance.random() >= _OLD_SHARE:
            return max(1, accepted)
        return max(1, accepted + chance.choice((-2, -1, 1)))

    def _spare_routes(self) -> int:
        if math.isinf(self._site.link_bytes_per_s):
            return 0
        return fleet.LARGE_ROUTES if self._large_chance.random() < _LARGE_SHARE else 0

    def _operate(self, chance: random.Random) -> None:
        while not self._stopped.wait(_OPERATOR_PAUSE_S):
            if self._changes and chance.random() < _CHANGE_SHARE:
                spare_routes = self._spare_routes()
                submit(self._site, self._book, chance, self._stopped, spare_routes)
            else:
                self._book.reads.append(read_back(self._site, self._book, chance))


def ask(
    address: str,
    kept: dict[int, http.client.HTTPConnection],
    book: records.Book,
    *,
    request_id: str,
    kind: str,
    router: int,
    route_version: int,
    key_version: int,
    path: str = "",
    body: bytes = b"body",
    unread_s: float = 0.0,
    parts: Sequence[str] = (),
) -> records.Asked:
    """Send one request, on the kept connection to this router if there is one.

    Without a ``path`` it has one of its own. With ``unread_s`` the caller does not read for so
    long, and then leaves. ``parts`` are those of its prompt.
    """
    accepted_version = book.accepted_version
    sent_s = time.monotonic()
    fields = {}
    sent = False
    try:
        connection = kept.get(router)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
            connection.connect()
            kept[router] = connection
        sent = True
        path = path or fleet.path_of(route_version, kind, request_id)
        connection.request("POST", path, body, _headers(request_id, key_version, parts))
        if unread_s:
            time.sleep(unread_s)
            raise http.client.HTTPException("the caller leaves")
        response = connection.getresponse()
        answer = read_answer(response)
        # Else the connection takes no further request.
        response.close()
        fields = {
            "status": answer.status,
            "body": answer.body,
            "echoed_id": answer.headers.get("x-request-id", ""),
            "has_proof": "x-proof" in answer.headers,
        }
        end = records.End.WHOLE if answer.whole else records.End.CUT
    except (OSError, http.client.HTTPException):
        end = records.End.NOTHING if sent else records.End.UNSENT
    return records.Asked(
        request_id=request_id,
        kind=kind,
        router=router,
        route_version=route_version,
        key_version=key_version,
        accepted_version=accepted_version,
        submitted_version=book.submitted_version,
        sent_s=sent_s,
        ended_s=time.monotonic(),
        end=end,
        **fields,
    )


def _headers(request_id: str, key_version: int, parts: Sequence[str]) -> dict[str, str]:
    prompt = ",".join(f"{each}:100" for each in parts)
    return {
        **({"X-Prompt-Parts": prompt} if prompt else {}),
        "Host": fleet.HOST,
        "X-Request-Id": request_id,
        "X-Key": fleet.key_of(key_version),
        "X-Deadline-Ms": "4000",
    }


def submit(
    site: fleet.Fleet,
    book: records.Book,
    chance: random.Random,
    stopped: threading.Event,
    spare_routes: int = 0,
) -> None:
    """Submit a new version, to any box until it is acknowledged; others may race it meanwhile."""
    version, body = _submission(site, book, spare_routes)
    timeout_s = _LARGE_TIMEOUT_S if spare_routes else _OPERATOR_TIMEOUT_S
    while not stopped.wait(_OPERATOR_PAUSE_S):
        box = (leader(site) if spare_routes else None) or chance.choice(site.control)
        if _is_acknowledged(box, body, timeout_s):
            book.accept(version)
            return


def timed_submission(
    site: fleet.Fleet,
    book: records.Book,
    chance: random.Random,
    limit_s: float = math.inf,
    spare_routes: int = 0,
) -> records.Acceptance:
    """Submit a new version until it is acknowledged, then read back until it is there."""
    version, body = _submission(site, book, spare_routes)
    timeout_s = _LARGE_TIMEOUT_S if spare_routes else _OPERATOR_TIMEOUT_S
    began_s = time.monotonic()
    while time.monotonic() - began_s < limit_s:
        first = leader(site) if spare_routes else None
        boxes = [first] if first else chance.sample(site.control, fleet.CONTROL)
        if any(_is_acknowledged(box, body, timeout_s) for box in boxes):
            book.accept(version)
            acknowledged_s = time.monotonic() - began_s
            took_s = _read_after_s(site, book, chance, began_s, limit_s)
            return records.Acceptance(
                version=version, limit_s=limit_s, acknowledged_s=acknowledged_s, took_s=took_s
            )
    return records.Acceptance(version=version, limit_s=limit_s)


def _read_after_s(
    site: fleet.Fleet, book: records.Book, chance: random.Random, began_s: float, limit_s: float
) -> float | None:
    """Return how long it took until what was accepted is read back, ``None`` if it is given up."""
    while time.monotonic() - began_s < limit_s:
        read = read_back(site, book, chance)
        book.reads.append(read)
        if read.version is not None:
            return time.monotonic() - began_s
        time.sleep(_OPERATOR_PAUSE_S)
    return None


def _submission(site: fleet.Fleet, book: records.Book, spare_routes: int) -> tuple[int, bytes]:
    version = book.submit()
    document = fleet.document(version, spare_routes, site.slots)
    return version, orjson.dumps({"number": version, "document": document})


def _is_acknowledged(box: processes.Program, body: bytes, timeout_s: float) -> bool:
    answer = operate(box, "POST", "/v1/config/submissions", body, timeout_s)
    return answer is not None and answer.status == 200


def leader(site: fleet.Fleet) -> processes.Program | None:
    """Return the control box that says that it leads, if one does."""
    for box in site.control:
        answer = operate(box, "GET", "/v1/status", None)
        if answer is not None and orjson.loads(answer.body).get("role") == "leader":
            return box
    return None


def read_back(site: fleet.Fleet, book: records.Book, chance: random.Random) -> records.Read:
    """Read the configuration at one box after the other, until one answers."""
    accepted_version = book.accepted_version
    for box in chance.sample(site.control, fleet.CONTROL):
        answer = operate(box, "GET", "/v1/config", None)
        if answer is not None and answer.status == 200:
            version = orjson.loads(answer.body)["version"]
            return records.Read(accepted_version=accepted_version, version=version)
    return records.Read(accepted_version=accepted_version, version=None)


def operate(
    box: processes.Program, method: str, path: str, body, timeout_s: float = _OPERATOR_TIMEOUT_S
):
    """Make one call of the operator's; ``None`` if no answer came."""
    host, _, port = box.settings["operator_address"].rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body)
        return read_answer(connection.getresponse())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def close(connection: http.client.HTTPConnection | None) -> None:
    """Close a connection if there is one."""
    if connection is not None:
        connection.close()
