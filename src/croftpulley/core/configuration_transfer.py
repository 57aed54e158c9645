"""Transfer of a configuration from control boxes to a router, in parts of a bounded size.

Received data is kept, so a failed part is requested again at its offset, from any control box. Only
another version starts over.

The text is compressed: the hundreds of routes of a configuration are written much alike, so that it
shrinks to a fraction. A box compresses each version once, however many boxes it is sent to.
"""

from __future__ import annotations

import random
import zlib

import attrs

from croftpulley import codes, errors

PART_SIZE_BYTES = 16 * 1024
"""Keeps messages small enough for a link to carry within the timeout of a call. A part is 22 kB in
JSON, 1.8 ms on a link of 12.5 MB/s: if 200 routers ask one control box at the same moment, the last
of them waits 0.4 s, and a heartbeat waits behind single parts only."""
MAX_TEXT_SIZE_BYTES = 64 * 1024 * 1024
"""Maximum size of a configuration, packed and unpacked; one that claims to be longer is damaged."""
_FASTEST_LEVEL = 1
"""The fastest level of zlib; higher levels save little more on these texts."""
_MAX_CONSECUTIVE_MISMATCHES = 2
"""After this many mismatching parts in a row the data received before is taken to be wrong, and is
discarded."""


@attrs.frozen(kw_only=True)
class ConfigurationRequest:
    """A router asks for the text of a version from ``offset`` on."""

    version: int
    offset: int


@attrs.frozen(kw_only=True)
class ConfigurationPart:
    """A part of the packed text of a version, which is ``size_bytes`` long in total.

    ``checksum`` is the CRC-32 of the whole packed text. A part of an older version than requested,
    without data, says that the control box does not have the requested version yet; if it has a
    newer one, it sends the first part of that.
    """

    version: int
    offset: int = 0
    size_bytes: int = 0
    checksum: int = 0
    data: bytes = b""


@attrs.frozen
class PackedConfiguration:
    """The packed text of one version, as a control box serves it."""

    version: int
    text: bytes
    checksum: int

    @classmethod
    def from_text(cls, version: int, text: bytes) -> PackedConfiguration:
        """Create it from the packed text, computing the checksum."""
        return cls(version, text, zlib.crc32(text))

    def part_for(self, request: ConfigurationRequest) -> ConfigurationPart:
        """Return the answer to a request.

        Raises `errors.CroftpulleyError` (BAD_REQUEST) if the offset is outside the text.

        >>> packed = PackedConfiguration.from_text(2, b"text")
        >>> packed.part_for(ConfigurationRequest(version=2, offset=1)).data
        b'ext'
        >>> packed.part_for(ConfigurationRequest(version=1, offset=1)).data
        b'text'
        >>> packed.part_for(ConfigurationRequest(version=3, offset=1)).data
        b''
        """
        if self.version < request.version:
            return ConfigurationPart(version=self.version)
        offset = request.offset if request.version == self.version else 0
        if not 0 <= offset < len(self.text):
            raise _bad_request(f"got offset {offset}, allowed is 0 to {len(self.text) - 1}")
        return ConfigurationPart(
            version=self.version,
            offset=offset,
            size_bytes=len(self.text),
            checksum=self.checksum,
            data=self.text[offset : offset + PART_SIZE_BYTES],
        )


@attrs.define
class ConfigurationDownload:
    """Assembles the newest version that a router knows of from its parts.

    >>> download = ConfigurationDownload()
    >>> download.set_target(2)
    >>> part = PackedConfiguration.from_text(2, b"text").part_for(download.request())
    >>> download.add_part(part)
    b'text'
    >>> download.request() is None
    True
    """

    version: int = 0
    _size_bytes: int = 0
    _checksum: int = 0
    _received: bytearray = attrs.field(factory=bytearray)
    _mismatches: int = 0
    _is_complete: bool = True

    def set_target(self, version: int) -> None:
        """Start on ``version`` if it is newer than the current one."""
        if version > self.version:
            self.version = version
            self._restart()

    def request(self) -> ConfigurationRequest | None:
        """Return the next request to send, or ``None`` if nothing is missing."""
        if self._is_complete:
            return None
        return ConfigurationRequest(version=self.version, offset=len(self._received))

    def add_part(self, part: ConfigurationPart) -> bytes | None:
        """Add a part; return the whole packed text with the last part, ``None`` before.

        A part that is repeated, out of order or of an older version has no effect. Raises
        `errors.CroftpulleyError` (BAD_REQUEST) for one that is damaged or does not match those
        received before.
        """
        if part.version < self.version:
            return None
        _check_bounds(part)
        self.set_target(part.version)
        if self._is_complete:
            return None
        self._check_same_text(part)
        if part.offset != len(self._received):
            return None
        self._size_bytes = part.size_bytes
        self._checksum = part.checksum
        self._received += part.data
        self._mismatches = 0
        return self._assemble() if len(self._received) == part.size_bytes else None

    def _check_same_text(self, part: ConfigurationPart) -> None:
        """Raise if the part belongs to another text than those received before."""
        same = (part.size_bytes, part.checksum) == (self._size_bytes, self._checksum)
        if same or not self._received:
            return
        self._mismatches += 1
        if self._mismatches >= _MAX_CONSECUTIVE_MISMATCHES:
            self._restart()
        raise _bad_request(f"got a part of a different text of version {part.version}")

    def _assemble(self) -> bytes:
        whole = bytes(self._received)
        checksum = self._checksum
        self._restart()
        if zlib.crc32(whole) != checksum:
            raise _bad_request(
                f"checksum mismatch in the assembled parts of version {self.version}"
            )
        self._is_complete = True
        return whole

    def _restart(self) -> None:
        self._received = bytearray()
        self._mismatches = 0
        self._is_complete = False


def fetch_order(
    addresses: tuple[str, ...], leader_address: str, rng: random.Random
) -> tuple[str, ...]:
    """Return the control boxes to ask for a part, in the order to try them.

    The leader comes last: routers then share the links of the other boxes, and its heartbeats do
    not queue behind parts. The others are shuffled to spread the routers over them.

    >>> fetch_order(("a", "b"), "a", random.Random(1))
    ('b', 'a')
    """
    others = [each for each in addresses if each != leader_address]
    rng.shuffle(others)
    return (*others, leader_address) if leader_address else tuple(others)


def _check_bounds(part: ConfigurationPart) -> None:
    if not 0 < part.size_bytes <= MAX_TEXT_SIZE_BYTES:
        raise _bad_request(
            f"got a text of {part.size_bytes} bytes, allowed is 1 to {MAX_TEXT_SIZE_BYTES}"
        )
    if not 0 < len(part.data) <= PART_SIZE_BYTES:
        raise _bad_request(f"got {len(part.data)} bytes, allowed is 1 to {PART_SIZE_BYTES}")
    if part.offset < 0 or part.offset + len(part.data) > part.size_bytes:
        raise _bad_request(
            f"got a part at offset {part.offset} outside the {part.size_bytes} bytes of the text"
        )


def _bad_request(problem: str) -> errors.CroftpulleyError:
    return errors.CroftpulleyError(codes.ResultCode.BAD_REQUEST, problem)


def pack(text: str) -> bytes:
    """Compress a text.

    >>> unpack(pack("a route " * 100)) == "a route " * 100, len(pack("a route " * 100)) < 50
    (True, True)
    """
    return zlib.compress(text.encode(), _FASTEST_LEVEL)


def unpack(packed: bytes) -> str:
    """Decompress a text that `pack` returned.

    Raises `errors.CroftpulleyError` (BAD_REQUEST) for data that is damaged, truncated or longer
    than `MAX_TEXT_SIZE_BYTES` when decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, MAX_TEXT_SIZE_BYTES)
        if not decompressor.eof:
            raise errors.CroftpulleyError(
                codes.ResultCode.BAD_REQUEST,
                f"compressed text is truncated or longer than {MAX_TEXT_SIZE_BYTES} bytes",
            )
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST,
            f"{len(packed)} bytes are not a compressed text: {failure}",
        ) from failure
