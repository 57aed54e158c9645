"""The platform's list of endpoints, whatever its protocol."""

from __future__ import annotations

import abc

from croftpulley.core import membership


class PlatformList(abc.ABC):
    """The platform's lagging list of what is live and what is leaving."""

    @abc.abstractmethod
    def read(self) -> tuple[membership.Endpoint, ...]:
        """Read the list; raises `errors.CroftpulleyError`."""
