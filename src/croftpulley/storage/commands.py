"""Encodes state machine commands as log records: JSON objects tagged with the command's name.

Long records are compressed (`text_compression`).
"""

from __future__ import annotations

import functools
from typing import Any

import cattrs
import orjson
from cattrs import strategies
from cattrs.preconf import orjson as orjson_converter

from croftpulley.core import replicated_state
from croftpulley.storage import text_compression


def encode(command: replicated_state.Command) -> bytes:
    """Return a command's log record."""
    record = orjson.dumps(_converter().unstructure(command, replicated_state.Command))
    return text_compression.pack(record.decode()).encode()


def decode(record: bytes) -> replicated_state.Command:
    """Return the command in a record; raises `ValueError` if it holds no known command."""
    try:
        document = orjson.loads(text_compression.unpack(record.decode()))
        command: replicated_state.Command = _converter().structure(document, _ANY_COMMAND)
    except (KeyError, cattrs.BaseValidationError) as failure:
        raise ValueError(f"log record holds no known command: {record[:80]!r}") from (failure)
    return command


_ANY_COMMAND: Any = replicated_state.Command


@functools.cache
def _converter() -> cattrs.Converter:
    converter = orjson_converter.make_converter()
    strategies.configure_tagged_union(replicated_state.Command, converter, tag_name="command")
    return converter
