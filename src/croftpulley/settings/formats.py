"""Formats of submitted configurations. The fleet stores a document unchanged and reparses it."""

from __future__ import annotations

import abc

from croftpulley import codes, errors
from croftpulley.settings import fleet


class DocumentFormat(abc.ABC):
    """A format in which operators submit the configuration."""

    @abc.abstractmethod
    def parse(self, document_json: str) -> fleet.FleetConfiguration:
        """Parse and validate; raises `errors.CroftpulleyError` (CONFIGURATION_INVALID)."""


class NativeFormat(DocumentFormat):
    """The native format: the fields of `fleet.FleetConfiguration` as JSON with comments."""

    def parse(self, document_json: str) -> fleet.FleetConfiguration:
        """Parse and validate a document; raises as `DocumentFormat.parse`."""
        try:
            return fleet.parse(document_json)
        except errors.SettingsErrorGroup as group:
            raise invalid_configuration(group) from group


def invalid_configuration(group: errors.SettingsErrorGroup) -> errors.CroftpulleyError:
    """Return one CONFIGURATION_INVALID error that lists every fault of ``group``."""
    faults = "; ".join(str(fault) for fault in group.exceptions)
    return errors.CroftpulleyError(codes.ResultCode.CONFIGURATION_INVALID, faults)
