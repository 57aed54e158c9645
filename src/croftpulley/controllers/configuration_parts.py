"""Serves configurations in parts; any control box that has a version can serve it."""

from __future__ import annotations

import threading

from croftpulley.controllers import agreement
from croftpulley.core import configuration_transfer, submissions


class ConfigurationParts:
    """Answers requests for parts of the configuration applied on this box; thread-safe.

    The lock ensures that a version is compressed once, not once per concurrent request.
    """

    def __init__(self, log: agreement.CommandLog) -> None:
        self._command_log = log
        self._pack_lock = threading.Lock()
        self._packed: configuration_transfer.PackedConfiguration | None = None

    def answer(
        self, request: configuration_transfer.ConfigurationRequest
    ) -> configuration_transfer.ConfigurationPart:
        """Return the requested part; raises `errors.CroftpulleyError` (BAD_REQUEST)."""
        return self._pack(self._command_log.read().submissions.held).part_for(request)

    def _pack(
        self, held: submissions.VersionedDocument
    ) -> configuration_transfer.PackedConfiguration:
        with self._pack_lock:
            if self._packed is None or self._packed.version != held.version:
                self._packed = configuration_transfer.PackedConfiguration.from_text(
                    held.version, configuration_transfer.pack(held.document_json)
                )
            return self._packed
