"""Measures what it costs a router to remember, tell and ask where streams began."""

from __future__ import annotations

import functools
import time
import tracemalloc
from collections.abc import Callable

from croftpulley.bench import table
from croftpulley.core import membership, origins, peers
from croftpulley.transport import box_messages, json_codec

FLEETS = (12, 200, 790)
STREAMS = 20_000
_MESSAGE_SIZES = (1, 64)
_KEPT_S = 70.0
_ORIGIN = origins.Origin("pool-0001", "v1.12")


def _told(number: int) -> origins.OriginAnnouncement:
    stream = origins.StreamId("workspace-0001", f"{number:016x}")
    return origins.OriginAnnouncement(stream, _ORIGIN, _KEPT_S)


def measure() -> list[table.Row]:
    """Return the figures."""
    return [*_memory(), *_messages(), *_keepers()]


def _memory() -> list[table.Row]:
    streams = [_told(number) for number in range(STREAMS)]
    kept = origins.OriginTable()
    tracemalloc.start()
    for each in streams:
        kept.remember(each, 0.0)
    record_bytes = tracemalloc.get_traced_memory()[0] / STREAMS
    tracemalloc.stop()
    timed = origins.OriginTable()
    note_us = _each_us(STREAMS, lambda n: timed.remember(streams[n], 0.0))
    find_us = _each_us(STREAMS, lambda n: timed.find(streams[n].stream, 1.0))
    # Beside the record the stream's id and its strings are kept, which were made before.
    return [
        table.Row("remembered_stream_bytes", round(record_bytes + _told_bytes())),
        table.Row("note_us", note_us),
        table.Row("find_us", find_us),
    ]


def _told_bytes() -> float:
    tracemalloc.start()
    made = [_told(number) for number in range(STREAMS)]
    size_bytes = tracemalloc.get_traced_memory()[0] / len(made)
    tracemalloc.stop()
    return size_bytes


def _messages() -> list[table.Row]:
    rows = []
    for size in _MESSAGE_SIZES:
        message = box_messages.OriginAnnouncements(
            streams=tuple(_told(number) for number in range(size))
        )
        body = json_codec.encode(message)
        rows += [
            table.Row(f"told_{size}_bytes", len(body)),
            table.Row(f"told_{size}_encode_us", _each_us(500, functools.partial(_encode, message))),
            table.Row(f"told_{size}_decode_us", _each_us(500, functools.partial(_decode, body))),
        ]
    return rows


def _encode(message: box_messages.OriginAnnouncements, _number: int) -> bytes:
    return json_codec.encode(message)


def _decode(body: bytes, _number: int) -> box_messages.OriginAnnouncements:
    return json_codec.decode(body, box_messages.OriginAnnouncements)


def _keepers() -> list[table.Row]:
    rows = []
    for size in FLEETS:
        boxes = tuple(membership.Box(f"box-{n}", "hall-a", "", f"box-{n}:1") for n in range(size))
        keepers = peers.OriginHolders("box-0")
        look_up = functools.partial(_look_up, keepers, boxes)
        first_us = _each_us(1, look_up)
        again_us = _each_us(500, look_up)
        rows += [
            table.Row(f"keepers_{size}_boxes_first_us", first_us),
            table.Row(f"keepers_{size}_boxes_again_us", again_us),
        ]
    return rows


def _look_up(
    keepers: peers.OriginHolders, boxes: tuple[membership.Box, ...], _number: int
) -> tuple[membership.Box, ...]:
    return keepers.for_stream(_told(0).stream, boxes)


def _each_us(count: int, step: Callable[[int], object]) -> float:
    """Return the processor time of a step, the mean of so many."""
    began_s = time.process_time()
    for number in range(count):
        step(number)
    return round((time.process_time() - began_s) / count * 1e6, 1)
