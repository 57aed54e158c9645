"""What every interface to the outside world tells: the form of configurations and the list."""

from __future__ import annotations

import abc

from croftpulley.endpoints import lists
from croftpulley.settings import formats

LIST_TIMEOUT_S = 1.0
"""The platform's list answers within milliseconds; a reader that waits longer is cut off."""


class Interface(abc.ABC):
    """Names, formats and calls of the outside world; decides nothing."""

    @property
    @abc.abstractmethod
    def documents(self) -> formats.DocumentFormat:
        """How a submitted configuration is written."""

    @abc.abstractmethod
    def endpoint_list(self, address: str) -> lists.PlatformList:
        """Make the reader of the platform's list at ``address``."""


class OwnInterface(Interface):
    """The part of the fleet's own interface that routers and control boxes share."""

    @property
    def documents(self) -> formats.DocumentFormat:
        """JSON with comments."""
        return formats.NativeFormat()

    def endpoint_list(self, address: str) -> lists.PlatformList:
        """Make the reader of ``GET /v1/endpoints``."""
        # On the users' platform nobody needs it.
        from croftpulley.endpoints import http_platform

        return http_platform.HttpPlatformList(address, LIST_TIMEOUT_S)
