"""What every interface to the outside world tells: the form of configurations and the list.

The fleet stores a submitted configuration unchanged and parses it again.
"""

from __future__ import annotations

import abc
from typing import Any

import orjson

from croftpulley import codes, errors
from croftpulley.endpoints import lists
from croftpulley.settings import fleet

LIST_TIMEOUT_S = 1.0
"""The platform's list answers within milliseconds; a reader that waits longer is cut off."""


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


def document_json(document: Any, option: int = 0) -> str:
    """Return a submitted document as JSON.

    Raises `errors.CroftpulleyError` (CONFIGURATION_INVALID) if it is nested too deep.
    """
    try:
        return orjson.dumps(document, option=option).decode()
    except orjson.JSONEncodeError as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.CONFIGURATION_INVALID, f"the document cannot be kept: {failure}"
        ) from failure


def invalid_configuration(group: errors.SettingsErrorGroup) -> errors.CroftpulleyError:
    """Return one CONFIGURATION_INVALID error that lists every fault of ``group``."""
    faults = "; ".join(str(fault) for fault in group.exceptions)
    return errors.CroftpulleyError(codes.ResultCode.CONFIGURATION_INVALID, faults)


class Interface(abc.ABC):
    """Names, formats and calls of the outside world; decides nothing."""

    @property
    @abc.abstractmethod
    def documents(self) -> DocumentFormat:
        """How a submitted configuration is written."""

    @abc.abstractmethod
    def endpoint_list(self, address: str) -> lists.PlatformList:
        """Make the reader of the platform's list at ``address``."""


class OwnInterface(Interface):
    """The part of the fleet's own interface that routers and control boxes share."""

    @property
    def documents(self) -> DocumentFormat:
        """JSON with comments."""
        return NativeFormat()

    def endpoint_list(self, address: str) -> lists.PlatformList:
        """Make the reader of ``GET /v1/endpoints``."""
        # On the users' platform nobody needs it.
        from croftpulley.endpoints import http_platform

        return http_platform.HttpPlatformList(address, LIST_TIMEOUT_S)
