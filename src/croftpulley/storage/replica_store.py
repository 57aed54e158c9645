"""What a replica keeps on its disk: its id, and one log file a generation.

A generation begins with a record of everything (`messages.Stored`) and goes on with a record for
each `messages.Write`. A new generation is written beside the old one, synced and renamed before
the old one is removed, so that a crash at any moment leaves a whole one.
"""

from __future__ import annotations

import pathlib
import re
from collections.abc import Callable
from typing import Any

import cattrs
import orjson
from cattrs.preconf import orjson as orjson_converter

from croftpulley import codes, errors
from croftpulley.core.replication import messages
from croftpulley.storage import files, record_log

IDENTITY_FILE = "replica.json"
_GENERATION = re.compile(r"log-(\d{8})")
_CONVERTER = orjson_converter.make_converter()

ADDED_LIMIT_BYTES = 8 * 1024 * 1024
"""A generation to which this much was added is outgrown, however large it began.

Just before the old generation is removed, a disk holds its beginning, what was added and the new
one: with this limit and an entry as large as the state, a disk of 64 MB suffices for a state of
18 MB.
"""

OpenFile = Callable[[pathlib.Path], files.AppendFile]


def read_identity(folder: pathlib.Path) -> str:
    """Return the id of the replica that owns the folder, empty for a new folder."""
    path = folder / IDENTITY_FILE
    if not path.exists():
        return ""
    try:
        return str(orjson.loads(path.read_bytes())["replica"])
    except (ValueError, KeyError, TypeError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.LOG_CORRUPT, f"{path}: holds no replica id: {failure}"
        ) from failure


def write_identity(folder: pathlib.Path, replica: str) -> None:
    """Make the id durable; raises `OSError`."""
    files.replace_file(folder / IDENTITY_FILE, orjson.dumps({"replica": replica}))


class ReplicaStore:
    """The log files of one replica; one writer at a time.

    Every method but `load` raises `OSError` when the disk refuses. The store must then be loaded
    anew before it is written again, since what the disk holds is not known.
    """

    def __init__(self, folder: pathlib.Path, open_file: OpenFile = files.DiskFile) -> None:
        self._folder = folder
        self._open_file = open_file
        self._log: record_log.RecordLog | None = None
        self._generation = 0
        self._base_bytes = 0

    def load(self, fresh: messages.Stored) -> messages.Stored:
        """Open the newest whole generation and return what it holds, ``fresh`` if there is none.

        Raises `OSError`, and `errors.CroftpulleyError` (LOG_CORRUPT) for damage before a file's
        end.
        """
        self.close()
        for generation in sorted(self._generations(), reverse=True):
            log, replay = record_log.open_log(
                self._path(generation), self._open_file, one_record_a_sync=True
            )
            if replay.payloads:
                self._log = log
                self._generation = generation
                self._base_bytes = record_log.size_bytes(replay.payloads[0])
                return _replayed(replay.payloads)
            log.close()
        self.rewrite(fresh)
        return fresh

    def write(self, write: messages.Write) -> None:
        """Add a write and wait for the disk."""
        if self._log is None:
            raise OSError("the store is not loaded")
        self._log.append([orjson.dumps(_CONVERTER.unstructure(write))])

    def rewrite(self, stored: messages.Stored) -> None:
        """Begin a new generation that holds just ``stored``."""
        generation = self._generation + 1
        draft = self._folder / "draft"
        draft.unlink(missing_ok=True)
        log, _ = record_log.open_log(draft, self._open_file)
        try:
            log.append([orjson.dumps(_CONVERTER.unstructure(stored))])
        except OSError:
            log.close()
            raise
        draft.rename(self._path(generation))
        files.sync_folder(self._folder)
        self.close()
        self._log = log
        self._generation = generation
        self._base_bytes = log.size_bytes
        self._remove_before(generation)

    @property
    def size_bytes(self) -> int:
        """How large the present generation is."""
        return self._log.size_bytes if self._log is not None else 0

    @property
    def added_bytes(self) -> int:
        """How much was added since the present generation was begun."""
        return self.size_bytes - self._base_bytes if self._log is not None else 0

    def has_outgrown(self, least_bytes: int) -> bool:
        """Tell whether the present generation should be written anew.

        That is when as much was added as it began with, so that writing it anew costs no more
        than what was added did; but not before ``least_bytes``, and at `ADDED_LIMIT_BYTES` in any
        case.
        """
        return self.added_bytes >= min(max(least_bytes, self._base_bytes), ADDED_LIMIT_BYTES)

    def close(self) -> None:
        """Close the file."""
        if self._log is not None:
            self._log.close()
            self._log = None

    def _path(self, generation: int) -> pathlib.Path:
        return self._folder / f"log-{generation:08d}"

    def _generations(self) -> list[int]:
        matches = [_GENERATION.fullmatch(path.name) for path in self._folder.iterdir()]
        return [int(match[1]) for match in matches if match]

    def _remove_before(self, generation: int) -> None:
        # Should a removal not last, the file is older than the one that counts.
        for each in self._generations():
            if each < generation:
                self._path(each).unlink(missing_ok=True)


def _replayed(payloads: tuple[bytes, ...]) -> messages.Stored:
    """Put the first record and the writes after it together."""
    stored: messages.Stored = _structure(payloads[0], messages.Stored)
    term = stored.term
    voted_for = stored.voted_for
    entries = list(stored.entries)
    for payload in payloads[1:]:
        write: messages.Write = _structure(payload, messages.Write)
        term = write.term
        voted_for = write.voted_for
        del entries[write.first_index - stored.snapshot.index - 1 :]
        entries.extend(write.entries)
    return messages.Stored(term, voted_for, stored.snapshot, tuple(entries))


def _structure(payload: bytes, kind: type) -> Any:
    try:
        return _CONVERTER.structure(orjson.loads(payload), kind)
    except (ValueError, KeyError, cattrs.BaseValidationError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.LOG_CORRUPT, f"a whole record holds no {kind.__name__}: {failure}"
        ) from failure
