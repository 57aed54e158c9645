"""Loads that other boxes put on endpoints, computed once per renewal for all requests."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from croftpulley.controllers import router_state
from croftpulley.core import membership, selection

_FOREVER_S = float("inf")


@attrs.frozen
class RemotePoolLoads:
    """A pool's endpoints as candidates with the loads of other boxes, as of the last renewal.

    ``members`` are the endpoints by key; ``prefilling`` are the keys of those that had prompt
    tokens of other boxes to prefill.
    """

    members: Mapping[str, membership.Endpoint]
    candidates: tuple[selection.Candidate, ...]
    prefilling: frozenset[str]

    @classmethod
    def from_state(
        cls, members: Mapping[str, membership.Endpoint], state: router_state.RouterState
    ) -> RemotePoolLoads:
        """Return the loads of all boxes at these endpoints less those of this box."""
        loads = _subtract_own(state.loads, state.own_loads)
        reading = _subtract_own(state.reading_tokens, state.own_reading_tokens)
        candidates = tuple(
            selection.Candidate(
                name=key,
                hall=each.hall,
                load=loads.get(key, 0),
                # An endpoint that is held off is avoided until the hold is lifted.
                avoid_until_s=_FOREVER_S if key in state.held_off else -_FOREVER_S,
                reading_tokens=reading.get(key, 0),
            )
            for key, each in members.items()
        )
        return cls(members, candidates, frozenset(reading))


@attrs.frozen
class _StateCache:
    """The loads computed from one state, by the ``id`` of the mapping of endpoints.

    Each entry holds a reference to its mapping, so that the ``id`` is not reused. Two threads may
    compute the same entry; both results are equal.
    """

    state: router_state.RouterState
    by_members: dict[int, RemotePoolLoads] = attrs.field(factory=dict)


class RemoteLoadCache:
    """Caches `RemotePoolLoads` for each pool until the state changes with the next renewal."""

    def __init__(self) -> None:
        self._cache = _StateCache(router_state.RouterState())

    def for_pool(
        self, members: Mapping[str, membership.Endpoint], state: router_state.RouterState
    ) -> RemotePoolLoads:
        """Return the loads of other boxes at these endpoints, computed once for each mapping."""
        cache = self._cache
        if cache.state is not state:
            cache = self._cache = _StateCache(state)
        loads = cache.by_members.get(id(members))
        if loads is None:
            loads = cache.by_members[id(members)] = RemotePoolLoads.from_state(members, state)
        return loads


def _subtract_own(fleet_counts: Mapping[str, int], own_counts: Mapping[str, int]) -> dict[str, int]:
    """Return the counts of other boxes; endpoints without any are left out."""
    rest = {key: count - own_counts.get(key, 0) for key, count in fleet_counts.items()}
    return {key: count for key, count in rest.items() if count > 0}
