"""What a model engine of the platform says that it keeps."""

from __future__ import annotations

from typing import Any

from croftpulley import codes, errors
from croftpulley.core import membership
from croftpulley.endpoints import caches, connection
from croftpulley.platform import entries, names

_PATH = "/kv-list"
_TIMEOUT_S = 0.4
"""An engine answers between two steps, within tens of milliseconds; one that does not is skipped,
so that those after it are read soon."""


class EngineCaches(caches.CacheReader):
    """Reads ``GET /kv-list``."""

    def read(self, engine: membership.Endpoint) -> tuple[caches.CachedPart, ...]:
        """Read what is kept for any model; rows that cannot be read are left out."""
        target = connection.Target(engine.address, _TIMEOUT_S, _TIMEOUT_S)
        request = connection.HttpRequest("GET", _PATH)
        response, body = connection.send_and_read(target, request, connection.ENGINE_FAILURES)
        where = f"{engine.address}{_PATH}"
        if response.status != 200:
            raise errors.CroftpulleyError(
                codes.ResultCode.ENGINE_REFUSED, f"{where}: got status {response.status}"
            )
        held = entries.parse(body, "held")
        born_ms = held.rest.get(names.BORN)
        if engine.born_ms is not None and born_ms not in (None, engine.born_ms):
            raise errors.CroftpulleyError(
                codes.ResultCode.ENGINE_REFUSED,
                f"{where}: got the start {errors.shown(born_ms)}, expected {engine.born_ms}",
            )
        parts = [_part(row) for row in held.values]
        return tuple(part for part in parts if part is not None)


def _part(row: Any) -> caches.CachedPart | None:
    """Return the part of a row: an empty text, the part's id, the tokens kept of it, the model."""
    match row:
        case [_, str(part), int(tokens), *_] if part and type(tokens) is int and tokens >= 0:
            return caches.CachedPart(part_id=part, tokens=tokens)
    return None
