"""Where the processes of a running fleet are, read from the settings that started them."""

from __future__ import annotations

import pathlib
from typing import TypeVar

import attrs

from croftpulley.settings import loader, schema

T = TypeVar("T")


@attrs.frozen
class Fleet:
    """The settings of all processes of one fleet on this machine."""

    entries: tuple[schema.EntrySettings, ...]
    engines: tuple[schema.FakeSettings, ...]
    controls: tuple[schema.ControlSettings, ...]
    workers: tuple[schema.FakeSettings, ...]


def read(folder: str) -> Fleet:
    """Read the settings files in ``folder``; raises `errors.SettingsErrorGroup`."""
    return Fleet(
        entries=_load_all(folder, "entry-*.jsonc", schema.EntrySettings),
        engines=_load_all(folder, "engine-*.jsonc", schema.FakeSettings),
        controls=_load_all(folder, "control-*.jsonc", schema.ControlSettings),
        workers=_load_all(folder, "worker-*.jsonc", schema.FakeSettings),
    )


def _load_all(folder: str, pattern: str, kind: type[T]) -> tuple[T, ...]:
    files = sorted(pathlib.Path(folder).glob(pattern))
    return tuple(loader.load(str(file), kind) for file in files)
