"""What an entry box knows of the fleet."""

from __future__ import annotations

import attrs

from croftpulley.core import membership
from croftpulley.settings import fleet


@attrs.frozen
class FleetState:
    """What an entry box knows of the fleet; published whole."""

    lease_until_s: float = float("-inf")
    configuration: fleet.FleetConfiguration = attrs.field(factory=fleet.FleetConfiguration)
    directory: membership.Directory = attrs.field(factory=membership.Directory)
    loads: tuple[membership.PoolLoad, ...] = ()
    draining: bool = False

    def mean_load(self, pool: str) -> float:
        """Return the pool's outstanding requests an engine, as last heard."""
        return next((load.mean for load in self.loads if load.pool == pool), 0.0)

    def lease_holds(self, now_s: float) -> bool:
        """Tell whether this box may take new work."""
        return now_s < self.lease_until_s
