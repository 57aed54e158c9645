"""A load of many streams from one process: asyncio, one connection a request, little parsing."""

from __future__ import annotations

import asyncio
import time

import attrs

_HEADER_END = b"\r\n\r\n"
_TIMEOUT_S = 60.0
_TAIL_BYTES = 200


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
    tail: bytes


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


class _Exchange(asyncio.Protocol):
    """Sends one request and counts what comes back; cheaper than asyncio's stream reader."""

    def __init__(self, shot: Shot, done: asyncio.Future[Sample]) -> None:
        self._shot = shot
        self._done = done
        self._sent_at_s = time.monotonic()
        self._first_text_s = float("nan")
        self._events = 0
        self._tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        if isinstance(transport, asyncio.WriteTransport):
            transport.write(self._shot.head_and_body)

    def data_received(self, data: bytes) -> None:
        """Count the events that came."""
        before = self._events
        self._events += data.count(b"data:")
        if before < self._shot.first_event <= self._events:
            self._first_text_s = time.monotonic() - self._sent_at_s
        self._tail = data if len(data) > _TAIL_BYTES else (self._tail + data)[-_TAIL_BYTES:]

    def connection_lost(self, exc: Exception | None) -> None:
        """Give the sample."""
        if not self._done.done():
            whole = self._shot.end_mark in self._tail
            self._done.set_result(Sample(self._first_text_s, whole, self._events, self._tail))


async def fire(shot: Shot) -> Sample:
    """Send one request and read its stream to the end."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[Sample] = loop.create_future()
    host, _, port = shot.address.rpartition(":")
    try:
        await loop.create_connection(lambda: _Exchange(shot, done), host, int(port))
        return await asyncio.wait_for(done, _TIMEOUT_S)
    except (OSError, TimeoutError) as failure:
        return Sample(float("nan"), False, 0, repr(failure).encode())


async def at_rate(shots: list[Shot], per_s: float) -> list[Sample]:
    """Send the requests at a steady rate, whatever becomes of earlier ones."""
    began_s = time.monotonic()
    tasks = []
    for number, shot in enumerate(shots):
        await asyncio.sleep(max(0.0, began_s + number / per_s - time.monotonic()))
        tasks.append(asyncio.create_task(fire(shot)))
    return list(await asyncio.gather(*tasks))
