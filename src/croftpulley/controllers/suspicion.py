"""Requests and prompt parts that a router knows to be suspected of crashing endpoints.

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
MAX_REPORTED = 200
"""Most crashes in one report, 108 bytes each; the rest goes with the next report."""
TRIAL_RETRY_DELAY_S = 0.25
"""Shortest time between two requests of a router for a trial of one request, if none is granted. A
suspect that arrives a thousand times a second makes four requests to the leading control box."""
SURVIVAL_WINDOW_S = 3.0
"""A part that survived the start of a response at most this long before a crash did not cause the
crash. Twice the time that it takes under load until a survival is noticed."""
_MAX_UPDATE_DELAY_S = 1.0
"""How much later a box learns of a crash that another box observed."""
MAX_PENDING = 5000
"""Most crashes that wait to be reported while no control box leads, and as many ended trials and
cleared features, about 1 MB; the oldest are dropped first."""


_NO_SUMMARY = suspect_messages.SuspectSummary("", 0)


@attrs.frozen
class SuspectStatus:
    """What implicates a request or prompt part.

    ``crashes`` counts the endpoints that it may have crashed, and ``refused_for_s`` is for how long
    it is rejected. ``summary`` is the last that the leading control box sent about it.
    """

    crashes: int = 0
    refused_for_s: float = 0.0
    trial_delay_s: float = 0.0
    """How long no trial is requested, because the last request for one was not granted."""
    summary: suspect_messages.SuspectSummary = _NO_SUMMARY

    @property
    def needs_trial(self) -> bool:
        """Tell whether it may be sent only once the leading control box grants a trial."""
        return self.crashes >= suspect_messages.SUSPECTED_CRASHES

    def is_refused_to(self, asker: suspect_messages.Asker) -> bool:
        """Tell whether no trial will be granted, as far as this box was told."""
        if self.refused_for_s <= 0:
            return False
        summary = self.summary
        is_unaccused = suspect_messages.is_unaccused(asker, summary.accused, summary.beside)
        return not (summary.has_own_trial and is_unaccused)


@attrs.frozen
class _PublishedSuspect:
    """A suspect as the leading control box described it, and when its refusal ends by our clock."""

    summary: suspect_messages.SuspectSummary
    refused_until_s: float = 0.0


_NOT_PUBLISHED = _PublishedSuspect(_NO_SUMMARY)


class Suspicion:
    """The suspects that the control box announced, and the crashes that this router observed."""

    def __init__(
        self,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        ends_by_itself: Callable[[str], bool] = lambda _life: False,
    ) -> None:
        """``ends_by_itself`` tells whether an incarnation may end whatever it runs.

        Such an end implicates no request.
        """
        self._ends_by_itself = ends_by_itself
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._crash_candidates = crash_candidates.CrashCandidates()
        self._published: dict[str, _PublishedSuspect] = {}
        self._revision = 0
        self._crashes: dict[suspect_messages.Crash, None] = {}
        self._unreported: collections.Counter[str] = collections.Counter()
        """Number of unreported crashes per request or part."""
        self._survivals = crash_candidates.Survivals()
        self._trial_ends: dict[suspect_messages.TrialEnd, None] = {}
        self._cleared: dict[str, None] = {}
        self._no_trial_until_s: dict[str, float] = {}
        self.on_connection_broken: Callable[[membership.Endpoint], None] = lambda _endpoint: None
        """Called when a connection to an endpoint broke; set once, before requests arrive."""
        self.on_reportable: Callable[[], None] = lambda: None
        """Called when there is something to report; set once, before requests arrive."""

    @property
    def revision(self) -> int:
        """The revision of the suspects that the leading control box sent last."""
        return self._revision

    def apply_update(self, update: suspect_messages.SuspectsUpdate | None) -> None:
        """Apply an update from the leading control box, and clear what survived here since."""
        if update is None:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            if update.is_whole:
                self._published.clear()
            for fingerprint in update.removed:
                self._published.pop(fingerprint, None)
            for summary in update.suspects:
                refused_until_s = now_s + summary.refused_for_s if summary.refused_for_s else 0.0
                self._published[summary.fingerprint] = _PublishedSuspect(summary, refused_until_s)
            self._revision = update.revision
            since_s = now_s - SURVIVAL_WINDOW_S - _MAX_UPDATE_DELAY_S
            cleared = [
                summary.fingerprint
                for summary in update.suspects
                if self._survivals.has_survived_since(summary.fingerprint, summary.pools, since_s)
            ]
            for feature in cleared:
                self._clear(feature)
        if cleared:
            self.on_reportable()

    def status(self, fingerprint: str) -> SuspectStatus:
        """Return what implicates a request or part, as far as this router knows."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._status(fingerprint, now_s)

    def needing_trial(self, features: Iterable[str]) -> dict[str, SuspectStatus]:
        """Return those of the features that need a trial, each with its status."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not (self._published or self._crashes):
                return {}
            implicated = [each for each in features if self._is_implicated(each)]
            statuses = {each: self._status(each, now_s) for each in implicated}
        return {name: each for name, each in statuses.items() if each.needs_trial}

    def _status(self, fingerprint: str, now_s: float) -> SuspectStatus:
        published = self._published.get(fingerprint, _NOT_PUBLISHED)
        own = self._unreported[fingerprint]
        if fingerprints.is_part(fingerprint):
            # The control box's number does not include the crashes not reported yet.
            crashes = published.summary.crashes + own
        else:
            crashes = max(published.summary.crashes, own)
        no_trial_until_s = self._no_trial_until_s.get(fingerprint, 0.0)
        return SuspectStatus(
            crashes=crashes,
            refused_for_s=max(0.0, published.refused_until_s - now_s),
            trial_delay_s=max(0.0, no_trial_until_s - now_s),
            summary=published.summary,
        )

    def delay_trials(self, fingerprint: str) -> None:
        """Let no trial of a feature be requested for `TRIAL_RETRY_DELAY_S`."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            known = self._no_trial_until_s.items()
            self._no_trial_until_s = {name: at_s for name, at_s in known if at_s > now_s}
            self._no_trial_until_s[fingerprint] = now_s + TRIAL_RETRY_DELAY_S

    def unexplained_breaks(self, fingerprint: str) -> tuple[str, ...]:
        """Return the incarnations where a request's connection broke recently, cause unknown."""
        with self._lock:
            return self._crash_candidates.unexplained_breaks(fingerprint, self._clock.monotonic_s())

    def begin(
        self,
        endpoint: membership.Endpoint,
        request: crash_candidates.RequestIdentity,
        attempt: attempts.Attempt,
    ) -> None:
        """Note that a request is about to be sent to an endpoint."""
        with self._lock:
            self._crash_candidates.begin(endpoint.key, request, attempt)

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
            self._crash_candidates.end(endpoint.key, request, attempt, ending, now_s)
            is_known = self._crash_candidates.has_ended(endpoint.key)
            is_cleared = (
                ending is crash_candidates.Ending.SURVIVED
                and self._note_complete_response(request, now_s)
            )
        if is_cleared:
            self.on_reportable()
        elif (
            ending in (crash_candidates.Ending.BROKE, crash_candidates.Ending.CLOSED)
            and not is_known
        ):
            self.on_connection_broken(endpoint)

    def clear_parts(
        self,
        endpoint: membership.Endpoint,
        request: crash_candidates.RequestIdentity,
        attempt: attempts.Attempt,
    ) -> None:
        """Note a response that has gone on for so long that its prompt parts cause no crash.

        Its parts are no crash candidates at this endpoint any more.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._crash_candidates.clear_parts(endpoint.key, attempt)
            is_cleared = self._note_parts_survived(request, now_s)
        if is_cleared:
            self.on_reportable()

    def confirm_alive(self, endpoint: membership.Endpoint) -> None:
        """Note that an endpoint has begun a successful response.

        Responses that ended with their connection before that were complete.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            completed = self._crash_candidates.confirm_alive(endpoint.key, now_s)
            cleared = [self._note_complete_response(each, now_s) for each in completed]
        if any(cleared):
            self.on_reportable()

    def note_probe(self, endpoint: membership.Endpoint, *, listens: bool | None) -> None:
        """Apply the result of a probe of an endpoint's address.

        ``listens`` is ``False`` if it refused the connection, ``None`` if that is not known.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if listens:
                self._crash_candidates.note_reachable(endpoint.key, now_s)
            if listens is not False:
                return
            candidates = self._crash_candidates.conclude_ended(endpoint.key, now_s)
            self._add_crashes(endpoint.key, candidates)
        self._log_crash(endpoint.key, "refuses connections", candidates)

    def update_listed(self, endpoints: Iterable[membership.Endpoint]) -> None:
        """Take the list of endpoints: one that vanished without shutting down has crashed."""
        leaving = {each.key: each.leaving for each in endpoints}
        with self._lock:
            vanished = self._crash_candidates.update_listed(leaving, self._clock.monotonic_s())
            for incarnation, candidates in vanished.items():
                self._add_crashes(incarnation, candidates)
        for incarnation, candidates in vanished.items():
            self._log_crash(incarnation, "is listed no more", candidates)

    def trial_ended(self, end: suspect_messages.TrialEnd) -> None:
        """Queue the end of a trial for the next report."""
        with self._lock:
            self._trial_ends[end] = None
            _drop_oldest(self._trial_ends)
        self.on_reportable()

    def pending_report(self) -> suspect_messages.Report:
        """Return what is not reported yet, at most `MAX_REPORTED` crashes of it."""
        with self._lock:
            self._crash_candidates.forget(self._clock.monotonic_s())
            return suspect_messages.Report(
                crashes=tuple(self._crashes)[:MAX_REPORTED],
                trial_ends=tuple(self._trial_ends),
                cleared=tuple(self._cleared),
            )

    def mark_reported(self, report: suspect_messages.Report) -> None:
        """Drop what the control boxes' log contains now."""
        with self._lock:
            for crash in report.crashes:
                if crash in self._crashes:
                    self._drop_crash(crash)
                    self._assume_published(crash)
            for end in report.trial_ends:
                self._trial_ends.pop(end, None)
            for fingerprint in report.cleared:
                self._cleared.pop(fingerprint, None)

    def _assume_published(self, crash: suspect_messages.Crash) -> None:
        """Count a crash against a part from when the log has it until the control box sends it.

        Other boxes may have reported the same crash: a summary that was received before stays.
        """
        feature = crash.fingerprint
        if fingerprints.is_part(feature) and feature not in self._published:
            self._published[feature] = _PublishedSuspect(
                suspect_messages.SuspectSummary(feature, 1, pools=(crash.pool,))
            )

    def _note_complete_response(
        self, request: crash_candidates.RequestIdentity, now_s: float
    ) -> bool:
        """Note a complete response to a request; tell whether that clears a feature."""
        is_cleared = self._is_implicated(request.fingerprint)
        if is_cleared:
            self._clear(request.fingerprint)
        return self._note_parts_survived(request, now_s) or is_cleared

    def _note_parts_survived(self, request: crash_candidates.RequestIdentity, now_s: float) -> bool:
        if not request.parts:
            return False
        self._survivals.note(request.pool, request.parts, now_s)
        if not (self._published or self._crashes):
            return False
        implicated = [each for each in request.parts if self._is_implicated(each)]
        cleared = [each for each in implicated if self._is_cleared_by_pool(each, request.pool)]
        for feature in cleared:
            self._clear(feature)
        return bool(cleared)

    def _is_cleared_by_pool(self, feature: str, pool: str) -> bool:
        """Tell whether a survival in a pool clears a part.

        It does in a pool where the part is implicated: it may crash the endpoints of one pool only.
        """
        pools = self._published.get(feature, _NOT_PUBLISHED).summary.pools
        pools += tuple(each.pool for each in self._crashes if each.fingerprint == feature)
        return pool in pools

    def _clear(self, fingerprint: str) -> None:
        self._cleared[fingerprint] = None
        _drop_oldest(self._cleared)
        self._drop_crashes(fingerprint)
        if fingerprints.is_part(fingerprint):
            # Else each survival would clear it again until the control box sends the removal.
            self._published.pop(fingerprint, None)

    def _is_implicated(self, fingerprint: str) -> bool:
        return fingerprint in self._published or fingerprint in self._unreported

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
        while len(self._crashes) > MAX_PENDING:
            self._drop_crash(next(iter(self._crashes)))

    def _add_crashes(
        self, incarnation: str, candidates: tuple[crash_candidates.RequestIdentity, ...]
    ) -> None:
        if self._ends_by_itself(incarnation):
            return
        since_s = self._clock.monotonic_s() - SURVIVAL_WINDOW_S
        for each in candidates:
            pools = (each.pool,)
            parts = [
                x for x in each.parts if not self._survivals.has_survived_since(x, pools, since_s)
            ]
            for feature in (each.fingerprint, *parts):
                self._add_crash(
                    suspect_messages.Crash(feature, each.workspace, incarnation, each.pool)
                )

    def _log_crash(
        self, incarnation: str, sign: str, candidates: tuple[crash_candidates.RequestIdentity, ...]
    ) -> None:
        if not candidates:
            return
        self._counters.endpoint_ended(sign)
        events.emit(
            _LOG,
            events.Event.ENDPOINT_ENDED,
            level=logging.WARNING,
            endpoint=incarnation,
            sign=sign,
            requests=len(candidates),
            fingerprints=[each.fingerprint for each in candidates[:MAX_REPORTED]],
            parts=_distinct_parts(candidates),
        )
        self.on_reportable()


def _distinct_parts(candidates: Iterable[crash_candidates.RequestIdentity]) -> list[str]:
    """Return the parts that may have crashed an endpoint, without duplicates."""
    return list(dict.fromkeys(part for each in candidates for part in each.parts))[:MAX_REPORTED]


def _drop_oldest(pending: dict[Any, None]) -> None:
    """Drop the oldest entries beyond `MAX_PENDING`."""
    while len(pending) > MAX_PENDING:
        del pending[next(iter(pending))]
