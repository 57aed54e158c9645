"""A replica's persistent state on disk: its id, and one log file per generation.

A generation starts with a record of the complete state (`messages.Stored`), followed by a record
for each `messages.Write`. A new generation is written next to the old one, synced and renamed
before the old one is removed, so that a crash at any time leaves a complete generation.
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

MAX_ADDED_BYTES = 8 * 1024 * 1024
"""A generation is rewritten after this many bytes were added, however large its first record is.

Just before the old generation is removed, the disk holds its first record, the added records and
the new generation. With this limit and an entry as large as the state, a disk of 64 MB suffices
for a state of 18 MB.
"""

OpenFile = Callable[[pathlib.Path], files.AppendFile]


def read_identity(folder: pathlib.Path) -> str:
    """Return the id of the replica that owns the folder, empty for a new folder.

    Raises `OSError`, and `errors.CroftpulleyError` (LOG_CORRUPT) for an unreadable id.
    """
    path = folder / IDENTITY_FILE
    if not path.exists():
        return ""
    try:
        return str(orjson.loads(path.read_bytes())["replica"])
    except (ValueError, KeyError, TypeError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.LOG_CORRUPT, f"{path}: contains no replica id: {failure}"
        ) from failure


def write_identity(folder: pathlib.Path, replica: str) -> None:
    """Store the id durably; raises `OSError`."""
    files.replace_file(folder / IDENTITY_FILE, orjson.dumps({"replica": replica}))


class ReplicaStore:
    """The log files of one replica; not safe for concurrent writers.

    `write` and `rewrite` raise `OSError` if the disk fails. The store must then be loaded again
    before the next write, since the disk's content is unknown.
    """

    def __init__(self, folder: pathlib.Path, open_file: OpenFile = files.DiskFile) -> None:
        self._folder = folder
        self._open_file = open_file
        self._log: record_log.RecordLog | None = None
        self._generation = 0
        self._initial_bytes = 0

    def load(self, initial: messages.Stored) -> messages.Stored:
        """Open the newest complete generation and return the state in it.

        If there is none, start one with ``initial`` and return that. Raises `OSError`, and
        `errors.CroftpulleyError` (LOG_CORRUPT) for corruption before a file's end.
        """
        self.close()
        for generation in sorted(self._generations(), reverse=True):
            log, replay = record_log.open_log(
                self._path(generation), self._open_file, single_record_appends=True
            )
            if replay.payloads:
                self._log = log
                self._generation = generation
                self._initial_bytes = record_log.size_bytes(replay.payloads[0])
                return _replay(replay.payloads)
            log.close()
        self.rewrite(initial)
        return initial

    def write(self, write: messages.Write) -> None:
        """Append a write and sync; raises `OSError`."""
        if self._log is None:
            raise OSError("the store is not loaded")
        self._log.append([orjson.dumps(_CONVERTER.unstructure(write))])

    def rewrite(self, stored: messages.Stored) -> None:
        """Start a new generation with ``stored`` and remove older ones; raises `OSError`."""
        generation = self._generation + 1
        temporary = self._folder / "draft"
        temporary.unlink(missing_ok=True)
        log, _ = record_log.open_log(temporary, self._open_file)
        try:
            log.append([orjson.dumps(_CONVERTER.unstructure(stored))])
        except OSError:
            log.close()
            raise
        temporary.rename(self._path(generation))
        files.sync_folder(self._folder)
        self.close()
        self._log = log
        self._generation = generation
        self._initial_bytes = log.size_bytes
        self._remove_before(generation)

    @property
    def size_bytes(self) -> int:
        """The size of the current generation, 0 if none is open."""
        return self._log.size_bytes if self._log is not None else 0

    @property
    def added_bytes(self) -> int:
        """The size of what was added to the current generation after its first record."""
        return self.size_bytes - self._initial_bytes if self._log is not None else 0

    def needs_rewrite(self, min_bytes: int) -> bool:
        """Return whether the current generation should be rewritten.

        That is once as much was added as its first record takes, so that a rewrite costs no more
        than the writes since the last one; but not before ``min_bytes`` were added, and always
        from `MAX_ADDED_BYTES` on.
        """
        return self.added_bytes >= min(max(min_bytes, self._initial_bytes), MAX_ADDED_BYTES)

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
        # The folder isn't synced: if a removal is lost in a crash, the newer generation is loaded.
        for each in self._generations():
            if each < generation:
                self._path(each).unlink(missing_ok=True)


def _replay(payloads: tuple[bytes, ...]) -> messages.Stored:
    """Apply the writes after the first record to it, and return the resulting state."""
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
            codes.ResultCode.LOG_CORRUPT, f"a valid record holds no {kind.__name__}: {failure}"
        ) from failure
