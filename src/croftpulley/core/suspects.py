"""Requests and parts of prompts under which endpoints ended, as all control boxes agree on; pure.

Every router reports which requests an endpoint had when it ended, and which parts their prompts
share with others: the *features* (`core.features`) that may have ended it. One end says little:
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
import enum

import attrs

from croftpulley.core import features

SUSPECTED_CRASHES = 2
"""From here on a request runs at one endpoint at a time. With one, all that ran beside a request
that ends endpoints would wait for a trial: up to 22 were seen in flight at an end."""
MOST_TRIALS = 2
"""At once, one after the other. Users allow three sends after the third end, ever. The first trial
is what brings the third end; that leaves the second, one after `REST_S`, and one for what was on
its way when the second end became known or for an end that no router could report."""
MOST_ENDS_AND_TRIALS = 5
"""A request under which more endpoints ended at once has fewer trials: with four ends one. Whoever
was unlucky three times has one or two."""
REST_S = 3600.0
"""After the last trial, before one more: time for operators to mend endpoints by a release."""
UNPROVEN_REST_S = 60.0
"""The same where no third end is known: both trials may have come to nothing otherwise."""
KEPT_S = 86_400.0
"""After its last end a request is forgotten; it may end three endpoints more then, one in 8 h."""
MOST_SUSPECTS = 2048
"""Bounds memory (1.5 MB a control box, 0.4 MB a router, with three ends each) and what a router
that has just started is told (129 kB)."""
BORNE_CRASHES = 5
"""So many ends under one part users bear; requests with it that come later reach hardly any."""
MOST_LATE_TRIALS = 2
"""Of a part after these; users allow three, and one may be on its way when the last end is met."""
PROVING_TRIALS = 2
"""Trials that ended their endpoints, after which a part is refused; one, with so many ends that
more trials would come late."""
BLANK_RESTS_S = (0.0, 1.0, 10.0, 60.0, 600.0)
"""Before the next trial of a part, by how many came to nothing: no success, and no end is known.
The first gives time to hear of the end; later ones may hide ends that nobody could report."""
MOST_OWN_TRIALS = 1
"""Trials of a part that is refused, for those against whom nothing speaks."""
MOST_ACCUSED = 8
"""Workspaces, and pools, that are kept by name for each part."""
MOST_BESIDE = 16
"""Other suspect parts that are kept by name for each."""
MOST_LIVES = 8
"""Ends that are kept by name for each request: enough to know one that several routers report."""
MOST_REMOVED = 512
"""Removals that are kept to be told; a router that lacks more is told all."""


@attrs.frozen
class Crash:
    """An endpoint, named by its life, ended while it had a request."""

    fingerprint: str
    """Of the request, or the name of a part of its prompt; so in all that follows."""
    workspace: str
    endpoint: str
    pool: str = ""


@attrs.frozen
class Asker:
    """On whose behalf a trial of a part is asked for; ``others`` are the other parts of the prompt
    that need one.
    """

    workspace: str = ""
    others: tuple[str, ...] = ()


@attrs.frozen
class TrialEnd:
    """A trial is over, and no whole answer came; ``was_sent`` tells whether any byte left."""

    fingerprint: str
    trial: str
    was_sent: bool = True


@attrs.frozen(kw_only=True)
class Report:
    """What a router met: ends of endpoints, trials that are over, and requests answered whole."""

    crashes: tuple[Crash, ...] = ()
    trial_ends: tuple[TrialEnd, ...] = ()
    cleared: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Tell whether it says nothing."""
        return not (self.crashes or self.trial_ends or self.cleared)


@attrs.frozen(kw_only=True)
class Suspect:
    """One request, or part of prompts, under which endpoints ended.

    ``lives`` are the last of them, ``crashes`` how many there were, ``trial_crashes`` how many of
    these since the first trial. ``trials`` counts those that may have reached an endpoint, the last
    of them at ``last_trial_wall_s``, ``late_trials`` those after `BORNE_CRASHES`. ``trial`` is the
    one that goes on, until ``trial_until_wall_s`` at the latest.

    Of a part, ``accused`` are the workspaces whose requests had it at an end or on trial, ``pools``
    those of the endpoints, ``own_trials`` counts trials of those against whom nothing spoke, and
    ``beside`` are the other suspect parts that were there at each of its trials.
    """

    fingerprint: str
    workspace: str
    crashes: int = 0
    lives: tuple[str, ...] = ()
    last_crash_wall_s: float = 0.0
    trials: int = 0
    trial: str = ""
    trial_until_wall_s: float = 0.0
    last_trial_wall_s: float = 0.0
    trial_crashes: int = 0
    late_trials: int = 0
    own_trials: int = 0
    beside: tuple[str, ...] = ()
    accused: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()

    def crashed(self, crash: Crash, at_wall_s: float) -> Suspect:
        """Return the suspect after one more end; one that is known of only adds whose it was."""
        accused, pools = self.accused, self.pools
        if self.is_part:
            accused = _with(accused, crash.workspace)
            pools = _with(pools, crash.pool)
        if crash.endpoint in self.lives:
            return attrs.evolve(self, accused=accused, pools=pools)
        return attrs.evolve(
            self,
            crashes=self.crashes + 1,
            trial_crashes=self.trial_crashes + (self.trials > 0),
            lives=(*self.lives, crash.endpoint)[-MOST_LIVES:],
            last_crash_wall_s=at_wall_s,
            accused=accused,
            pools=pools,
        )

    def tried(self, trial: str, at_wall_s: float, limit_s: float, asker: Asker) -> Suspect:
        """Return the suspect with a trial that has just begun."""
        is_own = self.rests_until_wall_s > at_wall_s
        others = asker.others[:MOST_BESIDE]
        if self.trials:
            others = tuple(each for each in others if each in self.beside)
        return attrs.evolve(
            self,
            trials=self.trials + 1,
            late_trials=self.late_trials + self._is_late,
            own_trials=self.own_trials + is_own,
            beside=others,
            accused=_with(self.accused, asker.workspace) if self.is_part else (),
            trial=trial,
            trial_until_wall_s=at_wall_s + limit_s,
            last_trial_wall_s=at_wall_s,
        )

    def trial_over(self, was_sent: bool) -> Suspect:
        """Return the suspect once its trial is over; one that reached nobody does not count."""
        over = attrs.evolve(self, trial="", trial_until_wall_s=0.0)
        if was_sent:
            return over
        late_trials = max(0, self.late_trials - self._is_late)
        return attrs.evolve(over, trials=self.trials - 1, late_trials=late_trials)

    @property
    def is_part(self) -> bool:
        """Tell whether it is a part of prompts."""
        return features.is_part(self.fingerprint)

    @property
    def is_suspect(self) -> bool:
        """Tell whether requests with it need a trial."""
        return self.crashes >= SUSPECTED_CRASHES

    @property
    def is_told(self) -> bool:
        """Tell whether routers need to know of it: of a part from the first end on."""
        return self.is_part or self.is_suspect

    @property
    def may_be_tried_by_others(self) -> bool:
        """Tell whether it has a trial left for those against whom nothing speaks."""
        is_spent = self.own_trials >= MOST_OWN_TRIALS or self.late_trials >= MOST_LATE_TRIALS
        return self.is_part and not is_spent

    def has_own_trial(self, asker: Asker) -> bool:
        """Tell whether it may be tried for this asker even while it is refused."""
        if not self.may_be_tried_by_others:
            return False
        return is_unaccused(asker, self.accused, self.beside)

    @property
    def _is_late(self) -> bool:
        return self.is_part and self.crashes >= BORNE_CRASHES

    @property
    def refused_until_wall_s(self) -> float:
        """Until when it is sent to no endpoint at all; 0 if it may be tried, or is being tried."""
        return 0.0 if self.trial else self.rests_until_wall_s

    @property
    def rests_until_wall_s(self) -> float:
        """Until when no other trial begins once the last one is over; 0 if one may."""
        last_s = max(self.last_trial_wall_s, self.last_crash_wall_s)
        if self.is_part:
            return self._part_rests_until_wall_s(last_s)
        if self.trials > MOST_TRIALS:
            return last_s + KEPT_S
        if self.trials == MOST_TRIALS or self.trials + self.crashes >= MOST_ENDS_AND_TRIALS:
            is_proven = self.crashes > SUSPECTED_CRASHES
            return last_s + (REST_S if is_proven else UNPROVEN_REST_S)
        return 0.0

    def _part_rests_until_wall_s(self, last_s: float) -> float:
        if self.late_trials >= MOST_LATE_TRIALS:
            return last_s + KEPT_S
        needed = 1 if self._is_late else PROVING_TRIALS
        if self.trial_crashes >= needed:
            return last_s + REST_S
        blank = max(0, self.trials - self.trial_crashes)
        if not blank:
            return 0.0
        return self.last_trial_wall_s + BLANK_RESTS_S[min(blank, len(BLANK_RESTS_S) - 1)]


def _with(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    if name in names:
        return names
    return (*names, name)[-MOST_ACCUSED:]


def is_unaccused(asker: Asker, accused: tuple[str, ...], beside: tuple[str, ...]) -> bool:
    """Tell whether nothing speaks against an asker: it is another, or its request lacks a part that
    was there each time and may be the one.

    >>> is_unaccused(Asker("shop"), ("clinic",), ())
    True
    >>> is_unaccused(Asker("clinic", others=("part-a",)), ("clinic",), ("part-a",))
    False
    >>> is_unaccused(Asker("clinic", others=("part-a",)), ("clinic",), ("part-a", "part-b"))
    True
    """
    return asker.workspace not in accused or any(each not in asker.others for each in beside)


class Verdict(enum.Enum):
    """What becomes of a request that asks for a trial."""

    FREE = "free"
    """It is no suspect (any more)."""
    GRANTED = "granted"
    BUSY = "busy"
    """It is being tried elsewhere."""
    REFUSED = "refused"


@attrs.frozen
class TrialAnswer:
    """The verdict on a trial; ``wait_s`` is when to ask again, where it was not granted."""

    verdict: Verdict
    crashes: int = 0
    wait_s: float = 0.0


@attrs.frozen
class Told:
    """What a router needs to know of one suspect; times are counted from when it is told.

    The rest is told of parts, as `Suspect` has it; ``has_own_trial`` if one is left for those
    against whom nothing speaks.
    """

    fingerprint: str
    crashes: int
    refused_for_s: float = 0.0
    pools: tuple[str, ...] = ()
    accused: tuple[str, ...] = ()
    beside: tuple[str, ...] = ()
    has_own_trial: bool = False


@attrs.frozen(kw_only=True)
class Change:
    """What changed from the revision that a router knows, or all if ``is_whole``."""

    revision: int
    is_whole: bool = False
    suspects: tuple[Told, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class _Entry:
    revision: int
    suspect: Suspect


@attrs.frozen
class _Removal:
    revision: int
    fingerprint: str


@attrs.frozen
class Bulletin:
    """The suspects that routers are told of; never changed, so any thread may read it.

    ``from_revision`` is the oldest from which changes are still known one by one.
    """

    revision: int = 0
    from_revision: int = 0
    entries: tuple[_Entry, ...] = ()
    removals: tuple[_Removal, ...] = ()

    def find(self, fingerprint: str) -> Suspect | None:
        """Return a suspect."""
        found = (each.suspect for each in self.entries if each.suspect.fingerprint == fingerprint)
        return next(found, None)

    def since(self, revision: int, now_wall_s: float) -> Change | None:
        """Return what changed since a revision, ``None`` if nothing did."""
        if revision == self.revision:
            return None
        is_whole = not self.from_revision <= revision < self.revision
        known = 0 if is_whole else revision
        return Change(
            revision=self.revision,
            is_whole=is_whole,
            suspects=tuple(
                _told(each.suspect, now_wall_s) for each in self.entries if each.revision > known
            ),
            removed=tuple(
                each.fingerprint for each in self.removals if not is_whole and each.revision > known
            ),
        )


def _told(suspect: Suspect, now_wall_s: float) -> Told:
    refused_for_s = max(0.0, suspect.refused_until_wall_s - now_wall_s)
    told = Told(suspect.fingerprint, suspect.crashes, round(refused_for_s, 1))
    if not suspect.is_part:
        return told
    return attrs.evolve(
        told,
        pools=suspect.pools,
        accused=suspect.accused,
        beside=suspect.beside,
        has_own_trial=suspect.may_be_tried_by_others,
    )


_ANYBODY = Asker()


@attrs.define
class Suspects:
    """All suspects of the agreed state.

    >>> suspects = Suspects()
    >>> for life in ("e1", "e2", "e3"):
    ...     _ = suspects.report(Report(crashes=(Crash("f", "clinic", life),)), 0.0)
    >>> [suspects.begin_trial("f", trial, 5.0, 1.0).verdict.name for trial in ("t1", "t2", "t1")]
    ['GRANTED', 'BUSY', 'GRANTED']
    >>> _ = suspects.report(Report(crashes=(Crash("f", "clinic", "e4"),)), 2.0)
    >>> suspects.begin_trial("f", "t3", 5.0, 9.0)
    TrialAnswer(verdict=<Verdict.REFUSED: 'refused'>, crashes=4, wait_s=3593.0)
    """

    bulletin: Bulletin = attrs.field(factory=Bulletin)
    _by_fingerprint: dict[str, Suspect] = attrs.field(factory=dict)
    _told: dict[str, _Entry] = attrs.field(factory=dict)
    _removals: collections.deque[_Removal] = attrs.field(factory=collections.deque)
    _from_revision: int = 0
    _revision: int = 0

    @classmethod
    def of(cls, suspects: tuple[Suspect, ...], revision: int) -> Suspects:
        """Make them from what `all` and `revision` of others returned."""
        made = cls(revision=revision, from_revision=revision)
        for each in suspects:
            made._by_fingerprint[each.fingerprint] = each
            if each.is_told:
                made._told[each.fingerprint] = _Entry(revision, each)
        made._publish()
        return made

    @property
    def revision(self) -> int:
        """Grows with each change of what routers are told."""
        return self._revision

    def all(self) -> tuple[Suspect, ...]:
        """Return every suspect, and those under which one endpoint ended."""
        return tuple(self._by_fingerprint.values())

    def known(self, fingerprints: tuple[str, ...]) -> tuple[str, ...]:
        """Leave out the parts against which nothing speaks; any thread may ask."""
        told = {each.suspect.fingerprint for each in self.bulletin.entries}
        return tuple(each for each in fingerprints if each in told or not features.is_part(each))

    def report(self, report: Report, at_wall_s: float) -> tuple[Suspect, ...]:
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
        asker: Asker = _ANYBODY,
    ) -> TrialAnswer:
        """Grant a trial that lasts ``limit_s`` at most, if the request may be tried now.

        The same trial asked for again, since the answer was lost, is granted again.
        """
        answer = self.verdict(fingerprint, trial, at_wall_s, asker)
        known = self._by_fingerprint.get(fingerprint)
        if answer.verdict is Verdict.GRANTED and known is not None and known.trial != trial:
            self._set(known.tried(trial, at_wall_s, limit_s, asker))
            self._publish()
        return answer

    def verdict(
        self, fingerprint: str, trial: str, at_wall_s: float, asker: Asker = _ANYBODY
    ) -> TrialAnswer:
        """Return what `begin_trial` would; changes nothing, and any thread may ask.

        It reads the bulletin: what is being changed lacks the entry for a moment.
        """
        known = self.bulletin.find(fingerprint)
        if known is None or not known.is_suspect:
            return TrialAnswer(Verdict.FREE)
        if known.trial == trial:
            return TrialAnswer(Verdict.GRANTED, known.crashes)
        if known.trial and at_wall_s < known.trial_until_wall_s:
            return TrialAnswer(Verdict.BUSY, known.crashes, known.trial_until_wall_s - at_wall_s)
        rests_s = known.rests_until_wall_s - at_wall_s
        if rests_s > 0 and not known.has_own_trial(asker):
            return TrialAnswer(Verdict.REFUSED, known.crashes, rests_s)
        return TrialAnswer(Verdict.GRANTED, known.crashes)

    def _get(self, crash: Crash) -> Suspect:
        known = self._by_fingerprint.get(crash.fingerprint)
        return known or Suspect(fingerprint=crash.fingerprint, workspace=crash.workspace)

    def _end_trial(self, end: TrialEnd) -> None:
        known = self._by_fingerprint.get(end.fingerprint)
        if known is not None and known.trial == end.trial:
            self._set(known.trial_over(end.was_sent))

    def _set(self, suspect: Suspect) -> None:
        name = suspect.fingerprint
        # The last one to change comes last.
        self._by_fingerprint.pop(name, None)
        self._by_fingerprint[name] = suspect
        if suspect.is_told:
            self._revision += 1
            self._told.pop(name, None)
            self._told[name] = _Entry(self._revision, suspect)

    def _remove(self, fingerprint: str) -> None:
        self._by_fingerprint.pop(fingerprint, None)
        if self._told.pop(fingerprint, None) is None:
            return
        self._revision += 1
        self._removals.append(_Removal(self._revision, fingerprint))
        if len(self._removals) > MOST_REMOVED:
            self._from_revision = self._removals.popleft().revision

    def _forget(self, at_wall_s: float) -> None:
        """Drop what is old, and what is too much: of the workspace that has most of them."""
        for each in list(self._by_fingerprint.values()):
            if at_wall_s - each.last_crash_wall_s < KEPT_S:
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
        by_workspace: dict[str, list[Suspect]] = {}
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
            self.bulletin = Bulletin(
                self._revision,
                self._from_revision,
                tuple(self._told.values()),
                tuple(self._removals),
            )
