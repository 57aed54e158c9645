"""The part of the platform's interface that routers and control boxes share."""

from __future__ import annotations

from croftpulley.endpoints import lists
from croftpulley.interfaces import base
from croftpulley.platform import documents, instances
from croftpulley.settings import formats


class PlatformInterface(base.Interface):
    """The platform's form of a configuration, and its list of endpoints."""

    @property
    def documents(self) -> formats.DocumentFormat:
        """The platform's form of a configuration."""
        return documents.PlatformDocuments()

    def endpoint_list(self, address: str) -> lists.PlatformList:
        """Make the reader of ``GET /instances``."""
        return instances.InstanceList(address)
