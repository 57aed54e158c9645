"""Look-up of a request's route and choice of a pool of that route."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import tables
from croftpulley.settings import fleet


def route(name, host, prefix):
    return fleet.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=fleet.RouteKind.ONCE,
        shares=(fleet.Share(pool="p"),),
        time_limit_ms=1.0,
    )


class TestRouteTable:
    """Look-up by host and longest path prefix."""

    @given(st.lists(st.sampled_from(["a", "b", "ab"]), max_size=5))
    def test_the_longest_prefix_is_found_among_many(self, segments):
        prefixes = ["/", "/a/", "/a/b/", "/ab/", "/b/a/b/"]
        routes = tuple(route(prefix, "h", prefix) for prefix in prefixes)
        path = "/" + "/".join(segments)
        expected = max((each for each in prefixes if path.startswith(each)), key=len)
        found = tables.RouteTable(routes).find("h", path)
        assert found is not None
        assert found.name == expected

    def test_unknown_host_has_no_route(self):
        assert tables.RouteTable((route("a", "h", "/"),)).find("i", "/") is None

    def test_pools_get_requests_in_proportion_to_their_weights(self):
        shares = (fleet.Share(pool="a", weight=9), fleet.Share(pool="b", weight=1))
        split = fleet.Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=fleet.RouteKind.ONCE,
            shares=shares,
            time_limit_ms=1.0,
        )
        pools = [tables.pool_for(split, f"request-{n}") for n in range(1000)]
        assert 70 <= pools.count("b") <= 130
