"""Messages between our processes as JSON, for the links that are HTTP (``docs/design/008``)."""

from __future__ import annotations

from typing import Any, TypeVar

import cattrs
import orjson
from cattrs import strategies
from cattrs.preconf import orjson as orjson_converter

from croftpulley import codes, errors
from croftpulley.core.replication import messages as replication

T = TypeVar("T")
REQUEST: Any = replication.Request
"""Any request from one replica to another."""
REPLY: Any = replication.Reply
"""Any reply of one replica to another."""


def encode(message: Any, kind: Any = None) -> bytes:
    """Encode a message; ``kind`` is the union that it belongs to, if any."""
    return orjson.dumps(_CONVERTER.unstructure(message, kind or type(message)))


def decode(body: bytes, kind: type[T]) -> T:
    """Decode a message; raises `errors.CroftpulleyError` (BAD_REQUEST)."""
    try:
        return _CONVERTER.structure(orjson.loads(body), kind)
    except (ValueError, KeyError, cattrs.BaseValidationError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST, f"got a body that holds no {kind}: {failure}"
        ) from failure


def _make_converter() -> cattrs.Converter:
    converter = orjson_converter.make_converter()
    for union in (REQUEST, REPLY):
        strategies.configure_tagged_union(union, converter, tag_name="kind")
    return converter


_CONVERTER = _make_converter()
