"""The HTTP form of the platform's list: ``GET /v1/endpoints``, a JSON list."""

from __future__ import annotations

import cattrs
import orjson

from croftpulley import codes, errors
from croftpulley.core import membership
from croftpulley.endpoints import connection, lists

_CONVERTER = cattrs.Converter()


class HttpPlatformList(lists.PlatformList):
    """Reads the list over HTTP."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._target = connection.Target(address, timeout_s, timeout_s)

    def read(self) -> tuple[membership.Endpoint, ...]:
        """Read the list."""
        request = connection.HttpRequest("GET", "/v1/endpoints")
        _, body = connection.whole(self._target, request, connection.ENGINE_FAILURES)
        try:
            document = orjson.loads(body)
            listed = _CONVERTER.structure(document, tuple[membership.Endpoint, ...])
        except (ValueError, cattrs.BaseValidationError) as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.ENGINE_BROKE,
                f"{self._target.address}: malformed list: {failure}",
            ) from failure
        return listed
