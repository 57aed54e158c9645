"""Encoding of dispatch orders and their events between boxes: JSON over HTTP.

The events are those of an engine's stream, plus three: ``{"accepted": true}``,
``{"refused": {"code": 31, "load": 5}}`` and ``{"broken": {"code": 51, "phase": 3}}``.
Why not gRPC: see ``docs/design/003-hop-between-boxes.md``.
"""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
import orjson

from croftpulley import codes, errors
from croftpulley.core import assembly, attempts
from croftpulley.endpoints import event_stream
from croftpulley.transport import messages

PATH = "/v1/dispatch"
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_CONVERTER.register_structure_hook(bytes, lambda value, _: value.encode())
_CONVERTER.register_unstructure_hook(bytes, bytes.decode)


def encode_order(order: messages.DispatchOrder) -> bytes:
    """Encode an order as JSON."""
    return orjson.dumps(_CONVERTER.unstructure(order))


def decode_order(body: bytes) -> messages.DispatchOrder:
    """Decode an order; raises `errors.CroftpulleyError` (BAD_REQUEST)."""
    try:
        return _CONVERTER.structure(orjson.loads(body), messages.DispatchOrder)
    except (ValueError, cattrs.BaseValidationError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST, f"malformed dispatch order: {failure}"
        ) from failure


def encode_event(event: messages.DispatchEvent) -> bytes:
    """Encode an event as a server-sent event."""
    return event_stream.encode_event(_document(event))


def _document(event: messages.DispatchEvent) -> dict[str, Any]:
    match event:
        case assembly.Chunk(offset_chars, text):
            return {"offset": offset_chars, "text": text}
        case messages.Accepted():
            return {"accepted": True}
        case messages.Refused(code, load):
            return {"refused": {"code": code.value, "load": load}}
        case messages.AttemptFailed(code, phase):
            return {"broken": {"code": code.value, "phase": phase.value}}
        case messages.Finished():
            return {"end": attrs.asdict(event)}


def parse_event(fields: dict[str, Any]) -> messages.DispatchEvent:
    """Parse an event; raises `ValueError`, `KeyError` or `TypeError`."""
    if "accepted" in fields:
        return messages.Accepted()
    if "refused" in fields:
        refused = fields["refused"]
        return messages.Refused(codes.ResultCode(refused["code"]), refused["load"])
    if "broken" in fields:
        broken = fields["broken"]
        return messages.AttemptFailed(
            codes.ResultCode(broken["code"]), attempts.Phase(broken["phase"])
        )
    return event_stream.parse_stream_event(fields)
