"""A control box's side of configurations in parts: any box that holds a version serves it."""

from __future__ import annotations

import threading

from croftpulley.controllers import agreement
from croftpulley.core import parts, submissions
from croftpulley.transport import packing


class ConfigurationParts:
    """Answers requests for parts of what is committed and applied here, from any thread.

    The lock guards against packing a version once for each router that asks at the same moment.
    """

    def __init__(self, log: agreement.Agreement) -> None:
        self._log = log
        self._lock = threading.Lock()
        self._packed: parts.Packed | None = None

    def answer(self, request: parts.ConfigurationRequest) -> parts.ConfigurationPart:
        """Return the part; raises `errors.CroftpulleyError` (BAD_REQUEST)."""
        return self._packed_of(self._log.read().submissions.held).part(request)

    def _packed_of(self, held: submissions.Held) -> parts.Packed:
        with self._lock:
            if self._packed is None or self._packed.version != held.version:
                self._packed = parts.Packed.of(held.version, packing.pack(held.document_json))
            return self._packed
