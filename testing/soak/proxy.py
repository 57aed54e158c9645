"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
import enum
import math
import socket
import struct
import threading
import time
from collections.abc import Callable

_SO_LINGER_RESET = struct.pack("ii", 1, 0)
_CHUNK_BYTES = 65_536
_SLICE_BYTES = 4096
"""What one connection sends over a lane before others have their turn."""
_POLL_S = 0.02


class Harm(enum.Enum):
    """What happens to bytes on their way."""

    NONE = "none"
    DELAY = "delay"
    """Each chunk waits for `DELAY_S`, both ways."""
    CUT_TO = "cut_to"
    """Nothing reaches the server; it is held, and goes on once the harm ends."""
    CUT_FROM = "cut_from"
    """Nothing comes back from the server."""
    SILENT = "silent"
    """Nothing goes either way, and new connections get no answer."""
    RESET = "reset"
    """Connections end with a reset, new ones as soon as they are made."""


DELAY_S = 0.08
"""Under the timeouts between boxes, so that a slow link alone is no cut."""
_HELD_TO = (Harm.CUT_TO, Harm.SILENT)
_HELD_FROM = (Harm.CUT_FROM, Harm.SILENT)


class Lane:
    """The link by which a process sends: its connections share the rate.

    What a sender has given up still passes, as what lies in the kernel's buffers does.
    """

    def __init__(self, rate_bytes_per_s: float = math.inf) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self._free_at_s = 0.0

    async def carry(self, size_bytes: int) -> None:
        """Return once so many bytes have passed, behind those of others that came before."""
        now_s = time.monotonic()
        self._free_at_s = max(now_s, self._free_at_s) + size_bytes / self.rate_bytes_per_s
        if self._free_at_s > now_s:
            await asyncio.sleep(self._free_at_s - now_s)


class Proxy:
    """Passes connections on to ``target``, which may change while it runs.

    ``lane`` is the link of the target, for its answers; ``lane_of`` finds the link of the process
    that connects, from the ports of both ends; ``cut_of`` finds what harms that process alone.
    """

    def __init__(
        self,
        loop: Loop,
        target: str = "",
        lane: Lane | None = None,
        lane_of: Callable[[int, int], Lane | None] = lambda _port, _listening_port: None,
        cut_of: Callable[[int, int], Callable[[], Harm]] | None = None,
    ) -> None:
        self.target = target
        self._harm = Harm.NONE
        self._harmed_s: list[tuple[float, float]] = []
        """From when to when it was harmed; the last one may go on."""
        self._lane = lane
        self._lane_of = lane_of
        self._cut_of = cut_of
        self._loop = loop
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = loop.call(self._listen())

    @property
    def harm(self) -> Harm:
        """What happens to bytes now."""
        return self._harm

    @harm.setter
    def harm(self, harm: Harm) -> None:
        now_s = time.monotonic()
        if self._harm is not Harm.NONE:
            began_s, _ = self._harmed_s.pop()
            self._harmed_s.append((began_s, now_s))
        if harm is not Harm.NONE:
            self._harmed_s.append((now_s, math.inf))
        self._harm = harm

    def was_harmed(self, since_s: float, until_s: float) -> bool:
        """Tell whether it was harmed at some moment between two times."""
        return any(begin <= until_s and end >= since_s for begin, end in self._harmed_s)

    def reset(self) -> None:
        """End every connection with a reset."""
        self._loop.call(self._reset())

    async def _listen(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _reset(self) -> None:
        for writer in list(self._writers):
            abort(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = writer.get_extra_info("peername")[1]
        listening_port = writer.get_extra_info("sockname")[1]
        cut = self._cut_of(port, listening_port) if self._cut_of else _uncut
        if cut() is Harm.RESET:
            abort(writer)
            return
        while Harm.SILENT in (self.harm, cut()):
            await asyncio.sleep(_POLL_S)
        host, _, target_port = self.target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(target_port))
        except OSError:
            # The server is down: the caller sees that nobody listens, as without a proxy.
            abort(writer)
            return
        self._writers |= {writer, back}
        lane = self._lane_of(port, listening_port)
        pumps = (
            asyncio.ensure_future(self._pump(reader, back, _HELD_TO, lane, cut)),
            asyncio.ensure_future(self._pump(there, writer, _HELD_FROM, self._lane, cut)),
        )
        await asyncio.wait(pumps)
        self._writers -= {writer, back}
        for each in (writer, back):
            each.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_by: tuple[Harm, ...],
        lane: Lane | None,
        cut: Callable[[], Harm],
    ) -> None:
        """Pass bytes one way; a reset on one side is a reset on the other."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                if cut() is Harm.RESET:
                    raise ConnectionResetError
                while self.harm in held_by or cut() in held_by:
                    await asyncio.sleep(_POLL_S)
                await _send(data, writer, lane)
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            abort(writer)


def _uncut() -> Harm:
    return Harm.NONE


async def _send(data: bytes, writer: asyncio.StreamWriter, lane: Lane | None) -> None:
    """Write, over a lane slice by slice."""
    size_bytes = _SLICE_BYTES if lane is not None else len(data)
    for begin in range(0, len(data), size_bytes):
        part = data[begin : begin + size_bytes]
        if lane is not None:
            await lane.carry(len(part))
        writer.write(part)
        await writer.drain()


def abort(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _SO_LINGER_RESET)
    writer.transport.abort()


class Loop:
    """An event loop in a thread of its own, which all proxies share."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="proxies", daemon=True)
        self._thread.start()

    def call(self, task):
        """Run a coroutine in the loop and return what it returns."""
        return asyncio.run_coroutine_threadsafe(task, self._loop).result()

    def stop(self) -> None:
        """Stop; connections that are open end with the process."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
