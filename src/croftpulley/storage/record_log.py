"""A file of records, each with its length and checksum.

Record: length of the payload (4 bytes, little endian), CRC-32 of length and payload (4 bytes),
payload. A record only half written at the end is cut off when the file is opened; damage before
the end is refused.
"""

from __future__ import annotations

import pathlib
import struct
import zlib
from collections.abc import Callable, Iterator

import attrs

from croftpulley import codes, errors
from croftpulley.storage import files

_HEADER = struct.Struct("<II")
RECORD_SIZE_LIMIT_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Replay:
    """What was found when the file was opened."""

    payloads: tuple[bytes, ...]
    cut_bytes: int


class RecordLog:
    """Appends records and makes them durable; one writer at a time."""

    def __init__(self, file: files.AppendFile, size_bytes: int) -> None:
        self._file = file
        self._size_bytes = size_bytes
        self._failed: OSError | None = None

    def append(self, payloads: list[bytes]) -> None:
        """Write the records and sync once.

        Raises `OSError` when the disk does not take them; nothing of them counts then, and the
        log takes no more until it is opened anew, since what the disk holds is not known.
        """
        if self._failed is not None:
            raise OSError("the log failed before") from self._failed
        data = b"".join(_encode(payload) for payload in payloads)
        try:
            self._file.append(data)
            self._file.sync()
        except OSError as failure:
            self._failed = failure
            raise
        self._size_bytes += len(data)

    @property
    def size_bytes(self) -> int:
        """How large the file is."""
        return self._size_bytes

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def open_log(
    path: pathlib.Path,
    open_file: Callable[[pathlib.Path], files.AppendFile] = files.DiskFile,
    *,
    one_record_a_sync: bool = False,
) -> tuple[RecordLog, Replay]:
    """Open or make the log at ``path`` and read all of it back.

    With ``one_record_a_sync`` each append was a single record, so that only the last can be torn:
    whatever a lost write left of it is cut, also a hole at its beginning.

    Raises `errors.CroftpulleyError` (LOG_CORRUPT) for damage that is not a torn end.
    """
    data = path.read_bytes() if path.exists() else b""
    payloads, whole_bytes = _read(path, data, one_record_a_sync)
    file = open_file(path)
    if whole_bytes < len(data):
        file.truncate(whole_bytes)
    return RecordLog(file, whole_bytes), Replay(tuple(payloads), len(data) - whole_bytes)


def size_bytes(payload: bytes) -> int:
    """Return how much of a file the record of a payload takes."""
    return _HEADER.size + len(payload)


def _encode(payload: bytes) -> bytes:
    length = struct.pack("<I", len(payload))
    return _HEADER.pack(len(payload), zlib.crc32(length + payload)) + payload


def _read(path: pathlib.Path, data: bytes, one_record_a_sync: bool) -> tuple[list[bytes], int]:
    """Return the whole records and how many bytes they take."""
    payloads = []
    whole_bytes = 0
    for offset, end, payload in _records(data):
        if payload is None:
            if _damaged_before_end(data, offset, len(data) if one_record_a_sync else end):
                raise errors.CroftpulleyError(
                    codes.ResultCode.LOG_CORRUPT,
                    f"{path}: the record at offset {offset} does not match its checksum and"
                    f" {len(data) - end} bytes follow it",
                )
            break
        payloads.append(payload)
        whole_bytes = end
    return payloads, whole_bytes


def _damaged_before_end(data: bytes, offset: int, end: int) -> bool:
    """Tell damage from a torn end: after a torn record nothing whole can follow.

    A damaged length field can point past the end, so whole records are looked for after it too.
    """
    if end < len(data):
        return True
    return any(_whole_at(data, start) for start in range(offset + 1, len(data) - _HEADER.size))


def _whole_at(data: bytes, offset: int) -> bool:
    length, checksum = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + length
    if not 0 < length <= RECORD_SIZE_LIMIT_BYTES or end > len(data):
        return False
    return bool(zlib.crc32(data[offset : offset + 4] + data[offset + 8 : end]) == checksum)


def _records(data: bytes) -> Iterator[tuple[int, int, bytes | None]]:
    """Yield start, end and payload of each record; the payload is ``None`` if it is not whole."""
    offset = 0
    while offset < len(data):
        if offset + _HEADER.size > len(data):
            yield offset, len(data), None
            return
        length, checksum = _HEADER.unpack_from(data, offset)
        start = offset + _HEADER.size
        end = start + length
        payload = data[start:end]
        whole = end <= len(data) and zlib.crc32(data[offset : offset + 4] + payload) == checksum
        yield offset, min(end, len(data)), payload if whole else None
        if not whole:
            return
        offset = end
