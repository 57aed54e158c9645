"""A router's view of the fleet."""

from __future__ import annotations

import attrs

from croftpulley.core import halls, membership, send_quotas, tables
from croftpulley.settings import fleet

SETTLED_TTL_S = 2.0
"""How long the leader's report that a pool's endpoints have one version remains valid."""
MAX_SETTLED_TIME_LIMIT_S = 60.0
"""Longest time limit of a route whose streams may rely on `RouterState.settled_version`: longer
streams may outlast the leader's record of versions that are gone
(`core.pool_versions.RESUMABLE_AFTER_UNLISTED_S`)."""


@attrs.frozen
class RouterState:
    """The state that the router called ``box_name`` knows; published as one immutable snapshot.

    ``loads`` are the requests in flight at each endpoint from all routers, as last summed up by the
    leading control box, and ``own_loads`` is this router's share of that sum, both as of
    ``loads_at_s``; ``reading_tokens`` and ``own_reading_tokens`` are the same for the prompt tokens
    that endpoints still have to prefill. ``heard_at_s`` is when the last answered renewal was sent.
    ``held_off`` are endpoints that fail more often than others of their pool, over the outcomes of
    all routers. ``heard_no_leader`` is set if a control box has answered since the last lease, but
    no leader. ``leader_address`` is the address of the leader that granted the last lease.
    ``evacuated`` are the halls whose endpoints get no requests, and ``returned_at_s`` is when this
    box learned that a hall is in service again. ``cold`` is the quota of each cold endpoint, in
    requests per second from this box, as received at ``cold_at_s``.
    ``unreached`` is the number of boxes that reach no endpoint of a pool, ``reaching`` are some
    boxes that do, for each pool that this one cannot reach, and ``answering`` are the pools from
    which other boxes had recent responses.
    ``settled`` is the version of each pool whose endpoints have, and recently had, no other one;
    ``None`` if the leading control box does not know.
    ``registered_boxes`` is the number of routers in the fleet, as last reported with a lease.
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
    settled: dict[str, str] | None = None

    @property
    def is_cut_off(self) -> bool:
        """Tell whether probably only this box has lost its connection to the control boxes.

        If control boxes answer but there is no leader, all boxes wait for one; a box that has never
        had a lease has just started, perhaps together with all others.
        """
        return self.lease_until_s > float("-inf") and not self.heard_no_leader

    @property
    def configuration(self) -> fleet.FleetConfiguration:
        """The configuration in use; version 0 before the first."""
        return self.tables.configuration

    def with_evacuated(self, evacuated: halls.EvacuatedHalls, now_s: float) -> RouterState:
        """Return the state with these halls evacuated; halls no longer evacuated return now."""
        returned_at_s = {
            hall: at_s for hall, at_s in self.returned_at_s.items() if hall not in evacuated.names
        }
        for hall in self.evacuated.names:
            if hall not in evacuated.names:
                returned_at_s[hall] = now_s
        return attrs.evolve(self, evacuated=evacuated, returned_at_s=returned_at_s)

    def without_expired_returns(self, now_s: float) -> RouterState:
        """Return the state without halls that returned too long ago to have cold endpoints."""
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
        """Whether any endpoint may be cold; a cheap check before `cold_quota`."""
        return bool(self.cold or self.returned_at_s)

    def cold_quota(self, endpoint: membership.Endpoint, now_s: float) -> int | None:
        """Return the quota of an endpoint in requests per second, ``None`` if it is warm."""
        pool = self.tables.pools.get(endpoint.pool)
        if pool is None or not pool.cold_per_s:
            return None
        quota = self.cold.get(endpoint.key)
        if quota is not None:
            return quota if now_s < self.cold_at_s + send_quotas.QUOTA_TTL_S else 0
        returned_at_s = self.returned_at_s.get(endpoint.hall, float("-inf"))
        return 0 if now_s < returned_at_s + send_quotas.RETURNED_HALL_COLD_S else None

    def settled_version(self, pool: str, now_s: float) -> str | None:
        """Return the version that all streams of a pool have, ``None`` if there are several.

        This relies on the leading control box's report; without a recent one no pool is settled.
        ``endpoints`` may have other versions all the same, from a list that this box read itself.
        """
        if self.settled is None or now_s > self.heard_at_s + SETTLED_TTL_S:
            return None
        return self.settled.get(pool)

    def settled_version_asked_after(self, pool: str, asked_at_s: float) -> str | None:
        """Return the version that all streams of a pool have that had begun by ``asked_at_s``.

        ``None`` if there may be several, and if no report was asked for since. Unlike
        `settled_version` this does not depend on how fast this box's clock advances.
        """
        if self.settled is None or self.heard_at_s <= asked_at_s:
            return None
        return self.settled.get(pool)

    def may_be_settled(self, pool: str) -> bool:
        """Tell whether the next report may name a single version of a pool: the last one did."""
        return self.settled is None or pool in self.settled

    def mixed_pools(self) -> list[str] | None:
        """Return the pools of ``endpoints`` that are not settled, ``None`` if that is not known."""
        if self.settled is None:
            return None
        return sorted({each.pool for each in self.endpoints} - self.settled.keys())

    def lease_holds(self, now_s: float) -> bool:
        """Tell whether this box may take work that needs a lease."""
        return now_s < self.lease_until_s

    def may_serve(self, now_s: float) -> bool:
        """Tell whether this box has all that it needs to serve requests."""
        return bool(self.lease_holds(now_s) and self.configuration.version and self.endpoints)
