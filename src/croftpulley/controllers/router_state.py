"""What a router knows of the fleet."""

from __future__ import annotations

import attrs

from croftpulley.core import halls, membership, send_quotas, tables
from croftpulley.settings import fleet

SETTLED_S = 2.0
"""How long a box goes by the leader's word that a pool's endpoints have one version."""
LONGEST_SETTLED_S = 60.0
"""Streams of routes with a longer time limit may outlast what the leader remembers of versions that
are gone (`core.pool_versions.RESUMABLE_AFTER_UNLISTED_S`), so nothing is settled for them."""


@attrs.frozen
class RouterState:
    """What the router called ``box_name`` knows; published whole.

    ``loads`` are the requests in flight at each endpoint from all routers, as the control box last
    summed them up, and ``own_loads`` this router's part of that sum; the same holds for the prompt
    tokens that endpoints still have to read. ``held_off`` are endpoints that fail more often than
    others of their pool, by what all routers met. ``heard_no_leader`` tells that since the last
    lease a control box has answered, but none that leads. ``leader_address`` is where the box leads
    that granted the last lease. ``evacuated`` are the halls whose endpoints get no requests, and
    ``returned_at_s`` says when this box learned that halls are in service again. ``cold`` says how
    many requests a second this box may send to each cold endpoint, as told at ``cold_at_s``.
    ``unreached`` is how many boxes reach no endpoint of a pool, by pools, ``reaching`` some that do
    for each pool that this one has lost, and ``answering`` are the pools of which other boxes had
    answers lately.
    ``mixed`` are the pools whose endpoints have, or had lately, several versions; ``None``: the
    leading control box cannot tell.
    ``registered_boxes`` is how many routers the fleet has, as last told with a lease.
    """

    box_name: str = ""
    lease_until_s: float = float("-inf")
    tables: tables.LookupTables = attrs.field(
        factory=lambda: tables.LookupTables(fleet.FleetConfiguration()), eq=False
    )
    boxes: tuple[membership.Box, ...] = ()
    boxes_version: int = 0
    endpoints: tuple[membership.Endpoint, ...] = ()
    endpoints_version: int = 0
    loads: dict[str, int] = attrs.field(factory=dict)
    own_loads: dict[str, int] = attrs.field(factory=dict)
    loads_at_s: float = float("-inf")
    reading_tokens: dict[str, int] = attrs.field(factory=dict)
    own_reading_tokens: dict[str, int] = attrs.field(factory=dict)
    heard_at_s: float = float("-inf")
    held_off: frozenset[str] = frozenset()
    draining: bool = False
    heard_no_leader: bool = False
    leader_address: str = ""
    evacuated: halls.EvacuatedHalls = attrs.field(factory=halls.EvacuatedHalls)
    returned_at_s: dict[str, float] = attrs.field(factory=dict)
    cold: dict[str, int] = attrs.field(factory=dict)
    cold_at_s: float = float("-inf")
    registered_boxes: int = 0
    unreached: dict[str, int] = attrs.field(factory=dict)
    reaching: dict[str, frozenset[str]] = attrs.field(factory=dict)
    answering: frozenset[str] = frozenset()
    mixed: frozenset[str] | None = None

    @property
    def is_cut_off(self) -> bool:
        """Tell whether it is likely this box alone that has lost touch with the control boxes.

        Where control boxes answer without a leader all boxes wait for one, and a box that has not
        had a lease yet has just started, perhaps with all others.
        """
        return self.lease_until_s > float("-inf") and not self.heard_no_leader

    @property
    def configuration(self) -> fleet.FleetConfiguration:
        """The configuration in use; version 0 before the first."""
        return self.tables.configuration

    def with_evacuated(self, evacuated: halls.EvacuatedHalls, now_s: float) -> RouterState:
        """Return the state once this box obeys what is evacuated now."""
        returned_at_s = {
            hall: at_s for hall, at_s in self.returned_at_s.items() if hall not in evacuated.names
        }
        for hall in self.evacuated.names:
            if hall not in evacuated.names:
                returned_at_s[hall] = now_s
        return attrs.evolve(self, evacuated=evacuated, returned_at_s=returned_at_s)

    def without_old_returns(self, now_s: float) -> RouterState:
        """Return the state without halls whose return says nothing of cold endpoints any more."""
        if not self.returned_at_s:
            return self
        returned_at_s = {
            hall: at_s
            for hall, at_s in self.returned_at_s.items()
            if now_s < at_s + send_quotas.RETURNED_HALL_COLD_S
        }
        return attrs.evolve(self, returned_at_s=returned_at_s)

    @property
    def may_be_cold(self) -> bool:
        """Tell quickly whether any endpoint may be cold."""
        return bool(self.cold or self.returned_at_s)

    def cold_a_second(self, endpoint: membership.Endpoint, now_s: float) -> int | None:
        """Return how many requests a second may go to a cold endpoint, ``None`` if it is warm."""
        pool = self.tables.pools.get(endpoint.pool)
        if pool is None or not pool.cold_per_s:
            return None
        told = self.cold.get(endpoint.key)
        if told is not None:
            return told if now_s < self.cold_at_s + send_quotas.QUOTA_TTL_S else 0
        returned_at_s = self.returned_at_s.get(endpoint.hall, float("-inf"))
        return 0 if now_s < returned_at_s + send_quotas.RETURNED_HALL_COLD_S else None

    def is_settled(self, pool: str, now_s: float) -> bool:
        """Tell whether all endpoints of a pool have had one version for longer than streams last.

        That is the leading control box's word; without one that is recent, nothing is settled.
        """
        if self.mixed is None or now_s > self.heard_at_s + SETTLED_S:
            return False
        return pool not in self.mixed

    def lease_holds(self, now_s: float) -> bool:
        """Tell whether this box may take work that needs a lease."""
        return now_s < self.lease_until_s

    def may_serve(self, now_s: float) -> bool:
        """Tell whether this box has all that it needs to serve requests."""
        return bool(self.lease_holds(now_s) and self.configuration.version and self.endpoints)
