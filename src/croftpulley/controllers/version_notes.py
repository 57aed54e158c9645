"""Versions at the leading control box: a listed version enters the replicated state first."""

from __future__ import annotations

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import agreement, listing
from croftpulley.core import membership, pool_versions, replicated_state, versions

PROPOSAL_RETRY_S = 0.5
"""A proposal without a result is repeated after this long."""


@attrs.frozen
class _CommittedList:
    """A list's endpoints of committed versions, cached with what they were derived from.

    ``is_noted`` tells whether the replicated state has the versions of the list.
    """

    listed: listing.Listing
    known: pool_versions.PoolVersions
    committed: listing.Listing
    is_noted: bool


class VersionNotes:
    """Commits listed versions to the log and hides endpoints whose version is not committed yet.

    Not thread-safe: used by the session controller alone.
    """

    def __init__(self, log: agreement.CommandLog, clock: clocks.Clock) -> None:
        self._command_log = log
        self._clock = clock
        self._proposed_at_s = float("-inf")
        nothing = listing.Listing()
        self._cached = _CommittedList(nothing, pool_versions.PoolVersions(), nothing, is_noted=True)
        self._recent = pool_versions.RecentVersions()
        self._seen = nothing

    def note(self, listed: listing.Listing) -> None:
        """Propose the listed versions if the replicated state has others."""
        if not listed.endpoints.value:
            # An empty list is not sent to boxes either.
            return
        if self._seen is not listed:
            self._seen = listed
            self._recent.saw(_versions_of(listed), listed.read_at_s)
        now_s = self._clock.monotonic_s()
        if now_s < self._proposed_at_s + PROPOSAL_RETRY_S or self._derive(listed).is_noted:
            return
        self._proposed_at_s = now_s
        found = _versions_of(listed)
        self._command_log.propose(
            replicated_state.NoteVersions(tuple(sorted(found)), self._clock.wall_s())
        )

    def committed_part(self, listed: listing.Listing) -> listing.Listing:
        """Return a list without endpoints whose version is not in the replicated state yet."""
        return self._derive(listed).committed

    def settled(self) -> dict[str, str]:
        """Return the version of each pool whose streams that callers may resume all have it."""
        known = self._known().settled(self._clock.wall_s())
        return self._recent.without_mixed(known, self._clock.monotonic_s())

    def _known(self) -> pool_versions.PoolVersions:
        return self._command_log.read().pool_versions

    def _derive(self, listed: listing.Listing) -> _CommittedList:
        """Return what is derived from a list; computed once per list and state."""
        known = self._known()
        if self._cached.listed is not listed or self._cached.known is not known:
            found = _versions_of(listed)
            committed = _without_unknown_versions(listed, found, known)
            self._cached = _CommittedList(
                listed, known, committed, is_noted=not known.differs_from(found)
            )
        return self._cached


def _version_of(endpoint: membership.Endpoint) -> pool_versions.PoolVersion:
    return pool_versions.PoolVersion(endpoint.pool, endpoint.version)


def _versions_of(listed: listing.Listing) -> frozenset[pool_versions.PoolVersion]:
    return frozenset(map(_version_of, listed.endpoints.value))


def _without_unknown_versions(
    listed: listing.Listing,
    found: frozenset[pool_versions.PoolVersion],
    known: pool_versions.PoolVersions,
) -> listing.Listing:
    """Return a list without the endpoints whose version is not in ``known``."""
    in_state = {each.pool_version for each in known.entries}
    if found <= in_state:
        return listed
    kept = tuple(each for each in listed.endpoints.value if _version_of(each) in in_state)
    return attrs.evolve(listed, endpoints=versions.Versioned(kept))
