"""Croftpulley: a fleet of request routers for large numbers of multi-turn chats.

The names in ``__all__`` are the public API. Everything else is internal to the package.
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
    """Import a public module on first use: no daemon needs all of them when it starts."""
    if name in _MODULES:
        return importlib.import_module(_MODULES[name])
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
