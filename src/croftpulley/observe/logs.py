"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as json_log

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


def set_up(box: str, level: str) -> None:
    """Send all logging to standard error as JSON lines that carry the ``box``."""
    formatter = json_log.JsonFormatter(_FIELDS, rename_fields=_RENAMED, static_fields={"box": box})
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # These libraries log every refused connection; ours say the same with a numbered event.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    logging.getLogger("pykka").setLevel(logging.WARNING)
