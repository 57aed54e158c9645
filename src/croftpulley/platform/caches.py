"""What a model engine of the platform says that it keeps."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.endpoints import caches, connection
from croftpulley.platform import fields

_PATH = "/kv-list"
_TIMEOUT_S = 0.4
"""An engine answers between two steps, within tens of milliseconds; one that does not is skipped,
so that those after it are read soon."""


class EngineCaches(caches.CacheReader):
    """Reads ``GET /kv-list``."""

    def read(self, address: str) -> tuple[caches.KeptPart, ...]:
        """Read what is kept for any model."""
        target = connection.Target(address, _TIMEOUT_S, _TIMEOUT_S)
        request = connection.HttpRequest("GET", _PATH)
        response, body = connection.whole(target, request, connection.ENGINE_FAILURES)
        if response.status != 200:
            raise errors.CroftpulleyError(
                codes.ResultCode.ENGINE_REFUSED, f"{address}{_PATH}: got status {response.status}"
            )
        return tuple(_part(row) for row in fields.parse(body).rows("held"))


def _part(row: fields.Row) -> caches.KeptPart:
    # Each entry is a list: an empty text, the part's id, the tokens kept of it, the model.
    return caches.KeptPart(part=row.text(1), tokens=row.whole(2))
