"""Croftpulley: a router fleet for very many returning chats.

The public names of the library. Everything else is internal to the package.
"""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.settings import loader, schema

__version__ = "0.1.0"

__all__ = ["__version__", "codes", "errors", "loader", "schema"]
