"""The suspects published to routers, and what changed since a revision; pure."""

from __future__ import annotations

import attrs

from croftpulley.core import suspect_messages, suspect_rules


@attrs.frozen
class PublishedSuspect:
    """A published suspect and the revision that last changed it."""

    revision: int
    suspect: suspect_rules.Suspect


@attrs.frozen
class RemovedSuspect:
    """A fingerprint that is no longer suspect, and the revision that removed it."""

    revision: int
    fingerprint: str


@attrs.frozen
class PublishedSuspects:
    """The suspects published to routers; immutable, so any thread may read it.

    ``oldest_revision`` is the oldest revision from which single changes are still known; a router
    with an older revision gets all suspects.
    """

    revision: int = 0
    oldest_revision: int = 0
    entries: tuple[PublishedSuspect, ...] = ()
    removals: tuple[RemovedSuspect, ...] = ()

    def find(self, fingerprint: str) -> suspect_rules.Suspect | None:
        """Return the suspect with this fingerprint, or ``None``."""
        found = (each.suspect for each in self.entries if each.suspect.fingerprint == fingerprint)
        return next(found, None)

    def changes_since(
        self, revision: int, now_wall_s: float
    ) -> suspect_messages.SuspectsUpdate | None:
        """Return the changes after a revision, or ``None`` if there are none.

        All suspects are returned, with ``is_whole`` set, where the single changes are not known.
        """
        if revision == self.revision:
            return None
        is_whole = not self.oldest_revision <= revision < self.revision
        known = 0 if is_whole else revision
        return suspect_messages.SuspectsUpdate(
            revision=self.revision,
            is_whole=is_whole,
            suspects=tuple(
                _to_message(each.suspect, now_wall_s)
                for each in self.entries
                if each.revision > known
            ),
            removed=tuple(
                each.fingerprint for each in self.removals if not is_whole and each.revision > known
            ),
        )


def _to_message(
    suspect: suspect_rules.Suspect, now_wall_s: float
) -> suspect_messages.SuspectSummary:
    refused_for_s = max(0.0, suspect.refused_until_wall_s - now_wall_s)
    message = suspect_messages.SuspectSummary(
        suspect.fingerprint, suspect.crashes, round(refused_for_s, 1)
    )
    if not suspect.is_part:
        return message
    return attrs.evolve(
        message,
        pools=suspect.pools,
        accused=suspect.accused,
        beside=suspect.beside,
        has_own_trial=suspect.has_trial_for_unaccused,
    )
