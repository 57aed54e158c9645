"""The platform's endpoint list over HTTP: ``GET /v1/endpoints``, a JSON list."""

from __future__ import annotations

from typing import Any

import cattrs
import orjson

from croftpulley import codes, errors
from croftpulley.core import membership
from croftpulley.endpoints import connection, lists

_CONVERTER = cattrs.Converter()
_STRING_FIELDS = ("name", "kind", "pool", "address", "hall", "incarnation")


class HttpPlatformList(lists.PlatformList):
    """Reads the endpoint list over HTTP."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._target = connection.Target(address, timeout_s, timeout_s)

    def read(self) -> lists.ListSnapshot:
        """Read the list; raises `errors.CroftpulleyError` if it cannot be read as a whole."""
        request = connection.HttpRequest("GET", "/v1/endpoints")
        response, body = connection.send_and_read(self._target, request, connection.ENGINE_FAILURES)
        lists.check_readable(response, request.path)
        try:
            document = orjson.loads(body)
        except ValueError as failure:
            raise self._malformed(str(failure)) from failure
        if not isinstance(document, list):
            raise self._malformed("got no list")
        return lists.ListSnapshot.from_entries([_decode_entry(entry) for entry in document])

    def _malformed(self, problem: str) -> errors.CroftpulleyError:
        return errors.CroftpulleyError(
            codes.ResultCode.ENGINE_BROKE, f"{self._target.address}: malformed list: {problem}"
        )


def _decode_entry(entry: Any) -> membership.Endpoint | lists.InvalidEntry:
    """Return the endpoint that an entry describes, or why the entry is invalid."""
    if not isinstance(entry, dict):
        return lists.not_an_object(entry)
    for name in _STRING_FIELDS:
        value = entry.get(name)
        if not isinstance(value, str):
            return lists.invalid_field(name, value, "a string")
    version = entry.get("version")
    if version is not None and not isinstance(version, str):
        return lists.invalid_field("version", version, "a string")
    born_ms = entry.get("born_ms")
    if born_ms is not None and type(born_ms) is not int:
        return lists.invalid_field("born_ms", born_ms, "a whole number")
    try:
        return _CONVERTER.structure(entry, membership.Endpoint)
    except (ValueError, cattrs.BaseValidationError) as failure:
        return lists.InvalidEntry(lists.Defect.FIELD_TYPE, str(failure))
