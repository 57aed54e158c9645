"""A configuration in parts of a bounded size, on its way from control boxes to a router.

What was received is kept, so that a part that failed is asked for again at its offset, wherever the
next one comes from. Only another version begins anew.
"""

from __future__ import annotations

import random
import zlib

import attrs

from croftpulley import codes, errors

PART_SIZE_BYTES = 16 * 1024
"""Guards against messages that a link does not carry within the time of a call. A part is 22 kB in
JSON, 1.8 ms on a link of 12.5 MB/s: 200 routers may ask one control box at the same moment before
the last of them waits 0.4 s, and a heartbeat waits behind single parts."""
LONGEST_BYTES = 64 * 1024 * 1024
"""No configuration is gathered or unpacked beyond this: one that claims to be longer is damaged."""
_CONTRADICTIONS = 2
"""So many in a row say that what is held is wrong, not what comes."""


@attrs.frozen(kw_only=True)
class ConfigurationRequest:
    """A router asks for what it lacks of a version, from ``offset`` on."""

    version: int
    offset: int


@attrs.frozen(kw_only=True)
class ConfigurationPart:
    """A part of the packed text of a version, which is ``size_bytes`` long in all.

    ``checksum`` (CRC-32) is that of the whole packed text. An older version than was asked for, and
    no data, say that the control box does not hold that one yet; of a newer one it sends the first
    part.
    """

    version: int
    offset: int = 0
    size_bytes: int = 0
    checksum: int = 0
    data: bytes = b""


@attrs.frozen
class Packed:
    """The packed text of one version, as a control box serves it."""

    version: int
    text: bytes
    checksum: int

    @classmethod
    def of(cls, version: int, text: bytes) -> Packed:
        """Make it with its checksum."""
        return cls(version, text, zlib.crc32(text))

    def part(self, request: ConfigurationRequest) -> ConfigurationPart:
        """Return what answers a request; raises `errors.CroftpulleyError` (BAD_REQUEST).

        >>> packed = Packed.of(2, b"text")
        >>> packed.part(ConfigurationRequest(version=2, offset=1)).data
        b'ext'
        >>> packed.part(ConfigurationRequest(version=1, offset=1)).data
        b'text'
        >>> packed.part(ConfigurationRequest(version=3, offset=1)).data
        b''
        """
        if self.version < request.version:
            return ConfigurationPart(version=self.version)
        offset = request.offset if request.version == self.version else 0
        if not 0 <= offset < len(self.text):
            raise _refused(f"got offset {offset}, allowed is 0 to {len(self.text) - 1}")
        return ConfigurationPart(
            version=self.version,
            offset=offset,
            size_bytes=len(self.text),
            checksum=self.checksum,
            data=self.text[offset : offset + PART_SIZE_BYTES],
        )


@attrs.define
class Gathering:
    """What a router holds of the newest version that it has heard of.

    >>> gathering = Gathering()
    >>> gathering.aim(2)
    >>> gathering.take(Packed.of(2, b"text").part(gathering.request()))
    b'text'
    >>> gathering.request() is None
    True
    """

    version: int = 0
    _size_bytes: int = 0
    _checksum: int = 0
    _held: bytearray = attrs.field(factory=bytearray)
    _contradictions: int = 0
    _done: bool = True

    def aim(self, version: int) -> None:
        """Learn of a version; one that is not newer changes nothing."""
        if version > self.version:
            self.version = version
            self._begin()

    def request(self) -> ConfigurationRequest | None:
        """Return what to ask for next, or ``None`` if nothing is missing."""
        if self._done:
            return None
        return ConfigurationRequest(version=self.version, offset=len(self._held))

    def take(self, part: ConfigurationPart) -> bytes | None:
        """Take a part; return the whole packed text once, with its last part.

        A part that comes again, of an older version or out of its order changes nothing. Raises
        `errors.CroftpulleyError` (BAD_REQUEST) for one that is damaged or contradicts what is held.
        """
        if part.version < self.version:
            return None
        _check(part)
        self.aim(part.version)
        if self._done:
            return None
        self._compare(part)
        if part.offset != len(self._held):
            return None
        self._size_bytes = part.size_bytes
        self._checksum = part.checksum
        self._held += part.data
        self._contradictions = 0
        return self._finish() if len(self._held) == part.size_bytes else None

    def _compare(self, part: ConfigurationPart) -> None:
        """Refuse a part of another text than the one of which parts are held."""
        same = (part.size_bytes, part.checksum) == (self._size_bytes, self._checksum)
        if same or not self._held:
            return
        self._contradictions += 1
        if self._contradictions >= _CONTRADICTIONS:
            self._begin()
        raise _refused(f"got a part of another text of version {part.version}")

    def _finish(self) -> bytes:
        whole = bytes(self._held)
        checksum = self._checksum
        self._begin()
        if zlib.crc32(whole) != checksum:
            raise _refused(f"got parts of version {self.version} that make no whole")
        self._done = True
        return whole

    def _begin(self) -> None:
        self._held = bytearray()
        self._contradictions = 0
        self._done = False


def sources(
    addresses: tuple[str, ...], leader_address: str, chance: random.Random
) -> tuple[str, ...]:
    """Return the control boxes to ask for a part, one after the other.

    The leader comes last: routers then share the links of the others, and its heartbeats do not
    wait behind parts. The others come by chance, so that routers spread over them.

    >>> sources(("a", "b"), "a", random.Random(1))
    ('b', 'a')
    """
    others = [each for each in addresses if each != leader_address]
    chance.shuffle(others)
    return (*others, leader_address) if leader_address else tuple(others)


def _check(part: ConfigurationPart) -> None:
    if not 0 < part.size_bytes <= LONGEST_BYTES:
        raise _refused(f"got a text of {part.size_bytes} bytes, allowed is 1 to {LONGEST_BYTES}")
    if not 0 < len(part.data) <= PART_SIZE_BYTES:
        raise _refused(f"got {len(part.data)} bytes, allowed is 1 to {PART_SIZE_BYTES}")
    if part.offset < 0 or part.offset + len(part.data) > part.size_bytes:
        raise _refused(f"got a part at {part.offset} beyond {part.size_bytes} bytes")


def _refused(problem: str) -> errors.CroftpulleyError:
    return errors.CroftpulleyError(codes.ResultCode.BAD_REQUEST, problem)
