"""The leading control box's side of versions: what is listed goes into the agreed state first."""

from __future__ import annotations

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import agreement, listing
from croftpulley.core import agreed, pool_versions, versions

PROPOSED_AGAIN_S = 0.5
"""After so long without a result what is listed is proposed again."""


@attrs.frozen
class _Agreed:
    """The part of a list that boxes may be told of, by what it was made from."""

    listed: listing.Listing
    known: pool_versions.PoolVersions
    told: listing.Listing


class VersionNotes:
    """Used by the session controller alone."""

    def __init__(self, log: agreement.Agreement, clock: clocks.Clock) -> None:
        self._agreement = log
        self._clock = clock
        self._proposed_at_s = float("-inf")
        self._listed = listing.Listing()
        self._versions: frozenset[pool_versions.PoolVersion] = frozenset()
        self._agreed = _Agreed(self._listed, pool_versions.PoolVersions(), self._listed)

    def note(self, listed: listing.Listing) -> None:
        """Have the agreed state say which versions are listed, if it says something else."""
        if not listed.endpoints.value:
            # An empty list is told to nobody either.
            return
        found = self._versions_of(listed)
        now_s = self._clock.monotonic_s()
        if now_s < self._proposed_at_s + PROPOSED_AGAIN_S or not self._known().lacks(found):
            return
        self._proposed_at_s = now_s
        self._agreement.propose(agreed.NoteVersions(tuple(sorted(found)), self._clock.wall_s()))

    def agreed_part(self, listed: listing.Listing) -> listing.Listing:
        """Return a list without endpoints whose version is not in the agreed state yet."""
        known = self._known()
        if self._agreed.listed is not listed or self._agreed.known is not known:
            self._agreed = _Agreed(listed, known, self._part(listed, known))
        return self._agreed.told

    def mixed(self) -> tuple[str, ...]:
        """Return the pools of which streams of several versions may be taken up."""
        return self._known().mixed(self._clock.wall_s())

    def _known(self) -> pool_versions.PoolVersions:
        return self._agreement.read().pool_versions

    def _versions_of(self, listed: listing.Listing) -> frozenset[pool_versions.PoolVersion]:
        if self._listed is not listed:
            self._listed = listed
            self._versions = frozenset(
                pool_versions.PoolVersion(each.pool, each.version)
                for each in listed.endpoints.value
            )
        return self._versions

    def _part(self, listed: listing.Listing, known: pool_versions.PoolVersions) -> listing.Listing:
        in_state = {each.pool_version for each in known.entries}
        if self._versions_of(listed) <= in_state:
            return listed
        kept = tuple(
            each
            for each in listed.endpoints.value
            if pool_versions.PoolVersion(each.pool, each.version) in in_state
        )
        return attrs.evolve(listed, endpoints=versions.Versioned(kept))
