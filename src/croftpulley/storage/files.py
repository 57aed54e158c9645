"""File operations for durable state, behind an interface that lets tests inject failures."""

from __future__ import annotations

import abc
import os
import pathlib


class AppendFile(abc.ABC):
    """An append-only file, which can also be truncated."""

    @abc.abstractmethod
    def append(self, data: bytes) -> None:
        """Write all of ``data`` at the end; raises `OSError`."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Wait until all written data is on the disk; raises `OSError`."""

    @abc.abstractmethod
    def truncate(self, size_bytes: int) -> None:
        """Truncate the file to ``size_bytes``."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the file."""


class DiskFile(AppendFile):
    """A file on the local disk; it is created if it doesn't exist."""

    def __init__(self, path: pathlib.Path) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        sync_folder(path.parent)

    def append(self, data: bytes) -> None:
        """Write all of ``data`` at the end; raises `OSError`."""
        _write_all(self._descriptor, data)

    def sync(self) -> None:
        """Wait until all written data is on the disk; raises `OSError`."""
        os.fsync(self._descriptor)

    def truncate(self, size_bytes: int) -> None:
        """Truncate the file and wait for the disk; raises `OSError`."""
        os.ftruncate(self._descriptor, size_bytes)
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


def sync_folder(folder: pathlib.Path) -> None:
    """Sync a folder, so that files created or renamed in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace the file's content atomically: after a crash it holds all of the old or the new.

    Raises `OSError`.
    """
    temporary = path.with_name(f"{path.name}.tmp")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all of ``data``, with as many system calls as it takes."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
