"""What is known of one feature (a request or a prompt part) that may crash endpoints.

The rules here decide when requests with it need a trial, when they are refused, and for whom.

Pure: no I/O and no clock of its own.
"""

from __future__ import annotations

import attrs

from croftpulley.core import fingerprints, suspect_messages

MAX_TRIALS = 2
"""Trials of a request, one after the other, before the cooldown. Users allow three sends after the
third crash, ever. The first trial causes the third crash; that leaves the second trial, one after
the cooldown, and one for a request that was in transit when the second crash became known, or for a
crash that no router could report."""
MAX_CRASHES_AND_TRIALS = 5
"""A request that was in flight at more crashes at once gets fewer trials: one after four crashes. A
request that was there three times by chance still gets one or two."""
TRIAL_COOLDOWN_S = 3600.0
"""Cooldown after the last trial, before one more: operators need time to release a fix."""
UNCONFIRMED_COOLDOWN_S = 60.0
"""The same without a third crash: both trials may have been inconclusive for another reason."""
SUSPECT_TTL_S = 86_400.0
"""A request is forgotten this long after its last crash. It may then crash three more endpoints,
one every 8 h."""
TOLERATED_CRASHES = 5
"""Crashes caused by one part that users tolerate; after these, requests with it may hardly reach
any endpoint."""
MAX_LATE_TRIALS = 2
"""Trials of a part after these; users allow three, and one may be in transit when the last crash is
found."""
CONFIRMING_TRIALS = 2
"""Trials that crashed their endpoints before a part is refused. Only one is needed if so many
crashes are known that more trials would be late ones."""
INCONCLUSIVE_TRIAL_COOLDOWNS_S = (0.0, 1.0, 10.0, 60.0, 600.0)
"""Cooldown before the next trial of a part, by the number of inconclusive ones: no success, and no
known crash. The first leaves time to learn of the crash; later trials may hide crashes that no
router could report."""
MAX_OWN_TRIALS = 1
"""Trials of a refused part for unaccused askers."""
MAX_ACCUSED = 8
"""Most workspaces, and most pools, recorded by name for each part."""
MAX_BESIDE = 16
"""Most other suspect parts recorded by name for each part."""
MAX_LIVES = 8
"""Most crashed incarnations recorded by name for each feature: enough to recognise one that several
routers report."""


@attrs.frozen(kw_only=True)
class Suspect:
    """A feature that was in flight at the crash of at least one endpoint.

    ``lives`` are the last crashed incarnations, ``crashes`` is the number of all, ``trial_crashes``
    of those since the first trial. ``trials`` counts trials that may have reached an endpoint, the
    last of them at ``last_trial_wall_s``, and ``late_trials`` those after the tolerated crashes.
    ``trial`` is the one under way, until ``trial_until_wall_s`` at the latest.

    For a part, ``accused`` are the workspaces whose requests had it at a crash or on trial,
    ``pools`` the pools of the endpoints that crashed. ``own_trials`` counts trials of unaccused
    askers, and ``beside`` are the other suspect parts that were there at each of its trials.
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
        """Return the suspect after a crash; a known crash only adds its workspace and pool."""
        accused, pools = self.accused, self.pools
        if self.is_part:
            accused = _append_name(accused, crash.workspace)
            pools = _append_name(pools, crash.pool)
        if crash.endpoint in self.lives:
            return attrs.evolve(self, accused=accused, pools=pools)
        return attrs.evolve(
            self,
            crashes=self.crashes + 1,
            trial_crashes=self.trial_crashes + (self.trials > 0),
            lives=(*self.lives, crash.endpoint)[-MAX_LIVES:],
            last_crash_wall_s=at_wall_s,
            accused=accused,
            pools=pools,
        )

    def tried(
        self, trial: str, at_wall_s: float, limit_s: float, asker: suspect_messages.Asker
    ) -> Suspect:
        """Return the suspect with a trial that begins now."""
        is_own = self.cooldown_until_wall_s > at_wall_s
        others = asker.others[:MAX_BESIDE]
        if self.trials:
            others = tuple(each for each in others if each in self.beside)
        return attrs.evolve(
            self,
            trials=self.trials + 1,
            late_trials=self.late_trials + self._is_late,
            own_trials=self.own_trials + is_own,
            beside=others,
            accused=_append_name(self.accused, asker.workspace) if self.is_part else (),
            trial=trial,
            trial_until_wall_s=at_wall_s + limit_s,
            last_trial_wall_s=at_wall_s,
        )

    def trial_ended(self, was_sent: bool) -> Suspect:
        """Return the suspect after its trial; one that was never sent is not counted."""
        ended = attrs.evolve(self, trial="", trial_until_wall_s=0.0)
        if was_sent:
            return ended
        late_trials = max(0, self.late_trials - self._is_late)
        return attrs.evolve(ended, trials=self.trials - 1, late_trials=late_trials)

    @property
    def is_part(self) -> bool:
        """Tell whether it is a prompt part."""
        return fingerprints.is_part(self.fingerprint)

    @property
    def is_suspect(self) -> bool:
        """Tell whether requests with it need a trial."""
        return self.crashes >= suspect_messages.SUSPECTED_CRASHES

    @property
    def is_published(self) -> bool:
        """Tell whether routers need to know of it: a part from its first crash on."""
        return self.is_part or self.is_suspect

    @property
    def has_trial_for_unaccused(self) -> bool:
        """Tell whether unaccused askers have a trial left."""
        is_spent = self.own_trials >= MAX_OWN_TRIALS or self.late_trials >= MAX_LATE_TRIALS
        return self.is_part and not is_spent

    def has_own_trial(self, asker: suspect_messages.Asker) -> bool:
        """Tell whether this asker may try it even while it is refused."""
        if not self.has_trial_for_unaccused:
            return False
        return suspect_messages.is_unaccused(asker, self.accused, self.beside)

    @property
    def _is_late(self) -> bool:
        """Whether a trial now comes after the tolerated crashes."""
        return self.is_part and self.crashes >= TOLERATED_CRASHES

    @property
    def refused_until_wall_s(self) -> float:
        """Until when requests with it are refused; 0 if a trial may begin or is under way."""
        return 0.0 if self.trial else self.cooldown_until_wall_s

    @property
    def cooldown_until_wall_s(self) -> float:
        """Until when no trial may begin after the last one; 0 if one may begin now."""
        last_s = max(self.last_trial_wall_s, self.last_crash_wall_s)
        if self.is_part:
            return self._part_cooldown_until_wall_s(last_s)
        if self.trials > MAX_TRIALS:
            return last_s + SUSPECT_TTL_S
        if self.trials == MAX_TRIALS or self.trials + self.crashes >= MAX_CRASHES_AND_TRIALS:
            is_proven = self.crashes > suspect_messages.SUSPECTED_CRASHES
            return last_s + (TRIAL_COOLDOWN_S if is_proven else UNCONFIRMED_COOLDOWN_S)
        return 0.0

    def _part_cooldown_until_wall_s(self, last_s: float) -> float:
        if self.late_trials >= MAX_LATE_TRIALS:
            return last_s + SUSPECT_TTL_S
        needed = 1 if self._is_late else CONFIRMING_TRIALS
        if self.trial_crashes >= needed:
            return last_s + TRIAL_COOLDOWN_S
        inconclusive = max(0, self.trials - self.trial_crashes)
        if not inconclusive:
            return 0.0
        return (
            self.last_trial_wall_s
            + INCONCLUSIVE_TRIAL_COOLDOWNS_S[
                min(inconclusive, len(INCONCLUSIVE_TRIAL_COOLDOWNS_S) - 1)
            ]
        )


def _append_name(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    """Append a name if it is new; keep the last `MAX_ACCUSED`."""
    if name in names:
        return names
    return (*names, name)[-MAX_ACCUSED:]
