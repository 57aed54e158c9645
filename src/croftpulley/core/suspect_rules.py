"""What is known of one request, or part of prompts, under which endpoints ended; pure.

It says when requests with it need a trial, when they are refused, and for whom.
"""

from __future__ import annotations

import attrs

from croftpulley.core import fingerprints, suspect_messages

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

    def crashed(self, crash: suspect_messages.Crash, at_wall_s: float) -> Suspect:
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

    def tried(
        self, trial: str, at_wall_s: float, limit_s: float, asker: suspect_messages.Asker
    ) -> Suspect:
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
        return fingerprints.is_part(self.fingerprint)

    @property
    def is_suspect(self) -> bool:
        """Tell whether requests with it need a trial."""
        return self.crashes >= suspect_messages.SUSPECTED_CRASHES

    @property
    def is_told(self) -> bool:
        """Tell whether routers need to know of it: of a part from the first end on."""
        return self.is_part or self.is_suspect

    @property
    def may_be_tried_by_others(self) -> bool:
        """Tell whether it has a trial left for those against whom nothing speaks."""
        is_spent = self.own_trials >= MOST_OWN_TRIALS or self.late_trials >= MOST_LATE_TRIALS
        return self.is_part and not is_spent

    def has_own_trial(self, asker: suspect_messages.Asker) -> bool:
        """Tell whether it may be tried for this asker even while it is refused."""
        if not self.may_be_tried_by_others:
            return False
        return suspect_messages.is_unaccused(asker, self.accused, self.beside)

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
            is_proven = self.crashes > suspect_messages.SUSPECTED_CRASHES
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
