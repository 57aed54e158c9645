"""Look-up tables of a configuration: routes by host and path, workspaces by key.

A look-up takes time proportional to the segments of the path, not to the number of routes.
"""

from __future__ import annotations

import xxhash

from croftpulley.policy import arms
from croftpulley.settings import fleet


class RouteTable:
    """Finds the route of a request by host and longest path prefix.

    >>> slow = fleet.Route(name="a", host="x", path_prefix="/", kind=fleet.RouteKind.ONCE,
    ...                    shares=(), time_limit_ms=1.0)
    >>> fast = fleet.Route(name="b", host="x", path_prefix="/p/", kind=fleet.RouteKind.ONCE,
    ...                    shares=(), time_limit_ms=1.0)
    >>> table = RouteTable((slow, fast))
    >>> [table.find(host, path).name for host, path in (("X:80", "/p/1"), ("x", "/p"))]
    ['b', 'a']
    """

    def __init__(self, routes: tuple[fleet.Route, ...]) -> None:
        self._by_host: dict[str, dict[str, fleet.Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> fleet.Route | None:
        """Return the route with the longest prefix of ``path``, or ``None``.

        A port in ``host`` is ignored.
        """
        name = host.lower()
        prefixes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class LookupTables:
    """All look-up tables of one configuration."""

    def __init__(self, configuration: fleet.FleetConfiguration) -> None:
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self.pools = {pool.name: pool for pool in configuration.pools}
        self.workspaces = {
            key: workspace for workspace in configuration.workspaces for key in workspace.keys
        }
        self._home_regions = _home_regions_by_host(configuration.routes)
        self.split_pools = frozenset(
            share.pool
            for route in configuration.routes
            if route.is_resumable_stream and route.is_split
            for share in route.shares
        )
        """Pools of resumable streams whose route sends requests to several pools."""
        self.arms = arms.Arms(tuple(fleet.compile_arm(arm) for arm in configuration.arms))

    def home_regions_of_host(self, host: str) -> frozenset[str]:
        """Return the home regions of all routes of a host, or an empty set."""
        return self._home_regions.get(host.lower().partition(":")[0], frozenset())

    @property
    def requires_key(self) -> bool:
        """Whether routes that aren't open require a key."""
        return bool(self.configuration.workspaces)

    @property
    def can_serve_without_lease(self) -> bool:
        """Whether a box without a lease may serve any requests: those that require no key."""
        return not self.requires_key or any(route.open for route in self.configuration.routes)


def _home_regions_by_host(routes: tuple[fleet.Route, ...]) -> dict[str, frozenset[str]]:
    homes: dict[str, frozenset[str]] = {}
    for route in routes:
        if route.home_regions:
            host = route.host.lower()
            homes[host] = homes.get(host, frozenset()) | frozenset(route.home_regions)
    return homes


def pool_for(route: fleet.Route, request_id: str) -> str:
    """Return the pool for a request, chosen by a hash of its id in proportion to the weights.

    Raises ``ValueError`` if no share of the route has a weight.
    """
    total = sum(share.weight for share in route.shares)
    position = xxhash.xxh3_64_intdigest(request_id.encode()) % total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.pool
    raise ValueError(f"route {route.name!r} has no share with a weight")
