"""A small HTTP server on asyncio whose handlers write to the socket themselves.

Stand-ins need what proper servers prevent: a reset in the middle, half an event, a header that
takes seconds.
"""

from __future__ import annotations

import abc
import asyncio
import threading
from typing import Any

import attrs
import orjson

from croftpulley.endpoints import sockets

_HEADER_END = b"\r\n\r\n"


@attrs.frozen
class StubRequest:
    """One request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed."""
        return orjson.loads(self.body)


class StubConnection:
    """The socket of one request."""

    def __init__(self, writer: asyncio.StreamWriter, reader: asyncio.StreamReader) -> None:
        self.writer = writer
        self.reader = reader
        self.extra_headers: dict[str, str] = {}
        """Of the answer, beside those that it has anyway."""

    async def respond(self, document: Any, status: int = 200, extra_length_bytes: int = 0) -> None:
        """Answer with JSON; ``extra_length_bytes`` announces more than is sent."""
        await self.respond_bytes(orjson.dumps(document), status, extra_length_bytes)

    async def respond_bytes(
        self, body: bytes, status: int = 200, extra_length_bytes: int = 0
    ) -> None:
        """Answer with a body as it is, which is called JSON."""
        length = len(body) + extra_length_bytes
        self.writer.write(
            b"HTTP/1.1 %d Fake\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
            b"%bConnection: close\r\n\r\n%b" % (status, length, self._extra_lines(), body)
        )
        await self.writer.drain()

    async def begin_events(self) -> None:
        """Send the headers of an event stream that ends with the connection."""
        self.writer.write(
            b"HTTP/1.1 200 Fake\r\nContent-Type: text/event-stream\r\n%bConnection: close\r\n\r\n"
            % self._extra_lines()
        )
        await self.writer.drain()

    def _extra_lines(self) -> bytes:
        return b"".join(
            f"{name}: {value}\r\n".encode() for name, value in self.extra_headers.items()
        )

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """End the connection with a reset instead of an orderly close."""
        sock = self.writer.get_extra_info("socket")
        sockets.reset_on_close(sock)
        self.writer.transport.abort()


class Stub(abc.ABC):
    """A stand-in at one address, running its event loop in a thread of its own."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self._wanted_address = address
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._failure: OSError | None = None
        self._thread = threading.Thread(target=self._run, name="stub", daemon=True)
        self._server: asyncio.Server | None = None
        self.address = ""
        self.has_crashed = False
        self.resets_connections = False
        """Every connection is reset once the first byte of its request has come.

        Reset any earlier, the other side may fail to connect and know that it has sent nothing.
        """

    @abc.abstractmethod
    async def answer(self, request: StubRequest, connection: StubConnection) -> None:
        """Answer one request."""

    def start(self) -> None:
        """Listen and serve until `stop`; raises `OSError` if the address is taken."""
        self._thread.start()
        self._started.wait()
        if self._failure is not None:
            raise self._failure

    def stop(self) -> None:
        """Stop listening and end every connection; a second call does nothing."""
        if not self.has_crashed and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def crash(self) -> None:
        """End from within a handler, as a process does that crashes: all connections end."""
        self.has_crashed = True
        self._loop.stop()

    def kill(self) -> None:
        """End from outside, as a process does that is killed: all connections end."""
        self._loop.call_soon_threadsafe(self.crash)
        self._thread.join()

    def _run(self) -> None:
        try:
            self._loop.run_until_complete(self._listen())
        except OSError as failure:
            self._failure = failure
            return
        finally:
            self._started.set()
        self._loop.run_forever()
        self._end_all()
        self._loop.close()

    async def _listen(self) -> None:
        host, _, port = self._wanted_address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=1024)
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound_port}"

    def _end_all(self) -> None:
        if self._server is not None:
            self._server.close()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self._loop.run_until_complete(asyncio.wait(tasks))
            # Their sockets are closed in the next round.
            self._loop.run_until_complete(asyncio.sleep(0))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.resets_connections:
            await reader.read(1)
            StubConnection(writer, reader).reset()
            return
        try:
            request = await self.read_request(reader)
            await self.answer(request, StubConnection(writer, reader))
        except (ConnectionError, asyncio.IncompleteReadError):
            # The other side went away, which is what many tests are about.
            pass
        except asyncio.CancelledError:
            # The stand-in stops; asyncio would report a handler that ends as cancelled.
            pass
        finally:
            writer.close()

    async def read_request(self, reader: asyncio.StreamReader) -> StubRequest:
        """Read one request whole."""
        head = await read_head(reader)
        size_bytes = int(head.headers.get("content-length", "0"))
        return attrs.evolve(head, body=await reader.readexactly(size_bytes))


async def read_head(reader: asyncio.StreamReader) -> StubRequest:
    """Read a request up to its body."""
    head = await reader.readuntil(_HEADER_END)
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return StubRequest(method, path, headers, b"")
