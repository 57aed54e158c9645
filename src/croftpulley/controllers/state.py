"""The state of the fleet as an entry box knows it."""

from __future__ import annotations

import attrs

from croftpulley.core import membership
from croftpulley.settings import fleet


@attrs.frozen
class FleetState:
    """An immutable snapshot of the fleet, replaced as a whole when something changes."""

    lease_until_s: float = float("-inf")
    configuration: fleet.FleetConfiguration = attrs.field(factory=fleet.FleetConfiguration)
    directory: membership.Directory = attrs.field(factory=membership.Directory)
    loads: tuple[membership.PoolLoad, ...] = ()
    draining: bool = False

    def mean_load(self, pool: str) -> float:
        """Return the outstanding requests per engine of a pool as last reported; 0 if unknown."""
        return next((load.mean for load in self.loads if load.pool == pool), 0.0)

    def lease_holds(self, now_s: float) -> bool:
        """Return whether this box has a valid lease and so may accept new requests."""
        return now_s < self.lease_until_s
