"""A stand-in for the platform's list of endpoints."""

from __future__ import annotations

import pathlib
from typing import Any

import json5

from croftpulley.fakes import stub
from croftpulley.settings import schema


class FakePlatformList(stub.Stub):
    """Gives out a list that tests and operators can change."""

    def __init__(self, settings: schema.FakeSettings) -> None:
        super().__init__(settings.address)
        self.endpoints: list[dict[str, Any]] = []
        if settings.endpoints_file:
            text = pathlib.Path(settings.endpoints_file).read_text(encoding="utf-8")
            self.endpoints = json5.loads(text)

    async def answer(self, request: stub.StubRequest, connection: stub.StubConnection) -> None:
        """Answer one request."""
        match request.method, request.path:
            case "GET", "/v1/endpoints":
                await connection.respond(self.endpoints)
            case "PUT", "/admin/endpoints":
                self.endpoints = request.json()
                await connection.respond({"endpoints": len(self.endpoints)})
            case _:
                await connection.respond({"error": "not found"}, 404)
