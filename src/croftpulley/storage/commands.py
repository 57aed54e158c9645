"""How commands of the agreed state are written as log records: JSON, with the command's name."""

from __future__ import annotations

import functools
from typing import Any

import cattrs
import orjson
from cattrs import strategies
from cattrs.preconf import orjson as orjson_converter

from croftpulley.core import agreed


def encode(command: agreed.Command) -> bytes:
    """Return the record for a command."""
    return orjson.dumps(_converter().unstructure(command, agreed.Command))


def decode(record: bytes) -> agreed.Command:
    """Return the command in a record; raises `ValueError` for a record of no known command."""
    try:
        command: agreed.Command = _converter().structure(orjson.loads(record), _ANY_COMMAND)
    except (KeyError, cattrs.BaseValidationError) as failure:
        raise ValueError(f"got a log record that holds no known command: {record[:80]!r}") from (
            failure
        )
    return command


_ANY_COMMAND: Any = agreed.Command


@functools.cache
def _converter() -> cattrs.Converter:
    converter = orjson_converter.make_converter()
    strategies.configure_tagged_union(agreed.Command, converter, tag_name="command")
    return converter
