"""Crowds of clients that misbehave, and what they cost the process they are at."""

from __future__ import annotations

import contextlib
import enum
import itertools
import pathlib
import select
import selectors
import socket
import time
from collections.abc import Callable, Iterator, Sequence

import attrs

import endless_requests

MACHINE_MEMORY_BYTES = 200 * 1000 * 1000
"""Of the smallest machine that a process is placed on."""
SPARE_DESCRIPTORS = 100
"""What a process may have open beside the connections of a crowd."""
FEW_CONNECTIONS = 60
"""The limit on connections of one listener, where a test lowers it."""
MAX_BODY_BYTES = 1024 * 1024
"""The limit on one body, by the settings and the configuration of the tests."""
BODY_BYTES = 500_000
_LARGE_BODY_BYTES = 1_000_000
_FAR_BEYOND_BYTES = 8 * MAX_BODY_BYTES
_CROWD_BYTES = 210 * 1000 * 1000
"""More than the machine has, whatever else is in memory."""
_SMALL_CROWD = 200
_DOCUMENT = b'{"number": 1, "document": [' + b"[]," * 330_000 + b"[]]}"
_DOCUMENTS = 40
LARGEST_BODY_BYTES = 8 * 1024 * 1024
"""The limit on one body of operators, by default."""
_LARGEST_DOCUMENT = b'{"number": 1, "document": [' + b"{}," * 2_796_100 + b"{}]}"
_LARGEST_DOCUMENTS = 4
_FAULTY_DOCUMENT = b'{"number": 1, "document": {"routes": [' + b"{}," * 20_000 + b"{}]}}"
_FAULTY_DOCUMENTS = 4
_BYTE = b"x"
_BLOCK_BYTES = 65_536
_LONGEST_S = 120.0
"""Ends a test that would hang."""
_SETTLED_S = 2.0
_RECEIVE_QUEUE, _LOCAL = 4, 1
"""Columns of the kernel's table of connections."""


class Shape(enum.Enum):
    """How the clients of a crowd send their bodies."""

    ANNOUNCED = "far over the limit, announced"
    UNANNOUNCED = "far over the limit, just sent"
    WHOLE = "of legal size, whole"
    SHORT = "of legal size, all but the last byte"
    SHORT_LARGE = "of nearly the largest legal size, all but the last byte"
    SHORT_PIECES = "of legal size, piece by piece, all but the last byte"
    SHORT_LARGE_CHUNKS = "of legal size, in large chunks, all but the last byte"
    DOCUMENTS = "whole documents of legal size, mostly empty lists"
    LARGEST_DOCUMENTS = "whole documents of nearly the largest legal size, mostly empty objects"
    FAULTY_DOCUMENTS = "whole documents of a small size, with many faults"
    SHORT_SMALL = "of a small size, all but the last byte"
    SHORT_SMALL_CHUNKS = "of legal size, in very small chunks, all but the last byte"


@attrs.frozen
class _Plan:
    """One client's body; ``chunk_bytes`` of 0 means that its length is announced.

    ``announced_bytes`` is what the client says or, in chunks, means to send.
    """

    announced_bytes: int
    sent_bytes: int
    chunk_bytes: int = 0
    piece_bytes: int = _BLOCK_BYTES
    content: bytes = b""
    """What is sent in place of so many equal bytes."""


_PLANS = {
    Shape.ANNOUNCED: _Plan(_FAR_BEYOND_BYTES, _FAR_BEYOND_BYTES),
    Shape.UNANNOUNCED: _Plan(_FAR_BEYOND_BYTES, _FAR_BEYOND_BYTES, chunk_bytes=65_536),
    Shape.WHOLE: _Plan(BODY_BYTES, BODY_BYTES),
    Shape.SHORT: _Plan(BODY_BYTES, BODY_BYTES - 1),
    Shape.SHORT_SMALL: _Plan(1000, 999),
    Shape.DOCUMENTS: _Plan(len(_DOCUMENT), len(_DOCUMENT), content=_DOCUMENT),
    Shape.LARGEST_DOCUMENTS: _Plan(
        len(_LARGEST_DOCUMENT), len(_LARGEST_DOCUMENT), content=_LARGEST_DOCUMENT
    ),
    Shape.FAULTY_DOCUMENTS: _Plan(
        len(_FAULTY_DOCUMENT), len(_FAULTY_DOCUMENT), content=_FAULTY_DOCUMENT
    ),
    Shape.SHORT_LARGE: _Plan(_LARGE_BODY_BYTES, _LARGE_BODY_BYTES - 1),
    Shape.SHORT_PIECES: _Plan(BODY_BYTES, BODY_BYTES - 1, piece_bytes=4096),
    Shape.SHORT_LARGE_CHUNKS: _Plan(BODY_BYTES, BODY_BYTES - 1, chunk_bytes=100_000),
    Shape.SHORT_SMALL_CHUNKS: _Plan(BODY_BYTES, BODY_BYTES - 1, chunk_bytes=32),
}


_SIZES = {
    Shape.SHORT_SMALL: _SMALL_CROWD,
    Shape.DOCUMENTS: _DOCUMENTS,
    Shape.LARGEST_DOCUMENTS: _LARGEST_DOCUMENTS,
    Shape.FAULTY_DOCUMENTS: _FAULTY_DOCUMENTS,
}
LARGE = tuple(each for each in Shape if each not in _SIZES)
"""Those of which a crowd sends more than the machine has memory."""


def crowd_size(shape: Shape) -> int:
    """Return how many clients a crowd has."""
    if shape in _SIZES:
        return _SIZES[shape]
    legal_bytes = min(_PLANS[shape].sent_bytes, MAX_BODY_BYTES)
    return -(-_CROWD_BYTES // legal_bytes)


def _pieces(plan: _Plan, head: bytes) -> Iterator[bytes]:
    """Yield what one client sends, in pieces."""
    framing = b"Transfer-Encoding: chunked" if plan.chunk_bytes else b"Content-Length: %d"
    yield head + (framing if plan.chunk_bytes else framing % plan.announced_bytes) + b"\r\n\r\n"
    if plan.content:
        yield plan.content
        return
    if not plan.chunk_bytes:
        for start in range(0, plan.sent_bytes, plan.piece_bytes):
            yield _BYTE * min(plan.piece_bytes, plan.sent_bytes - start)
        return
    chunk = b"%x\r\n%b\r\n" % (plan.chunk_bytes, _BYTE * plan.chunk_bytes)
    whole, rest_bytes = divmod(plan.sent_bytes, plan.chunk_bytes)
    at_once = max(1, plan.piece_bytes // len(chunk))
    for start in range(0, whole, at_once):
        yield chunk * min(at_once, whole - start)
    # The last chunk is announced whole and one byte of it is kept back.
    yield b"%x\r\n%b" % (rest_bytes + 1, _BYTE * rest_bytes)


class _Client:
    """One connection of a crowd."""

    def __init__(self, address: str, pieces: Iterator[bytes]) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.sock.connect((host, int(port)))
        self._pieces = pieces
        self._left = b""
        self.is_answered = False

    def send(self) -> bool:
        """Send one more piece, or what is left of the last; false if there is no more."""
        self._left = self._left or next(self._pieces, b"")
        if not self._left:
            return False
        with contextlib.suppress(BlockingIOError):
            self._left = self._left[self.sock.send(self._left) :]
        return True

    def is_closed(self) -> bool:
        """Take what has come, and tell whether the other side has ended the connection."""
        try:
            received = self.sock.recv(_BLOCK_BYTES)
        except BlockingIOError:
            return False
        self.is_answered = True
        return not received


class Senders:
    """Clients that send some pieces to some addresses in turn, and stay.

    Each reads its answer. Those whose connection the other side ends do not come back.
    """

    def __init__(
        self, size: int, addresses: Sequence[str], pieces: Callable[[], Iterator[bytes]]
    ) -> None:
        self.size = size
        self._addresses = tuple(addresses)
        self._waiting = selectors.DefaultSelector()
        self._staying: list[_Client] = []
        for address in itertools.islice(itertools.cycle(addresses), size):
            client = _Client(address, pieces())
            self._staying.append(client)
            self._waiting.register(
                client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, client
            )

    def send_all(self) -> None:
        """Send until every client has sent all that it means to, or was sent away."""
        ends_at_s = time.monotonic() + _LONGEST_S
        sending = len(self._staying)
        while sending:
            assert time.monotonic() < ends_at_s, f"{sending} clients could not send all"
            for key, mask in self._waiting.select(1.0):
                client: _Client = key.data
                try:
                    if mask & selectors.EVENT_READ and client.is_closed():
                        raise ConnectionResetError
                    if mask & selectors.EVENT_WRITE and not client.send():
                        self._waiting.unregister(client.sock)
                        sending -= 1
                except OSError:
                    self._waiting.unregister(client.sock)
                    self._leave(client)
                    sending -= 1
        self._settle()

    def wait_answered(self) -> None:
        """Wait until every client that stays has got something of an answer."""
        ends_at_s = time.monotonic() + _LONGEST_S
        while waiting := [each.sock for each in self._staying if not each.is_answered]:
            assert time.monotonic() < ends_at_s, f"{len(waiting)} clients got no answer"
            readable, _, _ = select.select(waiting, [], [], 1.0)
            for each in self._staying:
                each.is_answered = each.is_answered or each.sock in readable

    def _settle(self) -> None:
        """Wait until what was sent has been read, or until nobody reads any more of it."""
        unread_bytes, since_s = -1, time.monotonic()
        while unread_bytes != 0 and time.monotonic() < since_s + _SETTLED_S:
            now_bytes = sum(_unread_bytes(each) for each in self._addresses)
            if now_bytes != unread_bytes:
                unread_bytes, since_s = now_bytes, time.monotonic()
            time.sleep(0.05)

    def close(self) -> None:
        """Have every client leave."""
        for each in list(self._staying):
            self._leave(each)
        self._waiting.close()

    def _leave(self, client: _Client) -> None:
        self._staying.remove(client)
        client.sock.close()


class Crowd(Senders):
    """Clients that send what their shape says."""

    def __init__(self, shape: Shape, addresses: Sequence[str], head: bytes) -> None:
        super().__init__(crowd_size(shape), addresses, lambda: _pieces(_PLANS[shape], head))


class EndlessCrowd(Senders):
    """Clients that send one part of a request on and on, together more than the machine has."""

    def __init__(self, part: endless_requests.Part, addresses: Sequence[str]) -> None:
        size = -(-_CROWD_BYTES // endless_requests.SENT_BYTES)
        super().__init__(size, addresses, part.pieces)


def _unread_bytes(address: str) -> int:
    """Return what the system holds for the process that listens at an address."""
    local = f":{int(address.rpartition(':')[2]):04X}"
    rows = (line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:])
    return sum(
        int(row[_RECEIVE_QUEUE].rpartition(":")[2], 16)
        for row in rows
        if row[_LOCAL].endswith(local)
    )


def peak_memory_bytes(pid: int) -> int:
    """Return the most memory that a process has had resident."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM:"))
    return int(peak.split()[1]) * 1024


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
