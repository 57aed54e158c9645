"""Reads fields of JSON objects with their types checked."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from croftpulley import codes, errors

_LARGEST_WHOLE = 2**63 - 1
"""What JSON of the fleet's own can hold."""


class Fields:
    """A JSON object at some place of a document, for error messages.

    Every reading raises `errors.CroftpulleyError` (CONFIGURATION_INVALID) that names the place,
    what was got and what was expected.
    """

    def __init__(self, value: Any, place: str = "document") -> None:
        if not isinstance(value, Mapping):
            raise _fault(place, value, "an object")
        self._value = value
        self._place = place

    def has(self, name: str) -> bool:
        """Tell whether a field is there and not null."""
        return self._value.get(name) is not None

    def names(self) -> tuple[str, ...]:
        """Return the names of all fields."""
        return tuple(self._value)

    def texts_by_name(self) -> dict[str, str]:
        """Return all fields, which must be strings."""
        return {name: self.text(name) for name in self._value}

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._value.get(name, default)
        if not isinstance(value, str):
            raise self._wrong(name, value, "a string")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number."""
        value = self._value.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._wrong(name, value, "a number")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        """Return a whole number."""
        value = self.number(name, default)
        if value != int(value) or abs(value) > _LARGEST_WHOLE:
            raise self._wrong(name, value, "a whole number")
        return int(value)

    def flag(self, name: str, default: bool | None = None) -> bool:
        """Return true or false."""
        value = self._value.get(name, default)
        if not isinstance(value, bool):
            raise self._wrong(name, value, "true or false")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; an absent one is empty."""
        values = self._list(name)
        for value in values:
            if not isinstance(value, str):
                raise self._wrong(name, value, "strings")
        return tuple(values)

    def wholes(self, name: str) -> tuple[int, ...]:
        """Return a list of whole numbers with at least one."""
        values = self._list(name)
        if not values or not all(type(value) is int for value in values):
            raise self._wrong(name, values, "whole numbers")
        return tuple(values)

    def objects(self, name: str) -> list[Fields]:
        """Return a list of objects; an absent one is empty."""
        return [
            Fields(value, f"{self._place}.{name}[{index}]")
            for index, value in enumerate(self._list(name))
        ]

    def object(self, name: str) -> Fields:
        """Return an object; an absent one is empty."""
        return Fields(self._value.get(name) or {}, f"{self._place}.{name}")

    def _list(self, name: str) -> list[Any]:
        values = self._value.get(name)
        if values is None:
            return []
        if not isinstance(values, list):
            raise self._wrong(name, values, "a list")
        return values

    def _wrong(self, name: str, value: Any, expected: str) -> errors.CroftpulleyError:
        return _fault(f"{self._place}.{name}", value, expected)


def parse(body: bytes | str) -> Fields:
    """Parse a JSON object."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.CONFIGURATION_INVALID, f"the document is not JSON: {failure}"
        ) from failure
    return Fields(document)


def _fault(place: str, value: Any, expected: str) -> errors.CroftpulleyError:
    return errors.CroftpulleyError(
        codes.ResultCode.CONFIGURATION_INVALID,
        f"{place}: got {errors.shown(value)}, expected {expected}",
    )
