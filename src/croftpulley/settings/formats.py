"""How a submitted document is written; the fleet keeps it as it was sent and reads it back so."""

from __future__ import annotations

import abc

from croftpulley import codes, errors
from croftpulley.settings import fleet


class DocumentFormat(abc.ABC):
    """Turns a submitted document into a configuration."""

    @abc.abstractmethod
    def parse(self, document_json: str) -> fleet.FleetConfiguration:
        """Parse and check; raises `errors.CroftpulleyError` (CONFIGURATION_INVALID)."""


class OwnFormat(DocumentFormat):
    """The fleet's own: the fields of `fleet.FleetConfiguration` as JSON with comments."""

    def parse(self, document_json: str) -> fleet.FleetConfiguration:
        """Parse and check."""
        try:
            return fleet.parse(document_json)
        except errors.SettingsErrorGroup as group:
            raise invalid(group) from group


def invalid(group: errors.SettingsErrorGroup) -> errors.CroftpulleyError:
    """Make one error that names every fault."""
    faults = "; ".join(str(fault) for fault in group.exceptions)
    return errors.CroftpulleyError(codes.ResultCode.CONFIGURATION_INVALID, faults)
