"""Features of requests that may crash endpoints, as agreed on by the control boxes.

Each router reports which requests an endpoint had when it crashed, and which prompt parts they
share with others: the *features* (`core.fingerprints`) that may have caused the crash. One crash
proves little, as most of the requests were there by chance. A feature that was in flight at two
crashes is a *suspect*: requests with it are tried at one endpoint at a time in the whole fleet.
They get few trials, enough that a request which was there by chance is served, and one that crashes
endpoints is soon refused. A success clears the feature.

Prompt parts are shared, also between unrelated callers. So routers learn of a part from its first
crash on, and any box that sees an endpoint survive it clears it. Once it is refused, two kinds of
requests have a trial of their own: those of a workspace that was in none of the crashes, and those
without some other part that was there each time.

All of this is in the replicated log, so a restart or a new leader gives a request no further
trials. A trial is logged before anything is sent, and counts whether or not its end is reported:
the router may be killed before it reports. Commands carry the wall-clock time, so that all control
boxes compute the same state.

Pure: no I/O and no clock of its own.
"""

from __future__ import annotations

import collections

import attrs

from croftpulley.core import fingerprints, published_suspects, suspect_messages, suspect_rules

MAX_SUSPECTS = 2048
"""Limits memory (1.5 MB per control box and 0.4 MB per router, with three crashes each) and what a
restarted router receives (129 kB)."""
MAX_REMOVALS = 512
"""Most removals kept for incremental updates; a router that is further behind gets everything."""


_ANONYMOUS_ASKER = suspect_messages.Asker()


@attrs.define
class Suspects:
    """All suspects in the replicated state.

    >>> from croftpulley.core import suspect_messages as messages
    >>> suspects = Suspects()
    >>> def crash(incarnation):
    ...     crashes = (messages.Crash("f", "clinic", incarnation),)
    ...     _ = suspects.report(messages.Report(crashes=crashes), 2.0)
    >>> crash("e1"), crash("e2"), crash("e3")
    (None, None, None)
    >>> [suspects.begin_trial("f", trial, 5.0, 2.0).verdict.name for trial in ("t1", "t2", "t1")]
    ['GRANTED', 'BUSY', 'GRANTED']
    >>> crash("e4")
    >>> suspects.begin_trial("f", "t3", 5.0, 9.0)
    TrialAnswer(verdict=<Verdict.REFUSED: 'refused'>, crashes=4, wait_s=3593.0)
    """

    published: published_suspects.PublishedSuspects = attrs.field(
        factory=published_suspects.PublishedSuspects
    )
    _by_fingerprint: dict[str, suspect_rules.Suspect] = attrs.field(factory=dict)
    _published_entries: dict[str, published_suspects.PublishedSuspect] = attrs.field(factory=dict)
    _removals: collections.deque[published_suspects.RemovedSuspect] = attrs.field(
        factory=collections.deque
    )
    _from_revision: int = 0
    _revision: int = 0

    @classmethod
    def restore(cls, suspects: tuple[suspect_rules.Suspect, ...], revision: int) -> Suspects:
        """Restore from what `all` and `revision` of another instance returned."""
        made = cls(revision=revision, from_revision=revision)
        for each in suspects:
            made._by_fingerprint[each.fingerprint] = each
            if each.is_published:
                made._published_entries[each.fingerprint] = published_suspects.PublishedSuspect(
                    revision, each
                )
        made._publish()
        return made

    @property
    def revision(self) -> int:
        """Counts the changes that routers need to know."""
        return self._revision

    def all(self) -> tuple[suspect_rules.Suspect, ...]:
        """Return all features that were in flight at a crash, suspects or not."""
        return tuple(self._by_fingerprint.values())

    def known(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return ``names`` without the prompt parts that no crash is known for; thread-safe."""
        published = {each.suspect.fingerprint for each in self.published.entries}
        return tuple(each for each in names if each in published or not fingerprints.is_part(each))

    def report(
        self, report: suspect_messages.Report, at_wall_s: float
    ) -> tuple[suspect_rules.Suspect, ...]:
        """Apply a router's report; return the suspects that its crashes changed."""
        changed = {}
        for crash in report.crashes:
            before = self._get(crash)
            after = before.crashed(crash, at_wall_s)
            if after != before:
                self._set(after)
                changed[after.fingerprint] = after
        for end in report.trial_ends:
            self._end_trial(end)
        for fingerprint in report.cleared:
            self._remove(fingerprint)
        self._evict(at_wall_s)
        self._publish()
        return tuple(each for each in changed.values() if each.is_suspect)

    def begin_trial(
        self,
        fingerprint: str,
        trial: str,
        limit_s: float,
        at_wall_s: float,
        asker: suspect_messages.Asker = _ANONYMOUS_ASKER,
    ) -> suspect_messages.TrialAnswer:
        """Grant a trial of at most ``limit_s`` if the feature may be tried now.

        Repeating the request of a granted trial, whose response may have been lost, grants it
        again.
        """
        answer = self.verdict(fingerprint, trial, at_wall_s, asker)
        known = self._by_fingerprint.get(fingerprint)
        if (
            answer.verdict is suspect_messages.Verdict.GRANTED
            and known is not None
            and known.trial != trial
        ):
            self._set(known.tried(trial, at_wall_s, limit_s, asker))
            self._publish()
        return answer

    def verdict(
        self,
        fingerprint: str,
        trial: str,
        at_wall_s: float,
        asker: suspect_messages.Asker = _ANONYMOUS_ASKER,
    ) -> suspect_messages.TrialAnswer:
        """Return what `begin_trial` would, without any change; thread-safe.

        Reads `published`: an entry that is being replaced is missing from the dict for a moment.
        """
        known = self.published.find(fingerprint)
        if known is None or not known.is_suspect:
            return suspect_messages.TrialAnswer(suspect_messages.Verdict.FREE)
        if known.trial == trial:
            return suspect_messages.TrialAnswer(suspect_messages.Verdict.GRANTED, known.crashes)
        if known.trial and at_wall_s < known.trial_until_wall_s:
            return suspect_messages.TrialAnswer(
                suspect_messages.Verdict.BUSY, known.crashes, known.trial_until_wall_s - at_wall_s
            )
        cooldown_s = known.cooldown_until_wall_s - at_wall_s
        if cooldown_s > 0 and not known.has_own_trial(asker):
            return suspect_messages.TrialAnswer(
                suspect_messages.Verdict.REFUSED, known.crashes, cooldown_s
            )
        return suspect_messages.TrialAnswer(suspect_messages.Verdict.GRANTED, known.crashes)

    def _get(self, crash: suspect_messages.Crash) -> suspect_rules.Suspect:
        """Return the suspect of a crash, a new one if it is unknown."""
        known = self._by_fingerprint.get(crash.fingerprint)
        return known or suspect_rules.Suspect(
            fingerprint=crash.fingerprint, workspace=crash.workspace
        )

    def _end_trial(self, end: suspect_messages.TrialEnd) -> None:
        """End a trial if it is the one under way."""
        known = self._by_fingerprint.get(end.fingerprint)
        if known is not None and known.trial == end.trial:
            self._set(known.trial_ended(end.was_sent))

    def _set(self, suspect: suspect_rules.Suspect) -> None:
        """Store a suspect as the most recently changed, and publish it if routers need it."""
        name = suspect.fingerprint
        # Re-inserted so that the latest change comes last.
        self._by_fingerprint.pop(name, None)
        self._by_fingerprint[name] = suspect
        if suspect.is_published:
            self._revision += 1
            self._published_entries.pop(name, None)
            self._published_entries[name] = published_suspects.PublishedSuspect(
                self._revision, suspect
            )

    def _remove(self, fingerprint: str) -> None:
        """Remove a feature, and record the removal if routers know of it."""
        self._by_fingerprint.pop(fingerprint, None)
        if self._published_entries.pop(fingerprint, None) is None:
            return
        self._revision += 1
        self._removals.append(published_suspects.RemovedSuspect(self._revision, fingerprint))
        if len(self._removals) > MAX_REMOVALS:
            self._from_revision = self._removals.popleft().revision

    def _evict(self, at_wall_s: float) -> None:
        """Remove expired suspects, then those above the limit."""
        for each in list(self._by_fingerprint.values()):
            if at_wall_s - each.last_crash_wall_s < suspect_rules.SUSPECT_TTL_S:
                break
            self._remove(each.fingerprint)
        excess = len(self._by_fingerprint) - MAX_SUSPECTS
        if excess > 0:
            for fingerprint in self._features_to_evict(excess):
                self._remove(fingerprint)

    def _features_to_evict(self, count: int) -> list[str]:
        """Return the features to evict first, so that no workspace evicts those of another.

        They are taken one by one from the workspace that has most at that time: those with fewest
        crashes first, and the oldest of these first.
        """
        by_workspace: dict[str, list[suspect_rules.Suspect]] = {}
        for each in self._by_fingerprint.values():
            by_workspace.setdefault(each.workspace, []).append(each)
        for kept in by_workspace.values():
            # The sort is stable; features are popped from the end.
            kept.sort(key=lambda each: each.crashes)
            kept.reverse()
        evicted = []
        for _ in range(count):
            largest = max(by_workspace.values(), key=len)
            evicted.append(largest.pop().fingerprint)
        return evicted

    def _publish(self) -> None:
        """Replace the published suspects if anything in them changed."""
        if self.published.revision != self._revision or not self.published.entries:
            self.published = published_suspects.PublishedSuspects(
                self._revision,
                self._from_revision,
                tuple(self._published_entries.values()),
                tuple(self._removals),
            )
