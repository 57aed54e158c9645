"""A router's reports to the leading control box about requests that may crash endpoints.

Request threads ask for trials (`Trials`). `SuspicionController` probes endpoints whose connections
broke and reports what it observed. No request waits for either unless it is a suspect itself.
"""

from __future__ import annotations

import random
import threading
import uuid
from collections.abc import Iterable

import attrs

from croftpulley import errors
from croftpulley.controllers import actors, router_state, suspicion
from croftpulley.core import membership, suspect_messages
from croftpulley.endpoints import dialing
from croftpulley.observe import metrics
from croftpulley.transport import box_messages, json_codec, links

_MAX_SILENT_PROBES = 2
"""After this many other endpoints timed out, a probe assumes that this box is cut off; each takes
the whole connection timeout."""


class Trials:
    """Client for trials of suspects at the leading control box, used by request threads."""

    def __init__(
        self,
        known: suspicion.Suspicion,
        view: actors.View[router_state.RouterState],
        timeout_s: float,
        counters: metrics.Metrics,
    ) -> None:
        self._suspicion = known
        self._view = view
        self._lock = threading.Lock()
        self._links = links.Links(timeout_s, counters)

    def ask(
        self, fingerprint: str, trial: str, limit_s: float, asker: suspect_messages.Asker
    ) -> suspect_messages.TrialAnswer | None:
        """Return the leading control box's answer, ``None`` if there is none.

        The request carries what this router has yet to report. The control box puts that into the
        log before it decides.
        """
        report = self._suspicion.pending_report()
        request = box_messages.TrialRequest(
            report=report, fingerprint=fingerprint, trial=trial, limit_s=limit_s, asker=asker
        )
        address = self._view.get().leader_address
        if not address:
            return None
        with self._lock:
            link = self._links.to(address)
            self._links.retain({address})
        try:
            body = link.post(box_messages.TRIALS_PATH, json_codec.encode(request))
        except errors.CroftpulleyError:
            return None
        answer = json_codec.decode(body, box_messages.TrialRequestAnswer).answer
        if answer is not None:
            self._suspicion.mark_reported(report)
        return answer


@attrs.frozen
class _Probe:
    """Message: probe whether an endpoint's address accepts connections."""

    endpoint: membership.Endpoint


@attrs.frozen
class _Report:
    """Message: report what is not reported yet."""


class SuspicionController(actors.Controller):
    """Probes endpoints whose connections broke, and sends reports; retries them at each tick."""

    def __init__(
        self,
        known: suspicion.Suspicion,
        view: actors.View[router_state.RouterState],
        connect_timeout_s: float,
        timeout_s: float,
        counters: metrics.Metrics,
        dialer: dialing.Dialer = dialing.DIRECT,
    ) -> None:
        super().__init__()
        self._suspicion = known
        self._view = view
        self._connect_timeout_s = connect_timeout_s
        self._dialer = dialer
        self._links = links.Links(timeout_s, counters)
        self._probed: dict[str, None] = {}

    def on_start(self) -> None:
        """Subscribe to what request threads observe."""
        self._suspicion.on_connection_broken = lambda endpoint: self.tell_self(_Probe(endpoint))
        self._suspicion.on_reportable = lambda: self.tell_self(_Report())

    def handle(self, message: object) -> None:
        """Probe an endpoint or send a report."""
        match message:
            case _Probe(endpoint):
                # Requests in flight at one endpoint break together; one probe per tick is enough.
                if endpoint.key not in self._probed:
                    self._probed[endpoint.key] = None
                    listed = self._view.get().endpoints
                    probe(self._suspicion, endpoint, listed, self._connect_timeout_s, self._dialer)
            case _Report():
                self._report()
            case actors.Tick():
                self._probed.clear()
                self._report()

    def _report(self) -> None:
        report = self._suspicion.pending_report()
        address = self._view.get().leader_address
        if report.is_empty or not address:
            return
        self._links.retain({address})
        body = json_codec.encode(box_messages.SuspectReport(report=report))
        try:
            answer = json_codec.decode(
                self._links.to(address).post(box_messages.SUSPECT_REPORTS_PATH, body),
                box_messages.SuspectReportAnswer,
            )
        except errors.CroftpulleyError:
            # The link has counted the failure; the next tick retries.
            return
        if answer.is_taken:
            self._suspicion.mark_reported(report)


def probe(
    known: suspicion.Suspicion,
    endpoint: membership.Endpoint,
    listed: Iterable[membership.Endpoint],
    timeout_s: float,
    dialer: dialing.Dialer,
) -> None:
    """Probe whether an endpoint still accepts connections, and record the result.

    A refused connection counts only while another listed endpoint can be reached, if there is one:
    otherwise this box may have lost its own network.
    """
    listens = dialer.is_listening(endpoint.address, timeout_s)
    others = [each for each in listed if each.key != endpoint.key]
    if listens is False and others and not _can_reach_any(others, timeout_s, dialer):
        listens = None
    known.note_probe(endpoint, listens=listens)


def _can_reach_any(
    endpoints: list[membership.Endpoint], timeout_s: float, dialer: dialing.Dialer
) -> bool:
    silent = 0
    for each in random.sample(endpoints, len(endpoints)):
        listens = dialer.is_listening(each.address, timeout_s)
        if listens:
            return True
        silent += listens is None
        if silent == _MAX_SILENT_PROBES:
            break
    return False


def new_trial_id() -> str:
    """Return a new, unique trial ID."""
    return uuid.uuid4().hex
