"""The events of a fake engine's answer, in order or as a faulty network would deliver them."""

from __future__ import annotations

import itertools

import orjson

from croftpulley.endpoints import event_stream
from croftpulley.fakes import faults


def text_events(words: list[str], resume_offset_chars: int) -> list[bytes]:
    """Return the text events from the offset on."""
    events = []
    offset_chars = 0
    for word in words:
        end_chars = offset_chars + len(word)
        if end_chars > resume_offset_chars:
            start = max(offset_chars, resume_offset_chars)
            text = word[start - offset_chars :]
            events.append(event_stream.encode_event({"offset": start, "text": text}))
        offset_chars = end_chars
    return events


def disturbed(events: list[bytes], fault: faults.Fault | None) -> list[bytes]:
    """Return the events as a faulty network would deliver them."""
    match fault:
        case faults.Fault.DUPLICATED:
            return [event for event in events for _ in range(2)]
        case faults.Fault.REORDERED:
            pairs = [events[start : start + 2] for start in range(0, len(events), 2)]
            return [event for pair in pairs for event in reversed(pair)]
        case faults.Fault.OVERLAPPING:
            return [events[0], *(_joined(pair) for pair in itertools.pairwise(events))]
    return events


def _joined(pair: tuple[bytes, bytes]) -> bytes:
    first, second = (orjson.loads(event.removeprefix(b"data: ")) for event in pair)
    return event_stream.encode_event(
        {"offset": first["offset"], "text": first["text"] + second["text"]}
    )
