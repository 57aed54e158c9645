"""Reads a server-sent event stream as it arrives, in batches of complete events."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import orjson

from croftpulley.core import assembly
from croftpulley.endpoints import connection
from croftpulley.transport import messages

T = TypeVar("T")
_READ_SIZE_BYTES = 65_536
_EVENT_LIMIT_BYTES = 1_048_576
_DATA_PREFIX = b"data:"
_EVENT_END = b"\n\n"


class EventReader(Generic[T]):
    """Reads events from an exchange whose response has begun."""

    def __init__(self, exchange: connection.Exchange, parse: Callable[[dict[str, Any]], T]) -> None:
        self._exchange = exchange
        self._parse = parse
        self._incomplete = b""

    def batches(self) -> Iterator[tuple[T, ...]]:
        """Yield the complete events of each read, until the stream ends.

        Raises `errors.CroftpulleyError` when the connection breaks or an event is malformed.
        """
        while data := self._exchange.read(_READ_SIZE_BYTES):
            *events, self._incomplete = (self._incomplete + data).split(_EVENT_END)
            if len(self._incomplete) > _EVENT_LIMIT_BYTES:
                raise self._exchange.error_for(ValueError("an event is larger than the limit"))
            if events:
                yield tuple(self._decode(event) for event in events)

    def _decode(self, event: bytes) -> T:
        try:
            return self._parse(orjson.loads(event.removeprefix(_DATA_PREFIX)))
        except (ValueError, KeyError, TypeError) as failure:
            raise self._exchange.error_for(ValueError(f"malformed event: {failure}")) from failure


def encode_event(document: Any) -> bytes:
    """Encode a document as one server-sent event."""
    return b"data: %b\n\n" % orjson.dumps(document)


def parse_stream_event(fields: dict[str, Any]) -> messages.StreamEvent:
    """Parse a text or end event; raises `ValueError`, `KeyError` or `TypeError`."""
    if "text" in fields:
        return assembly.Chunk(parse_count(fields["offset"]), parse_text(fields["text"]))
    end = fields["end"]
    return messages.Finished(
        finish_reason=parse_text(end["finish_reason"]),
        total_chars=parse_count(end["total_chars"]),
        prompt_tokens=parse_count(end["prompt_tokens"]),
        cached_tokens=parse_count(end["cached_tokens"]),
        completion_tokens=parse_count(end["completion_tokens"]),
    )


def parse_count(value: Any) -> int:
    """Return a value that is a non-negative integer; raises `ValueError` for any other."""
    if type(value) is not int or value < 0:
        raise ValueError(f"got {value!r}, expected a count")
    return value


def parse_text(value: Any) -> str:
    """Return a value that is a string; raises `ValueError` for any other."""
    if type(value) is not str:
        raise ValueError(f"got {value!r}, expected text")
    return value
