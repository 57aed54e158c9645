"""The few file operations that durable state needs, behind an interface that tests can break."""

from __future__ import annotations

import abc
import os
import pathlib


class AppendFile(abc.ABC):
    """A file that grows at its end."""

    @abc.abstractmethod
    def append(self, data: bytes) -> None:
        """Write all of ``data`` at the end; raises `OSError`."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Return once all that was written is on the disk; raises `OSError`."""

    @abc.abstractmethod
    def truncate(self, size_bytes: int) -> None:
        """Cut the file to ``size_bytes``."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the file."""


class DiskFile(AppendFile):
    """A file on the machine's disk."""

    def __init__(self, path: pathlib.Path) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        sync_folder(path.parent)

    def append(self, data: bytes) -> None:
        """Write all of ``data``, also when the system takes it in pieces."""
        _write_all(self._descriptor, data)

    def sync(self) -> None:
        """Wait for the disk."""
        os.fsync(self._descriptor)

    def truncate(self, size_bytes: int) -> None:
        """Cut the file and wait for the disk."""
        os.ftruncate(self._descriptor, size_bytes)
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


def sync_folder(folder: pathlib.Path) -> None:
    """Make a new file's name itself durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Put ``data`` under ``path`` so that a crash leaves the old content or the new, whole.

    Raises `OSError`.
    """
    draft = path.with_name(f"{path.name}.tmp")
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(draft, path)
    sync_folder(path.parent)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all of ``data``, also when the system takes it in pieces."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
