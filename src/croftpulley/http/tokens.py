"""The operators' token, without which nobody changes or reads the replicated state."""

from __future__ import annotations

import hmac
import pathlib

from croftpulley import codes, errors
from croftpulley.http import wsgi

_BEARER = "Bearer "


class TokenCheck:
    """Compares the operator token in constant time."""

    def __init__(self, token_file: str) -> None:
        self._token = pathlib.Path(token_file).read_bytes().strip()
        if not self._token:
            raise errors.SettingsErrorGroup(
                "settings are not valid",
                [errors.SettingsError(token_file, "(file)", "the operator token is empty")],
            )

    def check(self, request: wsgi.Request) -> None:
        """Raise UNAUTHORIZED unless the request carries the token."""
        given = request.headers.get("authorization", "").removeprefix(_BEARER).encode()
        if not hmac.compare_digest(given, self._token):
            raise errors.CroftpulleyError(codes.ResultCode.UNAUTHORIZED)
