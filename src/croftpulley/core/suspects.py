"""Requests and parts of prompts under which endpoints ended, as all control boxes agree on; pure.

Every router reports which requests an endpoint had when it ended, and which parts their prompts
share with others: the *features* (`core.fingerprints`) that may have ended it. One end says little:
what merely ran there is among them. So a feature that two endpoints ended under is a *suspect*:
requests with it are tried at one endpoint at a time in the whole fleet, and get so few trials that
whoever was only unlucky is served, and whoever ends endpoints is soon refused. A success clears it.

A part is shared, by callers too, and those who have it may have nothing to do with each other. So
it is told from the first end on, for any box that sees it survive to clear it; once it is refused,
a workspace under whose requests none ended, and a request without some other part that was there
each time, have a trial of their own.

All of it is in the replicated log: no restart, and no new leader, gives a request its first chances
again. A trial is in the log before anything is sent, and counts whether or not its end is heard of:
the router may be killed with what it met. Commands carry the time of day, so that each box comes to
the same.
"""

from __future__ import annotations

import collections

import attrs

from croftpulley.core import bulletins, fingerprints, suspect_messages, suspect_rules

MOST_SUSPECTS = 2048
"""Bounds memory (1.5 MB a control box, 0.4 MB a router, with three ends each) and what a router
that has just started is told (129 kB)."""
MOST_REMOVED = 512
"""Removals that are kept to be told; a router that lacks more is told all."""


_ANYBODY = suspect_messages.Asker()


@attrs.define
class Suspects:
    """All suspects of the agreed state.

    >>> from croftpulley.core import suspect_messages as messages
    >>> suspects = Suspects()
    >>> def crash(life):
    ...     crashes = (messages.Crash("f", "clinic", life),)
    ...     _ = suspects.report(messages.Report(crashes=crashes), 2.0)
    >>> crash("e1"), crash("e2"), crash("e3")
    (None, None, None)
    >>> [suspects.begin_trial("f", trial, 5.0, 2.0).verdict.name for trial in ("t1", "t2", "t1")]
    ['GRANTED', 'BUSY', 'GRANTED']
    >>> crash("e4")
    >>> suspects.begin_trial("f", "t3", 5.0, 9.0)
    TrialAnswer(verdict=<Verdict.REFUSED: 'refused'>, crashes=4, wait_s=3593.0)
    """

    bulletin: bulletins.Bulletin = attrs.field(factory=bulletins.Bulletin)
    _by_fingerprint: dict[str, suspect_rules.Suspect] = attrs.field(factory=dict)
    _told: dict[str, bulletins.Entry] = attrs.field(factory=dict)
    _removals: collections.deque[bulletins.Removal] = attrs.field(factory=collections.deque)
    _from_revision: int = 0
    _revision: int = 0

    @classmethod
    def of(cls, suspects: tuple[suspect_rules.Suspect, ...], revision: int) -> Suspects:
        """Make them from what `all` and `revision` of others returned."""
        made = cls(revision=revision, from_revision=revision)
        for each in suspects:
            made._by_fingerprint[each.fingerprint] = each
            if each.is_told:
                made._told[each.fingerprint] = bulletins.Entry(revision, each)
        made._publish()
        return made

    @property
    def revision(self) -> int:
        """Grows with each change of what routers are told."""
        return self._revision

    def all(self) -> tuple[suspect_rules.Suspect, ...]:
        """Return every suspect, and those under which one endpoint ended."""
        return tuple(self._by_fingerprint.values())

    def known(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Leave out the parts against which nothing speaks; any thread may ask."""
        told = {each.suspect.fingerprint for each in self.bulletin.entries}
        return tuple(each for each in names if each in told or not fingerprints.is_part(each))

    def report(
        self, report: suspect_messages.Report, at_wall_s: float
    ) -> tuple[suspect_rules.Suspect, ...]:
        """Take a router's report; return what it changed of those that routers are told of."""
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
        self._forget(at_wall_s)
        self._publish()
        return tuple(each for each in changed.values() if each.is_suspect)

    def begin_trial(
        self,
        fingerprint: str,
        trial: str,
        limit_s: float,
        at_wall_s: float,
        asker: suspect_messages.Asker = _ANYBODY,
    ) -> suspect_messages.TrialAnswer:
        """Grant a trial that lasts ``limit_s`` at most, if the request may be tried now.

        The same trial asked for again, since the answer was lost, is granted again.
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
        asker: suspect_messages.Asker = _ANYBODY,
    ) -> suspect_messages.TrialAnswer:
        """Return what `begin_trial` would; changes nothing, and any thread may ask.

        It reads the bulletin: what is being changed lacks the entry for a moment.
        """
        known = self.bulletin.find(fingerprint)
        if known is None or not known.is_suspect:
            return suspect_messages.TrialAnswer(suspect_messages.Verdict.FREE)
        if known.trial == trial:
            return suspect_messages.TrialAnswer(suspect_messages.Verdict.GRANTED, known.crashes)
        if known.trial and at_wall_s < known.trial_until_wall_s:
            return suspect_messages.TrialAnswer(
                suspect_messages.Verdict.BUSY, known.crashes, known.trial_until_wall_s - at_wall_s
            )
        rests_s = known.rests_until_wall_s - at_wall_s
        if rests_s > 0 and not known.has_own_trial(asker):
            return suspect_messages.TrialAnswer(
                suspect_messages.Verdict.REFUSED, known.crashes, rests_s
            )
        return suspect_messages.TrialAnswer(suspect_messages.Verdict.GRANTED, known.crashes)

    def _get(self, crash: suspect_messages.Crash) -> suspect_rules.Suspect:
        known = self._by_fingerprint.get(crash.fingerprint)
        return known or suspect_rules.Suspect(
            fingerprint=crash.fingerprint, workspace=crash.workspace
        )

    def _end_trial(self, end: suspect_messages.TrialEnd) -> None:
        known = self._by_fingerprint.get(end.fingerprint)
        if known is not None and known.trial == end.trial:
            self._set(known.trial_over(end.was_sent))

    def _set(self, suspect: suspect_rules.Suspect) -> None:
        name = suspect.fingerprint
        # The last one to change comes last.
        self._by_fingerprint.pop(name, None)
        self._by_fingerprint[name] = suspect
        if suspect.is_told:
            self._revision += 1
            self._told.pop(name, None)
            self._told[name] = bulletins.Entry(self._revision, suspect)

    def _remove(self, fingerprint: str) -> None:
        self._by_fingerprint.pop(fingerprint, None)
        if self._told.pop(fingerprint, None) is None:
            return
        self._revision += 1
        self._removals.append(bulletins.Removal(self._revision, fingerprint))
        if len(self._removals) > MOST_REMOVED:
            self._from_revision = self._removals.popleft().revision

    def _forget(self, at_wall_s: float) -> None:
        """Drop what is old, and what is too much: of the workspace that has most of them."""
        for each in list(self._by_fingerprint.values()):
            if at_wall_s - each.last_crash_wall_s < suspect_rules.KEPT_S:
                break
            self._remove(each.fingerprint)
        excess = len(self._by_fingerprint) - MOST_SUSPECTS
        if excess > 0:
            for fingerprint in self._least_missed(excess):
                self._remove(fingerprint)

    def _least_missed(self, count: int) -> list[str]:
        """Return those to forget first, so that no workspace drives out another's.

        Of the workspace that has most, one by one: first those under which fewest endpoints ended,
        the oldest of these first.
        """
        by_workspace: dict[str, list[suspect_rules.Suspect]] = {}
        for each in self._by_fingerprint.values():
            by_workspace.setdefault(each.workspace, []).append(each)
        for kept in by_workspace.values():
            # Sorting keeps the order of those that are alike; the last one is taken first.
            kept.sort(key=lambda each: each.crashes)
            kept.reverse()
        gone = []
        for _ in range(count):
            largest = max(by_workspace.values(), key=len)
            gone.append(largest.pop().fingerprint)
        return gone

    def _publish(self) -> None:
        if self.bulletin.revision != self._revision or not self.bulletin.entries:
            self.bulletin = bulletins.Bulletin(
                self._revision,
                self._from_revision,
                tuple(self._told.values()),
                tuple(self._removals),
            )
