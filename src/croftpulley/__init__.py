"""Croftpulley: a router fleet for very many returning chats.

The public names of the library. Everything else is internal to the package.
"""

from __future__ import annotations

import importlib
from types import ModuleType

__version__ = "0.1.0"

__all__ = ["__version__", "codes", "errors", "loader", "schema"]

_MODULES = {
    "codes": "croftpulley.codes",
    "errors": "croftpulley.errors",
    "loader": "croftpulley.settings.loader",
    "schema": "croftpulley.settings.schema",
}


def __getattr__(name: str) -> ModuleType:
    """Load a public module when it is first used: no daemon needs all of them at its start."""
    if name in _MODULES:
        return importlib.import_module(_MODULES[name])
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
