"""A stand-in for a model engine: prefix cache, load report, cancel, resume, and faults."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import threading
import time
from typing import Any

import attrs

from croftpulley.endpoints import event_stream
from croftpulley.fakes import answers, engine_events, faults, stub
from croftpulley.settings import schema

_SLOW_HEADER_STEP_S = 0.2
_SILENCE_S = 3600.0
_SHORT_PAUSE_S = 0.1


@attrs.define
class EngineRecord:
    """What the engine did about one attempt; ``outcome`` is running until it ends."""

    request_id: str
    attempt: int
    chat_key: str
    priority: int
    resume_offset_chars: int
    outcome: str = "running"


class _BrokenOff(Exception):
    """The fault at hand ends the answer."""


class FakeEngine(stub.Stub):
    """Answers as `endpoints.http_engine` describes."""

    def __init__(self, settings: schema.FakeSettings) -> None:
        super().__init__(settings.address)
        self.settings = settings
        self._lock = threading.Lock()
        self._records: list[EngineRecord] = []
        self._cancelled: dict[tuple[str, int], asyncio.Event] = {}
        self._cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._running = 0
        self.most_running = 0
        self._load_integral_s = 0.0
        self._changed_at_s = time.monotonic()
        self.faults = faults.FaultQueue()
        self.orders = 0
        """How often it was asked to generate, whether or not it ran that."""
        self.turns_away = False
        """Every order is turned away."""
        self.said: dict[str, str] = {}
        """Headers of all its answers to orders, by which it speaks of itself."""

    def records(self) -> list[EngineRecord]:
        """Return what the engine did, oldest first."""
        with self._lock:
            return [attrs.evolve(record) for record in self._records]

    async def answer(self, request: stub.StubRequest, connection: stub.StubConnection) -> None:
        """Answer one request."""
        match request.method, request.path:
            case "POST", "/v1/generate":
                await self._generate(request.json(), connection)
            case "POST", "/v1/cancel":
                await self._cancel(request.json(), connection)
            case "GET", "/v1/load":
                load = {"running": self._running, "slots": self.settings.slots}
                await connection.respond(load)
            case "GET", "/admin/record":
                await connection.respond(self._summary())
            case "POST", "/admin/faults":
                wanted = [faults.Fault(name) for name in request.json()["faults"]]
                self.faults.add(*wanted)
                await connection.respond({"queued": len(wanted)})
            case _:
                await connection.respond({"error": "not found"}, 404)

    def _summary(self) -> dict[str, Any]:
        return {
            "name": self.settings.name,
            "most_running": self.most_running,
            "running": self._running,
            "load_integral_s": self._load_integral_s,
            "records": [attrs.asdict(record) for record in self.records()],
        }

    async def _cancel(self, body: Any, connection: stub.StubConnection) -> None:
        cancelled = self._cancelled.get((body["request_id"], body["attempt"]))
        if cancelled is not None:
            cancelled.set()
        await connection.respond({"cancelled": cancelled is not None})

    async def _generate(self, body: Any, connection: stub.StubConnection) -> None:
        self.orders += 1
        connection.extra_headers = self.said
        fault = self.faults.take()
        if self.turns_away or fault is faults.Fault.REFUSE:
            await connection.respond({"error": "refused"}, 503)
            return
        record = EngineRecord(
            body["request_id"],
            body["attempt"],
            body["chat_key"],
            body["priority"],
            body["resume_offset_chars"],
        )
        key = (record.request_id, record.attempt)
        self._cancelled[key] = asyncio.Event()
        self._enter(record)
        try:
            await self._respond(body, connection, fault, self._cancelled[key])
            record.outcome = "finished"
        except _BrokenOff:
            record.outcome = "broken"
        except (ConnectionError, asyncio.CancelledError):
            record.outcome = "cancelled"
        finally:
            del self._cancelled[key]
            self._count(-1)

    def _enter(self, record: EngineRecord) -> None:
        with self._lock:
            self._records.append(record)
        self._count(+1)
        self.most_running = max(self.most_running, self._running)

    def _count(self, change: int) -> None:
        """Change how many run, adding up load over time for a mean load."""
        now_s = time.monotonic()
        self._load_integral_s += self._running * (now_s - self._changed_at_s)
        self._changed_at_s = now_s
        self._running += change

    async def _respond(
        self,
        body: Any,
        connection: stub.StubConnection,
        fault: faults.Fault | None,
        cancelled: asyncio.Event,
    ) -> None:
        await self._before_answer(connection, fault, cancelled)
        request = body["request"]
        prompt = answers.prompt_tokens(request)
        cached = min(prompt, self._cached(body["chat_key"]))
        await _pause((prompt - cached) * self.settings.prefill_us_per_token / 1e6, cancelled)
        words = answers.tokens(request, self.settings.answer_tokens)
        events = engine_events.text_events(words, body["resume_offset_chars"])
        interval_s = _interval_ms(request, self.settings.token_interval_ms) / 1000
        events = engine_events.disturbed(events, fault)
        await self._send_events(events, interval_s, connection, fault, cancelled)
        total_chars = sum(map(len, words))
        if fault is faults.Fault.WRONG_TOTAL:
            total_chars += 1
        end = {
            "finish_reason": "stop",
            "total_chars": total_chars,
            "prompt_tokens": prompt,
            "cached_tokens": cached,
            "completion_tokens": len(words),
        }
        await connection.send(event_stream.encode_event({"end": end}))
        self._keep(body["chat_key"], prompt + len(words))

    async def _before_answer(
        self,
        connection: stub.StubConnection,
        fault: faults.Fault | None,
        cancelled: asyncio.Event,
    ) -> None:
        if fault is faults.Fault.RESET_BEFORE_ANSWER:
            connection.reset()
            raise _BrokenOff
        if fault is faults.Fault.SILENT:
            await _pause(_SILENCE_S, cancelled)
        if fault is faults.Fault.SLOW_HEADERS:
            for byte in b"HTTP/1.1 200 Fake\r\nX-Slow: yes\r\n":
                await connection.send(bytes([byte]))
                await _pause(_SLOW_HEADER_STEP_S, cancelled)
        await connection.begin_events()

    async def _send_events(
        self,
        events: list[bytes],
        interval_s: float,
        connection: stub.StubConnection,
        fault: faults.Fault | None,
        cancelled: asyncio.Event,
    ) -> None:
        for position, event in enumerate(events):
            if position == len(events) // 2:
                await _disturb(connection, fault, event, cancelled)
            await connection.send(event)
            await _pause(interval_s, cancelled)

    def _cached(self, chat_key: str) -> int:
        if chat_key not in self._cache:
            return 0
        self._cache.move_to_end(chat_key)
        return self._cache[chat_key]

    def _keep(self, chat_key: str, token_count: int) -> None:
        self._cache[chat_key] = token_count
        self._cache.move_to_end(chat_key)
        while len(self._cache) > self.settings.cached_chats:
            self._cache.popitem(last=False)


def _interval_ms(request: Any, default_ms: float) -> float:
    """Return the time between tokens, which a request may ask for in its metadata."""
    metadata = request.get("metadata") or {}
    return float(metadata.get("token_interval_ms", default_ms))


async def _pause(seconds_s: float, cancelled: asyncio.Event) -> None:
    """Wait, unless the attempt is cancelled meanwhile."""
    if seconds_s > _SHORT_PAUSE_S:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(cancelled.wait(), seconds_s)
    elif seconds_s > 0:
        # Cheaper by far than a wait with a time limit, and soon over.
        await asyncio.sleep(seconds_s)
    if cancelled.is_set():
        raise asyncio.CancelledError


async def _disturb(
    connection: stub.StubConnection,
    fault: faults.Fault | None,
    event: bytes,
    cancelled: asyncio.Event,
) -> None:
    """Do what the fault does in the middle of the answer."""
    match fault:
        case faults.Fault.DIE_MID_STREAM:
            raise _BrokenOff
        case faults.Fault.RESET_MID_STREAM:
            connection.reset()
            raise _BrokenOff
        case faults.Fault.HALF_EVENT:
            await connection.send(event[: len(event) // 2])
            raise _BrokenOff
        case faults.Fault.NOT_JSON:
            await connection.send(b"data: {nonsense\n\n")
            raise _BrokenOff
        case faults.Fault.SILENT_MID_STREAM:
            await _pause(_SILENCE_S, cancelled)
