"""What the path costs: first-token latency, processor time a chunk, and memory by streams.

Three ways in one run: caller to engine without the fleet, through the box that owns the engine
(direct), and through another box (forwarded, one hop more).
"""

from __future__ import annotations

import asyncio
import math
import time
from typing import Any

import attrs
import orjson

from croftpulley import codes, errors
from croftpulley.bench import fleet_files, load, scrape, table

_LATENCY_RATE_PER_S = 35.0
_LATENCY_SHOTS = 350
_LATENCY_TOKENS = 10
_LATENCY_INTERVAL_MS = 50.0
_STREAM_COUNTS = (50, 200, 500)
_CHUNKS_PER_S = 2500
"""In all, so that figures at different counts differ by the count alone."""
_RAMP_S = 5.0
_STREAM_S = 15.0
_STEADY_S = 5.0
_RSS = "process_resident_memory_bytes"
_CPU = "process_cpu_seconds_total"
_CHUNKS = "croftpulley_relayed_chunks_total"
_WAYS = ("engine", "direct", "forwarded")


@attrs.frozen
class _Target:
    """The chats whose engine one box owns, and how to send their requests."""

    fleet: fleet_files.Fleet
    chats: tuple[str, ...]
    foreign_chats: tuple[str, ...]

    def shots(self, way: str, count: int, chat_body: bytes) -> list[load.Shot]:
        """Return ``count`` requests that go the given way."""
        makers = {"engine": self._engine, "direct": self._direct, "forwarded": self._forwarded}
        return [makers[way](number, chat_body) for number in range(count)]

    def _engine(self, number: int, chat_body: bytes) -> load.Shot:
        body = {
            "request_id": f"bench-{number}",
            "attempt": 1,
            "chat_key": f"bench-{number}",
            "priority": 0,
            "resume_offset_chars": 0,
            "request": orjson.Fragment(chat_body),
        }
        engine = self.fleet.engines[number % len(self.fleet.engines)]
        data = load.http_request("/v1/generate", orjson.dumps(body), {})
        return load.Shot(engine.address, data, 1, b'"end"')

    def _direct(self, number: int, chat_body: bytes) -> load.Shot:
        return self._chat(self.chats[number % len(self.chats)], chat_body)

    def _forwarded(self, number: int, chat_body: bytes) -> load.Shot:
        return self._chat(self.foreign_chats[number % len(self.foreign_chats)], chat_body)

    def _chat(self, chat: str, chat_body: bytes) -> load.Shot:
        headers = {"X-Workspace": "bench", "X-Chat": chat}
        data = load.http_request("/v1/chat/completions", chat_body, headers)
        # The first event has only the role.
        return load.Shot(self.fleet.entries[0].caller_address, data, 2, b"[DONE]")


def _chat_body(tokens: int, interval_ms: float) -> bytes:
    return orjson.dumps(
        {
            "model": "almanac",
            "messages": [{"role": "user", "content": "what shall I sow this season"}],
            "max_tokens": tokens,
            "stream": True,
            "metadata": {"token_interval_ms": interval_ms},
        }
    )


def latency(folder: str) -> list[table.Row]:
    """Measure first tokens against the fleet that was started from ``folder``."""
    target = _target(fleet_files.read(folder))
    rows = []
    for way in _WAYS:
        rows += _latency(target, way)
    return rows + _added(rows)


def streams(
    folder: str, ways: tuple[str, ...] = _WAYS[1:], counts: tuple[int, ...] = _STREAM_COUNTS
) -> list[table.Row]:
    """Measure memory and processor time with many streams open, each way."""
    target = _target(fleet_files.read(folder))
    rows = []
    for way in ways:
        for count in counts:
            rows += _streams(target, way, count)
    return rows


def _target(fleet: fleet_files.Fleet) -> _Target:
    """Sort chats by the box that owns their engine, as the ask tells it."""
    mine: list[str] = []
    foreign: list[str] = []
    for number in range(400):
        chat = f"chat-{number}"
        path = f"/v1/entry?workspace=bench&chat={chat}"
        named = scrape.get_json(fleet.entries[0].caller_address, path)["entries"]
        own = named[0]["address"] == fleet.entries[0].caller_address
        (mine if own else foreign).append(chat)
    if not mine or not foreign:
        raise errors.CroftpulleyError(
            codes.ResultCode.CHECK_FAILED, "the bench needs engines owned by both boxes"
        )
    return _Target(fleet, tuple(mine), tuple(foreign))


def _latency(target: _Target, way: str) -> list[table.Row]:
    shots = target.shots(way, _LATENCY_SHOTS, _chat_body(_LATENCY_TOKENS, _LATENCY_INTERVAL_MS))
    operator = target.fleet.entries[0].operator_address
    before = scrape.metrics(operator)
    samples = asyncio.run(load.at_rate(shots, _LATENCY_RATE_PER_S))
    cpu_s = _change(before, scrape.metrics(operator), _CPU)
    first = sorted(sample.first_text_s for sample in samples if not math.isnan(sample.first_text_s))
    rows = [
        table.Row(f"{way}_first_token_p50_ms", _ms(table.percentile(first, 0.5))),
        table.Row(f"{way}_first_token_p99_ms", _ms(table.percentile(first, 0.99))),
        table.Row(f"{way}_not_whole", sum(not sample.whole for sample in samples)),
    ]
    if way != "engine":
        # Each request has _LATENCY_TOKENS chunks; the box's idle work is in the figure too.
        rows.append(table.Row(f"{way}_requests_per_core_s", round(len(shots) / cpu_s)))
    return rows


def _added(rows: list[table.Row]) -> list[table.Row]:
    """Return by how much each way through the fleet is later than without it."""
    figures = {row.key: row.value for row in rows}
    added = []
    for way in _WAYS[1:]:
        for share in ("p50", "p99"):
            without = figures[f"engine_first_token_{share}_ms"]
            figure = round(figures[f"{way}_first_token_{share}_ms"] - without, 2)
            added.append(table.Row(f"{way}_added_{share}_ms", figure))
    return added


def _streams(target: _Target, way: str, count: int) -> list[table.Row]:
    """Hold ``count`` streams open at the first box and read its processor time and memory."""
    samples, before, after = asyncio.run(_hold(target, way, count))
    cpu_s = _change(before, after, _CPU)
    chunks = _change(before, after, _CHUNKS)
    first = sorted(sample.first_text_s for sample in samples if not math.isnan(sample.first_text_s))
    key = f"{way}_{count}"
    return [
        table.Row(f"{key}_resident_mb", round(scrape.total(after, _RSS) / 1e6, 1)),
        table.Row(f"{key}_chunks_per_s", round(chunks / _STEADY_S)),
        table.Row(f"{key}_cores", round(cpu_s / _STEADY_S, 3)),
        table.Row(f"{key}_chunks_per_core_s", round(chunks / cpu_s)),
        table.Row(f"{key}_first_token_p99_ms", _ms(table.percentile(first, 0.99))),
        table.Row(f"{key}_not_whole", sum(not sample.whole for sample in samples)),
    ]


async def _hold(
    target: _Target, way: str, count: int
) -> tuple[list[load.Sample], list[Any], list[Any]]:
    """Run the streams and read the first box's metrics at both ends of a steady time."""
    operator = target.fleet.entries[0].operator_address
    interval_s = count / _CHUNKS_PER_S
    body = _chat_body(round(_STREAM_S / interval_s), interval_s * 1000)
    shots = target.shots(way, count, body)
    running = asyncio.create_task(load.at_rate(shots, count / _RAMP_S))
    await asyncio.sleep(_RAMP_S + 0.5)
    before = await asyncio.to_thread(scrape.metrics, operator)
    began_s = time.monotonic()
    await asyncio.sleep(_STEADY_S)
    after = await asyncio.to_thread(scrape.metrics, operator)
    if time.monotonic() - began_s > 2 * _STEADY_S:
        raise errors.CroftpulleyError(
            codes.ResultCode.CHECK_FAILED, "the load tool itself was too slow to measure"
        )
    return await running, before, after


def _change(before: list[Any], after: list[Any], name: str) -> float:
    return scrape.total(after, name) - scrape.total(before, name)


def _ms(seconds_s: float) -> float:
    return round(seconds_s * 1000, 2)
