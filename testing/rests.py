"""What endpoints may get that asked for rest or said that they leave, judged from what they saw."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from croftpulley.fakes import forwarded

GRACE_S = 0.5
"""Requests under way when the endpoint asked may arrive for so long."""
MOST_LATE = 2
"""Arrivals that users bear between that and the end of the rest."""
DRAIN_S = 3.0
"""How long after a router has heard that an endpoint leaves its requests may still arrive there."""
Excuse = Callable[[str, float, float], bool]
"""Tells whether a router was not left alone between two times, by its name."""


def no_excuse(router: str, since_s: float, until_s: float) -> bool:
    """Stand where all was calm."""
    return False


@attrs.frozen
class BrokenRest:
    """A rest in which a router sent more than it may."""

    router: str
    asked_at_s: float
    rest_s: float
    arrivals: int


def broken(
    endpoint: forwarded.ForwardedEndpoint,
    router_of: Callable[[str], str],
    is_excused: Excuse = no_excuse,
) -> list[BrokenRest]:
    """Return the rests of an endpoint that were broken, with the router that broke each.

    ``router_of`` tells which router a request was sent to, by its id. An arrival does not count
    where the router is excused between the moment when it was asked for rest and that one.
    """
    arrived: dict[str, list[float]] = {}
    for each in endpoint.arrivals:
        arrived.setdefault(router_of(each.request_id), []).append(each.at_s)
    found = []
    for rest in endpoint.rests:
        router = router_of(rest.request_id)
        late = sum(
            rest.at_s + GRACE_S < at_s < rest.at_s + rest.rest_s
            and not is_excused(router, rest.at_s, at_s)
            for at_s in arrived.get(router, ())
        )
        if late > MOST_LATE:
            found.append(BrokenRest(router, rest.at_s, rest.rest_s, late))
    return found


def sent_to_leaving(
    endpoint: forwarded.ForwardedEndpoint,
    router_of: Callable[[str], str],
    is_excused: Excuse = no_excuse,
) -> list[tuple[str, float]]:
    """Return the routers that sent to an endpoint long after it told them that it leaves, and how
    long after; excused as for rests.
    """
    told_s: dict[str, float] = {}
    for each in endpoint.told_leaving:
        told_s.setdefault(router_of(each.request_id), each.at_s)
    found = []
    for each in endpoint.arrivals:
        router = router_of(each.request_id)
        since_s = told_s.get(router, float("inf"))
        if each.at_s > since_s + DRAIN_S and not is_excused(router, since_s, each.at_s):
            found.append((router, each.at_s - since_s))
    return found
