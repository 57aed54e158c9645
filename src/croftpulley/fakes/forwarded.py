"""A stand-in for an endpoint of forwarded requests: records what it ran and answers with proof."""

from __future__ import annotations

import asyncio
import collections
import sys
import time

import attrs

from croftpulley.core import calls
from croftpulley.fakes import endless, faults, stub
from croftpulley.forwarding import vocabulary
from croftpulley.settings import schema

HEALTH_PATH = "/health"
"""By default of configurations; asked for without the id of a request it says that it is well."""
STREAM_MARK = "/stream/"
"""Paths that hold this are answered with an event stream."""
EVENTS = 5
CRASH_MARK = b"this ends you"
"""A request with this in its body ends the endpoint that begins to run it, with all it runs."""
CRASH_AFTER_HEAD_MARK = b"after the head"
"""With this as well it ends only once the head of its answer has gone out."""
CRASH_UNFRAMED_MARK = b"of no length"
"""And with this the head says no length: the answer's end is that of its connection."""
CRASH_PART = "dead"
"""A request with a part of its prompt whose name begins so ends the endpoint in the same way."""
CRASH_AFTER_S = 0.005
"""How long such a request has run by then: what came at the same moment runs beside it."""
PROOF = "a-proof"
_SPOILT = {
    faults.Fault.SPOILT_LENGTH: (
        (b"Content-Length: ", b"Content-Length: x"),
        (b"chunked", b"chunke"),
    ),
    faults.Fault.SPOILT_NAME: (
        (b"Content-Length:", b"Content-Length :"),
        (b"Transfer-Encoding:", b"Transfer-\x01Encoding:"),
    ),
    faults.Fault.NO_FIELD: (
        (b"Content-Length:", b"no field\r\nContent-Length:"),
        (b"Transfer-Encoding:", b"no field\r\nTransfer-Encoding:"),
    ),
    faults.Fault.NO_STATUS: ((b"HTTP/1.1 200", b"HTTP/1.1 000"),),
}
"""What a head holds, and what it holds instead."""
_PIECE_BYTES = 5
"""Of an answer that is sent piece by piece."""
_UNFRAMED = (
    faults.Fault.UNFRAMED,
    faults.Fault.UNFRAMED_SLOWLY,
    faults.Fault.UNFRAMED_SILENT,
)
_SILENT_MID_STREAM = (faults.Fault.SILENT_MID_STREAM, faults.Fault.UNFRAMED_SILENT)


@attrs.frozen
class Arrival:
    """A request that reached an endpoint, with the time on the steady clock."""

    request_id: str
    at_s: float
    content: bytes = b""
    """What stays the same when the request comes again: method, path and body."""
    parts: tuple[str, ...] = ()
    """The parts of its prompt, in order."""


@attrs.frozen
class Rest:
    """A rest that an endpoint asked for in its answer to a request, by the steady clock."""

    request_id: str
    at_s: float
    rest_s: float


class ForwardedEndpoint(stub.Stub):
    """Runs whatever it is sent, but for what is meant for another incarnation."""

    def __init__(
        self,
        settings: schema.FakeSettings,
        names: vocabulary.HeaderNames = vocabulary.FLEET_HEADER_NAMES,
        incarnation: str = "",
    ) -> None:
        super().__init__(settings.address)
        self.settings = settings
        self.names = names
        self.incarnation = incarnation or settings.name
        self.version = ""
        """Of its software; the events of its streams name it."""
        self.faults = faults.FaultQueue()
        self.runs: list[stub.StubRequest] = []
        self.arrivals: list[Arrival] = []
        """Every request that reached it, whether or not it ran it."""
        self.crashes: list[Arrival] = []
        """The requests under which it ended, with the times of its end."""
        self.cancelled: list[str] = []
        self.endless_bytes = 0
        """How much it has sent that never ends."""
        self.may_go_on = asyncio.Event()
        self.may_go_on.set()
        self.pause_s = 0.0
        """How long it works on a request, and before each event of a stream."""
        self.most_at_once = sys.maxsize
        """What comes while it runs so many is turned away."""
        self.running = 0
        self.rest_s = 0.0
        """What it asks for when it turns a request away; nothing if this is 0."""
        self.retry_after: tuple[str, ...] = ()
        """Values of the same header in place of that, as they are."""
        self.rests: list[Rest] = []
        """The rests that it asked for."""
        self.leaving = ""
        """What it says of leaving in all its answers; nothing if this is empty."""
        self.load = ""
        """What it tells of its load in all its answers, with ``{running}`` in it; or nothing."""
        self.brittle: int | None = None
        """How many requests it may turn away in a second, as all its answers say: beyond that it
        ends. Without it, it turns away any number."""
        self._turned_away_at_s: collections.deque[float] = collections.deque()
        self.health_checks = 0
        """Questions whether it is well; they are no arrivals of requests."""
        self.told_leaving: list[Arrival] = []
        """The requests in whose answers it said that it leaves, and when."""

    async def read_request(self, reader: asyncio.StreamReader) -> stub.StubRequest:
        """Read one request, or only its head if the answer is to come early."""
        if self.faults.take_if(faults.Fault.ANSWER_EARLY):
            head = await stub.read_head(reader)
            head.headers[_EARLY] = "1"
            return head
        return await super().read_request(reader)

    async def answer(self, request: stub.StubRequest, connection: stub.StubConnection) -> None:
        """Answer one request."""
        request_id = request.headers.get(self.names.request_id, "")
        if not request_id and request.path == HEALTH_PATH:
            self.health_checks += 1
            await self._whole(request, connection, 200, b"well")
            return
        parts = parts_of(request, self.names)
        self.arrivals.append(Arrival(request_id, time.monotonic(), content_of(request), parts))
        if request.headers.get(self.names.expected_incarnation) != self.incarnation:
            await self._decline(request, connection, 421)
            return
        if _EARLY in request.headers:
            await self._decline(request, connection, 503)
            return
        if self.running >= self.most_at_once:
            self._turn_away()
            await self._decline(request, connection, 503)
            return
        fault = self.faults.take()
        match fault:
            case faults.Fault.RESET_BEFORE_ANSWER:
                connection.reset()
            case faults.Fault.ERROR_UNRUN:
                await self._whole(request, connection, 500, b"broken")
            case faults.Fault.DECLINE:
                await self._decline(request, connection, 503)
            case faults.Fault.MISDIRECTED:
                await self._decline(request, connection, 421)
            case _:
                self.running += 1
                try:
                    await self._run_request(request, connection, fault)
                finally:
                    self.running -= 1

    async def _run_request(
        self,
        request: stub.StubRequest,
        connection: stub.StubConnection,
        fault: faults.Fault | None,
    ) -> None:
        self.runs.append(request)
        if CRASH_MARK in request.body or self._names_crash_part(request):
            await self._crash_under(request, connection)
        await asyncio.sleep(self.pause_s)
        if fault is faults.Fault.RESET_AFTER_RUN:
            connection.reset()
        elif fault is faults.Fault.SILENT:
            await self._wait_for_caller(request, connection)
        elif fault is faults.Fault.ERROR:
            await self._whole(request, connection, 500, b"broken")
        elif fault is faults.Fault.EMPTY_ERROR:
            await self._whole(request, connection, 500, b"")
        elif fault is faults.Fault.UNMARKED_503:
            await self._whole(request, connection, 503, b"broken")
        elif fault in endless.PARTS:
            await self._send_without_end(request, connection, fault)
        elif STREAM_MARK in request.path:
            await self._stream(request, connection, fault)
        else:
            await self._whole(request, connection, 200, body_of(request), fault)

    def _names_crash_part(self, request: stub.StubRequest) -> bool:
        return any(each.startswith(CRASH_PART) for each in parts_of(request, self.names))

    async def _crash_under(
        self, request: stub.StubRequest, connection: stub.StubConnection
    ) -> None:
        if CRASH_AFTER_HEAD_MARK in request.body:
            framing = b"" if CRASH_UNFRAMED_MARK in request.body else b"Content-Length: 9\r\n"
            await connection.send(self._head(request, 200, None) + framing + b"\r\n")
        await asyncio.sleep(CRASH_AFTER_S)
        request_id = request.headers.get(self.names.request_id, "")
        parts = parts_of(request, self.names)
        self.crashes.append(Arrival(request_id, time.monotonic(), content_of(request), parts))
        self.crash()

    async def _wait_for_caller(
        self, request: stub.StubRequest, connection: stub.StubConnection
    ) -> None:
        """Work until the connection ends, as a worker does that notices it."""
        await connection.reader.read()
        self.cancelled.append(request.headers[self.names.request_id])

    def _turn_away(self) -> None:
        """Count a request turned away for want of room; it may be one too many."""
        now_s = time.monotonic()
        turned_away = self._turned_away_at_s
        turned_away.append(now_s)
        while turned_away[0] <= now_s - 1.0:
            turned_away.popleft()
        if self.brittle is not None and len(turned_away) > self.brittle:
            self.crash()

    async def _decline(
        self, request: stub.StubRequest, connection: stub.StubConnection, status: int
    ) -> None:
        extra = "" if status == 421 else f"{self.names.not_run}: 1\r\n"
        if status == 503:
            extra += self._asked_rest(request)
        await connection.send(
            self._head(request, status, faults.Fault.NO_PROOF)
            + extra.encode()
            + b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        )

    def _asked_rest(self, request: stub.StubRequest) -> str:
        values = self.retry_after
        if self.rest_s:
            request_id = request.headers.get(self.names.request_id, "")
            self.rests.append(Rest(request_id, time.monotonic(), self.rest_s))
            values = values or (f"{self.rest_s:g}",)
        return "".join(f"Retry-After: {value}\r\n" for value in values)

    def _head(self, request: stub.StubRequest, status: int, fault: faults.Fault | None) -> bytes:
        request_id = request.headers.get(self.names.request_id, "")
        if fault is faults.Fault.WRONG_ID:
            request_id = "another"
        lines = [f"HTTP/1.1 {status} Fake", f"{self.names.request_id}: {request_id}"]
        if fault is not faults.Fault.NO_PROOF:
            lines.append(f"{self.names.proof}: {PROOF}")
        if self.brittle is not None:
            lines.append(f"{self.names.brittle}: {self.brittle}")
        if self.load:
            lines.append(f"{self.names.load}: {self.load.format(running=self.running)}")
        if self.leaving:
            lines.append(f"{self.names.leaving}: {self.leaving}")
            self.told_leaving.append(Arrival(request_id, time.monotonic()))
        return ("\r\n".join(lines) + "\r\n").encode()

    async def _whole(
        self,
        request: stub.StubRequest,
        connection: stub.StubConnection,
        status: int,
        body: bytes,
        fault: faults.Fault | None = None,
    ) -> None:
        length = b"" if fault in _UNFRAMED else b"Content-Length: %d\r\n" % len(body)
        sent = body[:-3] if fault is faults.Fault.WRONG_LENGTH else body
        if fault is faults.Fault.SURPLUS:
            sent += b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        head = self._head(request, status, fault) + length + b"Connection: close\r\n\r\n"
        head = _spoil(head, fault)
        if fault is faults.Fault.UNFRAMED_SLOWLY:
            await connection.send(head)
            await self._send_slowly(connection, sent)
            return
        if fault is faults.Fault.UNFRAMED_SILENT:
            await connection.send(head + sent[:_PIECE_BYTES])
            await self._wait_for_caller(request, connection)
            return
        await connection.send(head + sent)

    async def _send_without_end(
        self,
        request: stub.StubRequest,
        connection: stub.StubConnection,
        fault: faults.Fault,
    ) -> None:
        """Send bytes that are no answer until the caller closes, which ends this."""
        part = endless.PARTS[fault]
        head = self._head(request, 200, None) if part.has_head else b""
        await connection.send(head + part.framing)
        block = part.block(is_slow=bool(self.pause_s))
        while True:
            await asyncio.sleep(self.pause_s)
            await connection.send(block)
            self.endless_bytes += len(block)

    async def _send_slowly(self, connection: stub.StubConnection, body: bytes) -> None:
        for start in range(0, len(body), _PIECE_BYTES):
            await asyncio.sleep(self.pause_s)
            await connection.send(body[start : start + _PIECE_BYTES])

    async def _stream(
        self,
        request: stub.StubRequest,
        connection: stub.StubConnection,
        fault: faults.Fault | None,
    ) -> None:
        head = self._head(request, 200, fault)
        is_framed = fault not in _UNFRAMED
        framing = b"Transfer-Encoding: chunked\r\n" if is_framed else b"Connection: close\r\n"
        head += b"Content-Type: text/event-stream\r\n" + framing + b"\r\n"
        await connection.send(_spoil(head, fault))
        first = int(request.headers.get(self.names.last_event_id, "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.pause_s)
            await self.may_go_on.wait()
            event = event_of(request, number, self.version)
            if number == first + 1 and fault is faults.Fault.HALF_EVENT:
                await connection.send(_chunk(event[:5]))
                return
            if number == first + 1 and fault is faults.Fault.RESET_MID_STREAM:
                connection.reset()
                return
            if number == first + 1 and fault in _SILENT_MID_STREAM:
                await self._wait_for_caller(request, connection)
                return
            await connection.send(_chunk(event) if is_framed else event)
        if is_framed:
            await connection.send(b"0\r\n\r\n")


def _spoil(head: bytes, fault: faults.Fault | None) -> bytes:
    for sound, spoilt in _SPOILT.get(fault, ()) if fault else ():
        head = head.replace(sound, spoilt)
    return head


def parts_of(request: stub.StubRequest, names: vocabulary.HeaderNames) -> tuple[str, ...]:
    """Return the parts that a request names of its prompt."""
    prompt = calls.parse_prompt(request.headers.get(names.prompt_parts, ""))
    return tuple(each.part_id for each in prompt)


def content_of(request: stub.StubRequest) -> bytes:
    """Return what stays the same when a request comes again under another id."""
    return b" ".join((request.method.encode(), request.path.encode(), request.body))


def body_of(request: stub.StubRequest) -> bytes:
    """Return the answer to a request that is no stream."""
    return b"ran " + request.method.encode() + b" " + request.path.encode() + b" " + request.body


def event_of(request: stub.StubRequest, number: int, version: str = "") -> bytes:
    """Return one event; it depends on the request, its number and the version that wrote it."""
    written_by = f" {version}" if version else ""
    return f"id: {number}\ndata: {request.path} {number}{written_by}\n\n".encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


_EARLY = ":early"
"""Marks a request whose body was not read; no header can have this name."""
