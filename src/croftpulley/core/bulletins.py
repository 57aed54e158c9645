"""The suspects that routers are told of, and how they changed since one was told last; pure."""

from __future__ import annotations

import attrs

from croftpulley.core import suspect_messages, suspect_rules


@attrs.frozen
class Entry:
    """A suspect with the revision that told of it."""

    revision: int
    suspect: suspect_rules.Suspect


@attrs.frozen
class Removal:
    """A suspect that is none any more, with the revision that told so."""

    revision: int
    fingerprint: str


@attrs.frozen
class Bulletin:
    """The suspects that routers are told of; never changed, so any thread may read it.

    ``from_revision`` is the oldest from which changes are still known one by one.
    """

    revision: int = 0
    from_revision: int = 0
    entries: tuple[Entry, ...] = ()
    removals: tuple[Removal, ...] = ()

    def find(self, fingerprint: str) -> suspect_rules.Suspect | None:
        """Return a suspect."""
        found = (each.suspect for each in self.entries if each.suspect.fingerprint == fingerprint)
        return next(found, None)

    def since(self, revision: int, now_wall_s: float) -> suspect_messages.Change | None:
        """Return what changed since a revision, ``None`` if nothing did."""
        if revision == self.revision:
            return None
        is_whole = not self.from_revision <= revision < self.revision
        known = 0 if is_whole else revision
        return suspect_messages.Change(
            revision=self.revision,
            is_whole=is_whole,
            suspects=tuple(
                _told(each.suspect, now_wall_s) for each in self.entries if each.revision > known
            ),
            removed=tuple(
                each.fingerprint for each in self.removals if not is_whole and each.revision > known
            ),
        )


def _told(suspect: suspect_rules.Suspect, now_wall_s: float) -> suspect_messages.Told:
    refused_for_s = max(0.0, suspect.refused_until_wall_s - now_wall_s)
    told = suspect_messages.Told(suspect.fingerprint, suspect.crashes, round(refused_for_s, 1))
    if not suspect.is_part:
        return told
    return attrs.evolve(
        told,
        pools=suspect.pools,
        accused=suspect.accused,
        beside=suspect.beside,
        has_own_trial=suspect.may_be_tried_by_others,
    )
