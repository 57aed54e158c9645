"""Figures as a table or as JSON."""

from __future__ import annotations

import math

import attrs
import orjson


@attrs.frozen
class Row:
    """One figure; the key carries its unit."""

    key: str
    value: float


def percentile(sorted_values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie (nearest rank).

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not sorted_values:
        return math.nan
    rank = max(1, math.ceil(share * len(sorted_values)))
    return sorted_values[rank - 1]


def plain(rows: list[Row]) -> str:
    """Return a table for a person."""
    width = max(len(row.key) for row in rows)
    return "\n".join(f"{row.key:<{width}}  {row.value:>12}" for row in rows)


def as_json(rows: list[Row]) -> str:
    """Return one JSON object."""
    return orjson.dumps({row.key: row.value for row in rows}).decode()
