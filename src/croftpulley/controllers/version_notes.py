"""The leading control box's side of versions: what is listed goes into the agreed state first."""

from __future__ import annotations

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import agreement, listing
from croftpulley.core import membership, pool_versions, replicated_state, versions

PROPOSED_AGAIN_S = 0.5
"""After so long without a result what is listed is proposed again."""


@attrs.frozen
class _Agreed:
    """The part of a list that boxes may be told of, by what it was made from.

    ``is_noted`` tells whether the replicated state says what the list says.
    """

    listed: listing.Listing
    known: pool_versions.PoolVersions
    told: listing.Listing
    is_noted: bool


class VersionNotes:
    """Used by the session controller alone."""

    def __init__(self, log: agreement.CommandLog, clock: clocks.Clock) -> None:
        self._command_log = log
        self._clock = clock
        self._proposed_at_s = float("-inf")
        nothing = listing.Listing()
        self._agreed = _Agreed(nothing, pool_versions.PoolVersions(), nothing, is_noted=True)

    def note(self, listed: listing.Listing) -> None:
        """Have the replicated state say which versions are listed, if it says something else."""
        if not listed.endpoints.value:
            # An empty list is told to nobody either.
            return
        now_s = self._clock.monotonic_s()
        if now_s < self._proposed_at_s + PROPOSED_AGAIN_S or self._made(listed).is_noted:
            return
        self._proposed_at_s = now_s
        found = _versions_of(listed)
        self._command_log.propose(
            replicated_state.NoteVersions(tuple(sorted(found)), self._clock.wall_s())
        )

    def agreed_part(self, listed: listing.Listing) -> listing.Listing:
        """Return a list without endpoints whose version is not in the replicated state yet."""
        return self._made(listed).told

    def mixed(self) -> tuple[str, ...]:
        """Return the pools of which streams of several versions may be taken up."""
        return self._known().mixed(self._clock.wall_s())

    def _known(self) -> pool_versions.PoolVersions:
        return self._command_log.read().pool_versions

    def _made(self, listed: listing.Listing) -> _Agreed:
        """Return what is made of a list; once for each list and state, not at each renewal."""
        known = self._known()
        if self._agreed.listed is not listed or self._agreed.known is not known:
            found = _versions_of(listed)
            told = _part(listed, found, known)
            self._agreed = _Agreed(listed, known, told, is_noted=not known.differs_from(found))
        return self._agreed


def _version_of(endpoint: membership.Endpoint) -> pool_versions.PoolVersion:
    return pool_versions.PoolVersion(endpoint.pool, endpoint.version)


def _versions_of(listed: listing.Listing) -> frozenset[pool_versions.PoolVersion]:
    return frozenset(map(_version_of, listed.endpoints.value))


def _part(
    listed: listing.Listing,
    found: frozenset[pool_versions.PoolVersion],
    known: pool_versions.PoolVersions,
) -> listing.Listing:
    """Return a list without endpoints whose version is not known."""
    in_state = {each.pool_version for each in known.entries}
    if found <= in_state:
        return listed
    kept = tuple(each for each in listed.endpoints.value if _version_of(each) in in_state)
    return attrs.evolve(listed, endpoints=versions.Versioned(kept))
