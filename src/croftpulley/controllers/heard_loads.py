"""What the last renewal told of endpoints' loads, made ready for all requests until the next."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from croftpulley.controllers import router_state
from croftpulley.core import membership, selection

_FOREVER_S = float("inf")


@attrs.frozen
class HeardOfPool:
    """The endpoints in service as the last renewal told of them, without what is this box's own.

    ``reads`` are those that then had prompts of others to read.
    """

    members: Mapping[str, membership.Endpoint]
    candidates: tuple[selection.Candidate, ...]
    reads: frozenset[str]

    @classmethod
    def of(
        cls, members: Mapping[str, membership.Endpoint], state: router_state.RouterState
    ) -> HeardOfPool:
        """Take the others' part of what all boxes have at each endpoint."""
        loads = _others(state.loads, state.own_loads)
        reading = _others(state.reading_tokens, state.own_reading_tokens)
        candidates = tuple(
            selection.Candidate(
                name=key,
                hall=each.hall,
                load=loads.get(key, 0),
                # An endpoint that is held off is avoided until that is lifted.
                avoid_until_s=_FOREVER_S if key in state.held_off else -_FOREVER_S,
                reading_tokens=reading.get(key, 0),
            )
            for key, each in members.items()
        )
        return cls(members, candidates, frozenset(reading))


@attrs.frozen
class _Heard:
    """What one renewal told, by the identity of the endpoints that it is about.

    Each entry holds them, so that no other takes their identity. Threads may add the same entry
    twice.
    """

    state: router_state.RouterState
    by_members: dict[int, HeardOfPool] = attrs.field(factory=dict)


class HeardLoads:
    """What was told of each pool, kept until a renewal tells anew."""

    def __init__(self) -> None:
        self._heard = _Heard(router_state.RouterState())

    def of(
        self, members: Mapping[str, membership.Endpoint], state: router_state.RouterState
    ) -> HeardOfPool:
        """Return what a renewal told of these endpoints, made once for each pool."""
        known = self._heard
        if known.state is not state:
            known = self._heard = _Heard(state)
        found = known.by_members.get(id(members))
        if found is None:
            found = known.by_members[id(members)] = HeardOfPool.of(members, state)
        return found


def _others(of_all: Mapping[str, int], own: Mapping[str, int]) -> dict[str, int]:
    """Return what other boxes have, where that is anything."""
    rest = {key: count - own.get(key, 0) for key, count in of_all.items()}
    return {key: count for key, count in rest.items() if count > 0}
