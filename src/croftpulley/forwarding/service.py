"""Which endpoints of a pool are in service, and the error if none is available."""

from __future__ import annotations

import enum
from collections.abc import Sequence

import attrs

from croftpulley import codes, errors
from croftpulley.controllers import router_state
from croftpulley.core import halls, membership, selection

UNLISTED_RETRY_S = 0.5
"""Retry-After of a box that has no endpoint list yet. It gets one within one or two renewals of
0.25 s each."""


class BlockReason(enum.Enum):
    """Why an endpoint may not be sent requests now; the values are in logs and metrics."""

    UNLISTED = "unlisted"
    LEAVING = "leaving"
    """Listed as shutting down."""
    EVACUATED = "evacuated"
    OTHER_VERSION = "other_version"
    """Its software version is not the one that wrote the stream's first event."""
    WITHDRAWN = "withdrawn"
    """It announced that it needs rest or shuts down."""
    COLD = "cold"
    """It is cold, and this box has used up its quota for it."""


@attrs.frozen
class Members:
    """The endpoints of a pool in the home regions of a request, by key.

    ``by_key`` has all that are listed, ``in_service`` those that may get requests. ``version`` is
    the software version that is required, ``None`` for any.
    """

    by_key: dict[str, membership.Endpoint]
    in_service: dict[str, membership.Endpoint]
    version: str | None = None


class MemberCache:
    """Caches the members of all pools until the endpoint list or the evacuated halls change.

    Concurrent threads may compute the same entry twice, with the same result.
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
        home_regions: frozenset[str] | None,
        version: str | None = None,
    ) -> Members:
        """Return the members in ``home_regions``; in service are only those of ``version``."""
        if self._endpoints is not state.endpoints or self._evacuated is not state.evacuated:
            self._members = {}
            self._endpoints = state.endpoints
            self._evacuated = state.evacuated
        found = self._members.get((pool, home_regions, version))
        if found is None:
            found = self._find_members(state, pool, home_regions, version)
            self._members[pool, home_regions, version] = found
        return found

    def _find_members(
        self,
        state: router_state.RouterState,
        pool: str,
        home_regions: frozenset[str] | None,
        version: str | None,
    ) -> Members:
        of_pool = [each for each in state.endpoints if each.pool == pool]
        by_key = {each.key: each for each in self._regions.filter_by_region(of_pool, home_regions)}
        evacuated = state.evacuated.names
        in_service = {
            key: each
            for key, each in by_key.items()
            if not each.leaving and each.hall not in evacuated and version in (None, each.version)
        }
        return Members(by_key, in_service, version)


def block_reason_by_list(
    members: Members, state: router_state.RouterState, key: str
) -> BlockReason:
    """Return why an endpoint is not in service; for those that are not in ``in_service``."""
    endpoint = members.by_key.get(key)
    if endpoint is None:
        return BlockReason.UNLISTED
    if members.version not in (None, endpoint.version):
        return BlockReason.OTHER_VERSION
    return BlockReason.EVACUATED if endpoint.hall in state.evacuated.names else BlockReason.LEAVING


@attrs.frozen(kw_only=True)
class Survey:
    """The endpoints in service for a request at one moment.

    ``held_tokens`` is how many tokens of the prompt each engine likely has in its cache, including
    engines not in service. An endpoint with ``max_load`` requests or more is not sent this one.
    Brittle endpoints also get no more requests than they have slots.
    """

    state: router_state.RouterState
    members: Members
    held_tokens: dict[str, int]
    candidates: Sequence[selection.Candidate]
    max_load: float
    now_s: float
    is_brittle: bool = False

    def is_full(self, candidate: selection.Candidate) -> bool:
        """Tell whether an endpoint has reached its maximum load for this request."""
        slots = self.members.by_key[candidate.name].slots if self.is_brittle else 0
        max_load = min(self.max_load, slots) if slots else self.max_load
        return candidate.is_full or candidate.load >= max_load

    def is_withdrawn(self, candidate: selection.Candidate) -> bool:
        """Tell whether an endpoint announced that it takes no requests from this box now."""
        return self.now_s < candidate.withdrawn_until_s

    @property
    def available_in_s(self) -> float:
        """The time until the first endpoint takes requests again, by what endpoints announced.

        It is 0 if one takes requests now, and infinite if all shut down or there are none.
        """
        untils_s = (each.withdrawn_until_s for each in self.candidates)
        return max(0.0, min(untils_s, default=float("inf")) - self.now_s)


def no_engine_error(
    state: router_state.RouterState,
    pool: str,
    members: Members,
    required_regions: frozenset[str] | None,
) -> errors.CroftpulleyError:
    """Return the error for a request with no endpoint in service, or none left to try."""
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
    region_suffix = (
        ""
        if required_regions is None
        else f" in {', '.join(sorted(required_regions)) or 'no region'}"
    )
    return errors.CroftpulleyError(
        code, f"pool {pool!r} has no endpoint that may be asked{region_suffix}"
    )
