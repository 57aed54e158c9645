"""Stand-ins for the platform: its list of endpoints, and an operator. For tests and the demo."""

from __future__ import annotations

import time
import urllib.parse
from typing import Any

import attrs
import orjson

from croftpulley import errors
from croftpulley.core import membership
from croftpulley.endpoints import connection
from croftpulley.fakes import forwarded, stub
from croftpulley.platform import names
from croftpulley.settings import schema

DEFAULT_VERSION = "v1"
"""Of the software of endpoints of which tests say nothing else."""
_PAGE_SIZE = 2
"""Small, so that a few endpoints take several pages."""


class FakeInstances(stub.Stub):
    """Answers ``GET /instances`` page by page."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        super().__init__(address)
        self.listed: tuple[membership.Endpoint, ...] = ()
        self.extra_entries: list[bytes] = []
        """Follow what is listed, as they are: entries of other writers."""
        self.cold_ms: dict[str, float] = {}
        """How long endpoints stay cold, by their ids; the others are warm."""
        self.refused_tokens: set[str] = set()
        """Tokens of pages that are refused once each."""
        self.calls = 0
        self.fails = False
        self.retry_after = ""
        """What it asks for when it fails; nothing if this is empty."""

    async def answer(self, request: stub.StubRequest, connection: stub.StubConnection) -> None:
        """Answer one request."""
        self.calls += 1
        if self.retry_after:
            connection.extra_headers = {"Retry-After": self.retry_after}
        url = urllib.parse.urlsplit(request.path)
        if self.fails or url.path != "/instances":
            await connection.respond({}, 429 if self.fails else 404)
            return
        token = dict(urllib.parse.parse_qsl(url.query)).get("pageToken", "0")
        if token in self.refused_tokens:
            self.refused_tokens.discard(token)
            await connection.respond({}, 400)
            return
        await connection.respond_bytes(self._page(int(token)))

    def _page(self, start: int) -> bytes:
        entries = [entry(each, self.cold_ms.get(each.incarnation, 0)) for each in self.listed]
        written = [orjson.dumps(each) for each in entries] + self.extra_entries
        end = start + _PAGE_SIZE
        following = orjson.dumps(str(end) if end < len(written) else None)
        page = b",".join(written[start:end])
        return b'{"instances":[' + page + b'],"nextPageToken":' + following + b"}"


def entry(endpoint: membership.Endpoint, cold_ms: float = 0) -> dict[str, Any]:
    """Return an endpoint as the platform lists it."""
    described: dict[str, Any] = {
        "id": endpoint.incarnation,
        "service": endpoint.pool,
        "address": endpoint.address,
        "zone": endpoint.hall,
        "version": endpoint.version or DEFAULT_VERSION,
        "slots": endpoint.slots,
        "state": "draining" if endpoint.leaving else "ready",
        "coldRemainingMs": cold_ms,
    }
    if endpoint.kind is membership.EndpointKind.ENGINE:
        described["stage"] = "prefill_decode"
    if endpoint.born_ms is not None:
        described[names.BORN] = endpoint.born_ms
    return described


class FakeEngine(forwarded.ForwardedEndpoint):
    """An endpoint that also answers ``GET /kv-list`` as a model engine does."""

    def __init__(self, settings: schema.FakeSettings, incarnation: str = "") -> None:
        super().__init__(settings, names.VOCABULARY, incarnation)
        self.kept: dict[str, int] = {}
        self.extra_rows: list[Any] = []
        """Follow what is kept, as they are."""
        self.cache_reads = 0
        self.refuses_cache_reads = False
        self.born_ms: int | None = None

    async def answer(self, request: stub.StubRequest, connection: stub.StubConnection) -> None:
        """Answer one request."""
        if request.path != "/kv-list":
            await super().answer(request, connection)
            return
        self.cache_reads += 1
        held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
        document = {"epoch": "e-1", "nextPageToken": 7, "held": [*held, *self.extra_rows]}
        if self.born_ms is not None:
            document[names.BORN] = self.born_ms
        await connection.respond(document, 429 if self.refuses_cache_reads else 200)


_ROUNDS = 8
_PAUSE_S = 0.1
_REDIRECTS = 2


@attrs.frozen
class OperatorAnswer:
    """What the operator was told in the end, and how many boxes it asked."""

    status: int
    body: bytes
    asked: int
    location: str = ""

    @property
    def is_clear(self) -> bool:
        """Tell whether no other box need be asked."""
        return self.status == 200 or 400 <= self.status < 500


class Operator:
    """Submits and reads documents as the platform's operator does: any box, two redirects."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses

    def submit(self, document: dict[str, Any], first: int = 0) -> OperatorAnswer:
        """Submit a document, asking each box in turn until one gives a clear answer."""
        body = orjson.dumps(document)
        return self._ask("POST", "/Configuration.Replace", body, first)

    def read(self, first: int = 0) -> OperatorAnswer:
        """Read the newest document."""
        return self._ask("GET", "/Configuration.Read", None, first)

    def evacuate(self, hall: str, first: int = 0) -> OperatorAnswer:
        """Ask that the endpoints of a hall get nothing."""
        return self._ask("POST", f"/Evacuation.Begin/{hall}", None, first)

    def return_hall(self, hall: str, first: int = 0) -> OperatorAnswer:
        """Take that back."""
        return self._ask("POST", f"/Evacuation.Finish/{hall}", None, first)

    def _ask(self, method: str, path: str, body: bytes | None, first: int) -> OperatorAnswer:
        """Ask each box in turn, with a pause after each round, until one answers clearly."""
        asked = 0
        answer = OperatorAnswer(0, b"", 0)
        for position in range(_ROUNDS * len(self.addresses)):
            if position and position % len(self.addresses) == 0:
                time.sleep(_PAUSE_S)
            address = self.addresses[(first + position) % len(self.addresses)]
            for _ in range(1 + _REDIRECTS):
                asked += 1
                answer = self._ask_one(address, connection.HttpRequest(method, path, body), asked)
                if answer.status != 307:
                    break
                address = answer.location
            if answer.is_clear:
                break
        return answer

    @staticmethod
    def _ask_one(address: str, request: connection.HttpRequest, asked: int) -> OperatorAnswer:
        target = connection.Target(address, 1.0, 5.0)
        try:
            response, data = connection.send_and_read(target, request, connection.PEER_FAILURES)
        except errors.CroftpulleyError:
            # A box that is down: the next one is asked.
            return OperatorAnswer(0, b"", asked)
        location = urllib.parse.urlsplit(response.headers.get("Location", "")).netloc
        return OperatorAnswer(response.status, data, asked, location)
