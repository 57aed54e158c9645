"""Chat answers in the chat-completions format, streamed as server-sent events or whole."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import attrs
import orjson

from croftpulley import errors
from croftpulley.filters import base
from croftpulley.http import wsgi

_DONE = b"data: [DONE]\n\n"


@attrs.frozen
class Shape:
    """What every message of one answer repeats."""

    answer_id: str
    created_s: int
    model: str
    include_usage: bool


def whole(parts: Iterator[base.TextPart | base.EndPart], shape: Shape) -> bytes:
    """Read the answer to its end and return its body; raises what the parts raise."""
    texts: list[str] = []
    for part in parts:
        if isinstance(part, base.EndPart):
            return _whole_body("".join(texts), part, shape)
        texts.append(part.text)
    raise RuntimeError("an answer ended without an end part")


def stream(
    parts: Iterator[base.TextPart | base.EndPart], shape: Shape, exchange: base.Exchange
) -> Iterator[bytes]:
    """Yield the answer's events; an error on the way is the last event and no ``[DONE]`` follows.

    Each event's id is the offset in characters after it, so that a caller knows what it has.
    """
    offset_chars = 0
    before, after = _text_frame(shape)
    yield _event(0, _chunk(shape, {"role": "assistant", "content": ""}, None))
    try:
        for part in parts:
            if isinstance(part, base.TextPart):
                offset_chars += len(part.text)
                content = orjson.dumps(part.text)
                yield b"id: %d\ndata: %b%b%b\n\n" % (offset_chars, before, content, after)
                continue
            yield _event(offset_chars, _chunk(shape, {}, part.finish_reason))
            if shape.include_usage:
                yield _event(offset_chars, _usage_chunk(shape, part))
    except errors.CroftpulleyError as failure:
        failure.run_state = max(failure.run_state, exchange.attempts.run_state)
        yield _event(offset_chars, wsgi.error_document(failure))
        return
    yield _DONE


def _event(offset_chars: int, document: dict[str, Any]) -> bytes:
    return b"id: %d\ndata: %b\n\n" % (offset_chars, orjson.dumps(document))


def _text_frame(shape: Shape) -> tuple[bytes, bytes]:
    """Return what stands before and after the text in a text event.

    All else in the event is the same for the whole answer, and encoding it once an answer instead
    of once an event is a large part of what relaying an event costs.
    """
    mark = "\x00"
    document = orjson.dumps(_chunk(shape, {"content": mark}, None))
    before, _, after = document.rpartition(orjson.dumps(mark))
    return before, after


def _chunk(shape: Shape, delta: dict[str, str], finish_reason: str | None) -> dict[str, Any]:
    return {
        "id": shape.answer_id,
        "object": "chat.completion.chunk",
        "created": shape.created_s,
        "model": shape.model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


def _usage_chunk(shape: Shape, end: base.EndPart) -> dict[str, Any]:
    return {**_chunk(shape, {}, None), "choices": [], "usage": _usage(end)}


def _usage(end: base.EndPart) -> dict[str, Any]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def _whole_body(text: str, end: base.EndPart, shape: Shape) -> bytes:
    message = {"role": "assistant", "content": text}
    return orjson.dumps(
        {
            "id": shape.answer_id,
            "object": "chat.completion",
            "created": shape.created_s,
            "model": shape.model,
            "choices": [{"index": 0, "message": message, "finish_reason": end.finish_reason}],
            "usage": _usage(end),
        }
    )
