"""Which endpoints of a pool are in service, and what a caller is told when none may be asked."""

from __future__ import annotations

import enum
from collections.abc import Sequence

import attrs

from croftpulley import codes, errors
from croftpulley.controllers import router_state
from croftpulley.core import halls, membership, selection

UNLISTED_RETRY_S = 0.5
"""When to come back to a box without a list: it has one within a renewal or two, 0.25 s each."""


class Bar(enum.Enum):
    """Why an endpoint may be sent no requests now."""

    UNLISTED = "unlisted"
    LEAVING = "leaving"
    """By the list."""
    EVACUATED = "evacuated"
    OTHER_VERSION = "other_version"
    """Its software is not of the version that wrote the stream's first event."""
    WITHDRAWN = "withdrawn"
    """By its own words: it wants rest, or leaves."""
    COLD = "cold"
    """It is cold, and this box may send it nothing more for now."""


@attrs.frozen
class Members:
    """The endpoints of a pool that requests with the same homes may be asked of, by their keys.

    ``by_key`` has all that are listed, ``in_service`` those that may get requests. ``version`` is
    the one that binds, ``None`` if none does.
    """

    by_key: dict[str, membership.Endpoint]
    in_service: dict[str, membership.Endpoint]
    version: str | None = None


class Service:
    """The members of all pools, looked up once for each list and evacuation, not at each request.

    Threads that look up at the same time do so twice; what they come to is the same.
    """

    def __init__(self, regions: halls.HallRegions) -> None:
        self._regions = regions
        self._endpoints: tuple[membership.Endpoint, ...] = ()
        self._evacuated = halls.EvacuatedHalls()
        self._members: dict[tuple[str, frozenset[str] | None, str | None], Members] = {}

    def members(
        self,
        state: router_state.RouterState,
        pool: str,
        homes: frozenset[str] | None,
        version: str | None = None,
    ) -> Members:
        """Return the members of a pool for requests that run in ``homes``, at ``version``, only."""
        if self._endpoints is not state.endpoints or self._evacuated is not state.evacuated:
            self._members = {}
            self._endpoints = state.endpoints
            self._evacuated = state.evacuated
        found = self._members.get((pool, homes, version))
        if found is None:
            found = self._look_up(state, pool, homes, version)
            self._members[pool, homes, version] = found
        return found

    def _look_up(
        self,
        state: router_state.RouterState,
        pool: str,
        homes: frozenset[str] | None,
        version: str | None,
    ) -> Members:
        of_pool = [each for each in state.endpoints if each.pool == pool]
        by_key = {each.key: each for each in self._regions.filter_by_region(of_pool, homes)}
        evacuated = state.evacuated.names
        in_service = {
            key: each
            for key, each in by_key.items()
            if not each.leaving and each.hall not in evacuated and version in (None, each.version)
        }
        return Members(by_key, in_service, version)


def bar_by_list(members: Members, state: router_state.RouterState, key: str) -> Bar:
    """Return why an endpoint is not among those in service."""
    endpoint = members.by_key.get(key)
    if endpoint is None:
        return Bar.UNLISTED
    if members.version not in (None, endpoint.version):
        return Bar.OTHER_VERSION
    return Bar.EVACUATED if endpoint.hall in state.evacuated.names else Bar.LEAVING


@attrs.frozen(kw_only=True)
class Survey:
    """The endpoints in service for a request at one moment.

    ``held_tokens`` is what each engine likely holds of its prompt, those not in service too, and
    ``most_load`` how many requests one may have for this one to go there. Where endpoints are
    brittle none gets more than it runs at once.
    """

    state: router_state.RouterState
    members: Members
    held_tokens: dict[str, int]
    candidates: Sequence[selection.Candidate]
    most_load: float
    now_s: float
    is_brittle: bool = False

    def is_full(self, candidate: selection.Candidate) -> bool:
        """Tell whether an endpoint has as many requests as it should have."""
        slots = self.members.by_key[candidate.name].slots if self.is_brittle else 0
        most_load = min(self.most_load, slots) if slots else self.most_load
        return candidate.is_full or candidate.load >= most_load

    def is_withdrawn(self, candidate: selection.Candidate) -> bool:
        """Tell whether an endpoint wants no requests from this box, by its own words."""
        return self.now_s < candidate.withdrawn_until_s

    @property
    def opens_in_s(self) -> float:
        """When the first of the endpoints takes requests by its own words.

        That is 0 where one does now, and infinite where all leave or there is none.
        """
        untils_s = (each.withdrawn_until_s for each in self.candidates)
        return max(0.0, min(untils_s, default=float("inf")) - self.now_s)


def no_engine(
    state: router_state.RouterState,
    pool: str,
    members: Members,
    homes_bind: frozenset[str] | None,
) -> errors.CroftpulleyError:
    """Make the refusal of a request for which nobody is in service, or nobody is left to ask."""
    code = codes.ResultCode.NO_ENGINE
    if not state.endpoints:
        return errors.CroftpulleyError(
            code, "this box has no list of endpoints yet", retry_after_s=UNLISTED_RETRY_S
        )
    if members.version is not None:
        return errors.CroftpulleyError(
            code,
            f"pool {pool!r} has no endpoint that may be asked of version {members.version!r}, "
            "which began the stream",
        )
    in_halls = {each.hall for each in members.by_key.values()}
    evacuated = sorted(in_halls & set(state.evacuated.names))
    if evacuated:
        return errors.CroftpulleyError(
            code, f"pool {pool!r} has no endpoint but in evacuated halls: {', '.join(evacuated)}"
        )
    where = "" if homes_bind is None else f" in {', '.join(sorted(homes_bind)) or 'no region'}"
    return errors.CroftpulleyError(code, f"pool {pool!r} has no endpoint that may be asked{where}")
