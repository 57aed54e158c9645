"""A stand-in for a worker of a plain service: counts how often each key ran."""

from __future__ import annotations

import asyncio
import collections

from croftpulley.fakes import faults, stub
from croftpulley.settings import schema


class FakeWorker(stub.Stub):
    """Runs every call that it is sent, without looking whether it ran before."""

    def __init__(self, settings: schema.FakeSettings) -> None:
        super().__init__(settings.address)
        self.settings = settings
        self.runs: collections.Counter[str] = collections.Counter()
        self.faults = faults.FaultQueue()

    async def answer(self, request: stub.StubRequest, connection: stub.StubConnection) -> None:
        """Answer one request."""
        if request.path == "/admin/record":
            await connection.respond({"name": self.settings.name, "runs": dict(self.runs)})
            return
        if request.path == "/admin/faults":
            self.faults.add(*(faults.Fault(name) for name in request.json()["faults"]))
            await connection.respond({"queued": True})
            return
        await self._call(request, connection)

    async def _call(self, request: stub.StubRequest, connection: stub.StubConnection) -> None:
        fault = self.faults.take()
        if fault is faults.Fault.RESET_BEFORE_ANSWER:
            connection.reset()
            return
        key = request.headers.get("idempotency-key") or request.headers["x-request-id"]
        self.runs[key] += 1
        if fault is faults.Fault.RESET_AFTER_RUN:
            connection.reset()
            return
        if fault is faults.Fault.SILENT:
            await asyncio.Event().wait()
        extra_length_bytes = 10 if fault is faults.Fault.WRONG_LENGTH else 0
        document = {"call": request.path.removeprefix("/call/"), "run": self.runs[key]}
        await connection.respond(document, extra_length_bytes=extra_length_bytes)
