"""A load of many streams from one process: asyncio, one connection a request, little parsing."""

from __future__ import annotations

import asyncio
import time

import attrs

_READ_SIZE_BYTES = 65_536
_HEADER_END = b"\r\n\r\n"
_TIMEOUT_S = 60.0


@attrs.frozen
class Shot:
    """One request to send: ``first_event`` is which event carries the first text."""

    address: str
    head_and_body: bytes
    first_event: int
    end_mark: bytes


@attrs.frozen
class Sample:
    """What came of it."""

    first_text_s: float
    whole: bool
    events: int


def http_request(path: str, body: bytes, headers: dict[str, str]) -> bytes:
    """Return the bytes of a request whose connection is closed after the answer."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: bench",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + _HEADER_END + body


async def fire(shot: Shot) -> Sample:
    """Send one request and read its stream to the end."""
    try:
        return await asyncio.wait_for(_fire(shot), _TIMEOUT_S)
    except (OSError, TimeoutError):
        return Sample(float("nan"), False, 0)


async def _fire(shot: Shot) -> Sample:
    host, _, port = shot.address.rpartition(":")
    sent_at_s = time.monotonic()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(shot.head_and_body)
    first_text_s = float("nan")
    events = 0
    tail = b""
    while data := await reader.read(_READ_SIZE_BYTES):
        before = events
        events += data.count(b"data:")
        if before < shot.first_event <= events:
            first_text_s = time.monotonic() - sent_at_s
        tail = (tail + data)[-200:]
    writer.close()
    return Sample(first_text_s, shot.end_mark in tail, events)


async def at_rate(shots: list[Shot], per_s: float) -> list[Sample]:
    """Send the requests at a steady rate, whatever becomes of earlier ones."""
    began_s = time.monotonic()
    tasks = []
    for number, shot in enumerate(shots):
        await asyncio.sleep(max(0.0, began_s + number / per_s - time.monotonic()))
        tasks.append(asyncio.create_task(fire(shot)))
    return list(await asyncio.gather(*tasks))
