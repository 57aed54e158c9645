"""What a router knows of requests, and parts of prompts, under which endpoints end.

Shared by all request threads and guarded by a lock.
"""

from __future__ import annotations

import collections
import logging
import threading
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from croftpulley import clock as clocks
from croftpulley.core import (
    attempts,
    crash_candidates,
    fingerprints,
    membership,
    suspect_messages,
)
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)
MOST_REPORTED = 200
"""Ends of endpoints in one report, each 108 bytes; the rest goes with the next."""
PUT_OFF_S = 0.25
"""Between two asks of a router for a trial of one request, where none is granted: a suspect that
comes a thousand times a second asks the leading control box four times."""
SURVIVED_S = 3.0
"""A part that survived the beginning of an answer so long before an end did not cause it: it takes
twice as long as a survival takes to be seen under load."""
_HEARD_LATE_S = 1.0
"""How much later a box hears of an end that another met."""
MOST_PENDING = 5000
"""Ends, and as many trials and clearings, that wait to be reported while nobody leads, about 1 MB;
the oldest go first."""


_UNTOLD = suspect_messages.SuspectSummary("", 0)


@attrs.frozen
class Standing:
    """What speaks against a request or part: endpoints that ended under it, and for how long it is
    refused; ``told`` is what the leading control box told of it last.
    """

    crashes: int = 0
    refused_for_s: float = 0.0
    put_off_for_s: float = 0.0
    """How long no trial is asked for: one was not granted just now."""
    told: suspect_messages.SuspectSummary = _UNTOLD

    @property
    def needs_trial(self) -> bool:
        """Tell whether it may be sent only once the leading control box grants a trial."""
        return self.crashes >= suspect_messages.SUSPECTED_CRASHES

    def is_refused_to(self, asker: suspect_messages.Asker) -> bool:
        """Tell whether no trial will be granted, by what this box was told."""
        if self.refused_for_s <= 0:
            return False
        told = self.told
        is_free = suspect_messages.is_unaccused(asker, told.accused, told.beside)
        return not (told.has_own_trial and is_free)


@attrs.frozen
class _Heard:
    """A suspect as the leading control box told it, with the end of its refusal here."""

    told: suspect_messages.SuspectSummary
    refused_until_s: float = 0.0


_UNHEARD = _Heard(_UNTOLD)


class Suspicion:
    """The suspects that this router was told of, and what it has met itself."""

    def __init__(
        self,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        ends_by_itself: Callable[[str], bool] = lambda _life: False,
    ) -> None:
        """Make one; ``ends_by_itself`` tells whether a life may end whatever it runs."""
        self._ends_by_itself = ends_by_itself
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._doubts = crash_candidates.CrashCandidates()
        self._heard: dict[str, _Heard] = {}
        self._revision = 0
        self._crashes: dict[suspect_messages.Crash, None] = {}
        self._unreported: collections.Counter[str] = collections.Counter()
        """How many of these there are against each request or part."""
        self._survivals = crash_candidates.Survivals()
        self._trial_ends: dict[suspect_messages.TrialEnd, None] = {}
        self._cleared: dict[str, None] = {}
        self._put_off_until_s: dict[str, float] = {}
        self.on_broke: Callable[[membership.Endpoint], None] = lambda _endpoint: None
        """Called where a connection to an endpoint broke off; set once, before requests come."""
        self.on_news: Callable[[], None] = lambda: None
        """Called where there is something to report; set once, before requests come."""

    @property
    def revision(self) -> int:
        """The revision of the suspects that this router was told of."""
        return self._revision

    def learn(self, change: suspect_messages.SuspectsUpdate | None) -> None:
        """Take what the leading control box tells."""
        if change is None:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            if change.is_whole:
                self._heard.clear()
            for fingerprint in change.removed:
                self._heard.pop(fingerprint, None)
            for told in change.suspects:
                refused_until_s = now_s + told.refused_for_s if told.refused_for_s else 0.0
                self._heard[told.fingerprint] = _Heard(told, refused_until_s)
            self._revision = change.revision
            since_s = now_s - SURVIVED_S - _HEARD_LATE_S
            cleared = [
                told.fingerprint
                for told in change.suspects
                if self._survivals.has_survived_since(told.fingerprint, told.pools, since_s)
            ]
            for feature in cleared:
                self._clear(feature)
        if cleared:
            self.on_news()

    def standing(self, fingerprint: str) -> Standing:
        """Return what speaks against a request, as far as this router knows."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._standing(fingerprint, now_s)

    def against(self, names: Iterable[str]) -> dict[str, Standing]:
        """Return what speaks against those that need a trial."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not (self._heard or self._crashes):
                return {}
            spoken_against = [each for each in names if self._speaks_against(each)]
            standings = {each: self._standing(each, now_s) for each in spoken_against}
        return {name: each for name, each in standings.items() if each.needs_trial}

    def _standing(self, fingerprint: str, now_s: float) -> Standing:
        heard = self._heard.get(fingerprint, _UNHEARD)
        own = self._unreported[fingerprint]
        if fingerprints.is_part(fingerprint):
            # What this box has yet to report is not among what it was told.
            crashes = heard.told.crashes + own
        else:
            crashes = max(heard.told.crashes, own)
        put_off_until_s = self._put_off_until_s.get(fingerprint, 0.0)
        return Standing(
            crashes=crashes,
            refused_for_s=max(0.0, heard.refused_until_s - now_s),
            put_off_for_s=max(0.0, put_off_until_s - now_s),
            told=heard.told,
        )

    def put_off(self, fingerprint: str) -> None:
        """Have no trial be asked for for a moment."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            known = self._put_off_until_s.items()
            self._put_off_until_s = {name: at_s for name, at_s in known if at_s > now_s}
            self._put_off_until_s[fingerprint] = now_s + PUT_OFF_S

    def unclear(self, fingerprint: str) -> tuple[str, ...]:
        """Return the lives of endpoints where it broke off lately, and it is not known why."""
        with self._lock:
            return self._doubts.unexplained_breaks(fingerprint, self._clock.monotonic_s())

    def begin(
        self,
        endpoint: membership.Endpoint,
        request: crash_candidates.RequestIdentity,
        attempt: attempts.Attempt,
    ) -> None:
        """Note that a request is about to be sent to an endpoint."""
        with self._lock:
            self._doubts.begin(endpoint.key, request, attempt)

    def end(
        self,
        endpoint: membership.Endpoint,
        request: crash_candidates.RequestIdentity,
        attempt: attempts.Attempt,
        ending: crash_candidates.Ending,
    ) -> None:
        """Note how an attempt ended."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._doubts.end(endpoint.key, request, attempt, ending, now_s)
            is_known = self._doubts.has_ended(endpoint.key)
            is_cleared = ending is crash_candidates.Ending.SURVIVED and self._survived(
                request, now_s
            )
        if is_cleared:
            self.on_news()
        elif (
            ending in (crash_candidates.Ending.BROKE, crash_candidates.Ending.CLOSED)
            and not is_known
        ):
            self.on_broke(endpoint)

    def writes(
        self,
        endpoint: membership.Endpoint,
        request: crash_candidates.RequestIdentity,
        attempt: attempts.Attempt,
    ) -> None:
        """Note that an answer has gone on for so long that no part of its prompt ends endpoints."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._doubts.clear_parts(endpoint.key, attempt)
            is_cleared = self._parts_survived(request, now_s)
        if is_cleared:
            self.on_news()

    def lives_on(self, endpoint: membership.Endpoint) -> None:
        """Note that an endpoint has begun a success: what it closed before was whole."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            whole = self._doubts.confirm_alive(endpoint.key, now_s)
            cleared = [self._survived(each, now_s) for each in whole]
        if any(cleared):
            self.on_news()

    def looked(self, endpoint: membership.Endpoint, *, listens: bool | None) -> None:
        """Take what a look at an endpoint's address has shown."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if listens:
                self._doubts.note_reachable(endpoint.key, now_s)
            if listens is not False:
                return
            in_doubt = self._doubts.conclude_ended(endpoint.key, now_s)
            self._add_crashes(endpoint.key, in_doubt)
        self._announce(endpoint.key, "refuses connections", in_doubt)

    def keep(self, endpoints: Iterable[membership.Endpoint]) -> None:
        """Take the list of endpoints: one that vanished without leaving has ended."""
        leaving = {each.key: each.leaving for each in endpoints}
        with self._lock:
            vanished = self._doubts.update_listed(leaving, self._clock.monotonic_s())
            for life, in_doubt in vanished.items():
                self._add_crashes(life, in_doubt)
        for life, in_doubt in vanished.items():
            self._announce(life, "is listed no more", in_doubt)

    def trial_ended(self, end: suspect_messages.TrialEnd) -> None:
        """Note that a trial is over."""
        with self._lock:
            self._trial_ends[end] = None
            _bound(self._trial_ends)
        self.on_news()

    def news(self) -> suspect_messages.Report:
        """Return what is yet to be reported."""
        with self._lock:
            self._doubts.forget(self._clock.monotonic_s())
            return suspect_messages.Report(
                crashes=tuple(self._crashes)[:MOST_REPORTED],
                trial_ends=tuple(self._trial_ends),
                cleared=tuple(self._cleared),
            )

    def reported(self, report: suspect_messages.Report) -> None:
        """Drop what is in the log now."""
        with self._lock:
            for crash in report.crashes:
                if crash in self._crashes:
                    self._drop_crash(crash)
                    self._expect(crash)
            for end in report.trial_ends:
                self._trial_ends.pop(end, None)
            for fingerprint in report.cleared:
                self._cleared.pop(fingerprint, None)

    def _expect(self, crash: suspect_messages.Crash) -> None:
        """Keep an end against a part that is in the log now, until this box is told of it.

        Other boxes may have told of the same end: what was told before stands.
        """
        feature = crash.fingerprint
        if fingerprints.is_part(feature) and feature not in self._heard:
            self._heard[feature] = _Heard(
                suspect_messages.SuspectSummary(feature, 1, pools=(crash.pool,))
            )

    def _survived(self, request: crash_candidates.RequestIdentity, now_s: float) -> bool:
        """Take it that a request was answered whole; tell whether that clears anything."""
        is_cleared = self._speaks_against(request.fingerprint)
        if is_cleared:
            self._clear(request.fingerprint)
        return self._parts_survived(request, now_s) or is_cleared

    def _parts_survived(self, request: crash_candidates.RequestIdentity, now_s: float) -> bool:
        if not request.parts:
            return False
        self._survivals.note(request.pool, request.parts, now_s)
        if not (self._heard or self._crashes):
            return False
        spoken_against = [each for each in request.parts if self._speaks_against(each)]
        cleared = [each for each in spoken_against if self._clears(each, request.pool)]
        for feature in cleared:
            self._clear(feature)
        return bool(cleared)

    def _clears(self, feature: str, pool: str) -> bool:
        """Tell whether a survival in a pool clears a part: it may end the endpoints of another."""
        pools = self._heard.get(feature, _UNHEARD).told.pools
        pools += tuple(each.pool for each in self._crashes if each.fingerprint == feature)
        return pool in pools

    def _clear(self, fingerprint: str) -> None:
        self._cleared[fingerprint] = None
        _bound(self._cleared)
        self._drop_crashes(fingerprint)
        if fingerprints.is_part(fingerprint):
            # Each survival until this box is told would say it once more.
            self._heard.pop(fingerprint, None)

    def _speaks_against(self, fingerprint: str) -> bool:
        return fingerprint in self._heard or fingerprint in self._unreported

    def _drop_crashes(self, fingerprint: str) -> None:
        if fingerprint not in self._unreported:
            return
        for crash in [each for each in self._crashes if each.fingerprint == fingerprint]:
            self._drop_crash(crash)

    def _drop_crash(self, crash: suspect_messages.Crash) -> None:
        del self._crashes[crash]
        self._unreported[crash.fingerprint] -= 1
        if not self._unreported[crash.fingerprint]:
            del self._unreported[crash.fingerprint]

    def _add_crash(self, crash: suspect_messages.Crash) -> None:
        if crash not in self._crashes:
            self._crashes[crash] = None
            self._unreported[crash.fingerprint] += 1
        while len(self._crashes) > MOST_PENDING:
            self._drop_crash(next(iter(self._crashes)))

    def _add_crashes(
        self, life: str, in_doubt: tuple[crash_candidates.RequestIdentity, ...]
    ) -> None:
        if self._ends_by_itself(life):
            return
        since_s = self._clock.monotonic_s() - SURVIVED_S
        for each in in_doubt:
            pools = (each.pool,)
            parts = [
                x for x in each.parts if not self._survivals.has_survived_since(x, pools, since_s)
            ]
            for feature in (each.fingerprint, *parts):
                self._add_crash(suspect_messages.Crash(feature, each.workspace, life, each.pool))

    def _announce(
        self, life: str, sign: str, in_doubt: tuple[crash_candidates.RequestIdentity, ...]
    ) -> None:
        if not in_doubt:
            return
        self._counters.endpoint_ended(sign)
        events.emit(
            _LOG,
            events.Event.ENDPOINT_ENDED,
            level=logging.WARNING,
            endpoint=life,
            sign=sign,
            requests=len(in_doubt),
            fingerprints=[each.fingerprint for each in in_doubt[:MOST_REPORTED]],
            parts=_parts(in_doubt),
        )
        self.on_news()


def _parts(in_doubt: Iterable[crash_candidates.RequestIdentity]) -> list[str]:
    """Return the parts that may have ended an endpoint, each once."""
    return list(dict.fromkeys(part for each in in_doubt for part in each.parts))[:MOST_REPORTED]


def _bound(pending: dict[Any, None]) -> None:
    """Drop the oldest of what waits to be reported where it is too much."""
    while len(pending) > MOST_PENDING:
        del pending[next(iter(pending))]
