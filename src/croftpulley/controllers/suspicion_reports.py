"""What a router says to the leading control box of requests under which endpoints end.

Request threads ask for trials (`Trials`). `SuspicionController` looks at endpoints whose
connections broke off and reports what was met; no request waits for either unless it is a suspect
itself.
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

_SILENT_TRIED = 2
"""Other endpoints of which nothing comes back, before a look takes this box for cut off; each takes
the whole time for a connection."""


class Trials:
    """Asks the leading control box whether a suspect may be tried, from request threads."""

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

        What this router has yet to report goes along, and is in the log before the answer is made.
        """
        report = self._suspicion.news()
        request = box_messages.TrialRequest(
            report=report, fingerprint=fingerprint, trial=trial, limit_s=limit_s, asker=asker
        )
        address = self._view.get().leader_address
        if not address:
            return None
        with self._lock:
            link = self._links.to(address)
            self._links.keep({address})
        try:
            body = link.post(box_messages.TRIALS_PATH, json_codec.encode(request))
        except errors.CroftpulleyError:
            return None
        answer = json_codec.decode(body, box_messages.TrialRequestAnswer).answer
        if answer is not None:
            self._suspicion.reported(report)
        return answer


@attrs.frozen
class _Look:
    """Asks whether anybody listens at an endpoint's address."""

    endpoint: membership.Endpoint


@attrs.frozen
class _Report:
    """Asks to report what is new."""


class SuspicionController(actors.Controller):
    """Looks at endpoints whose connections broke off, and reports; tried again at each tick."""

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
        self._looked: dict[str, None] = {}

    def on_start(self) -> None:
        """Have requests' threads tell what they meet."""
        self._suspicion.on_broke = lambda endpoint: self.tell_self(_Look(endpoint))
        self._suspicion.on_news = lambda: self.tell_self(_Report())

    def handle(self, message: object) -> None:
        """Look, or report."""
        match message:
            case _Look(endpoint):
                # Requests that were under way together break off together: one look does.
                if endpoint.key not in self._looked:
                    self._looked[endpoint.key] = None
                    listed = self._view.get().endpoints
                    look(self._suspicion, endpoint, listed, self._connect_timeout_s, self._dialer)
            case _Report():
                self._report()
            case actors.Tick():
                self._looked.clear()
                self._report()

    def _report(self) -> None:
        report = self._suspicion.news()
        address = self._view.get().leader_address
        if report.is_empty or not address:
            return
        self._links.keep({address})
        body = json_codec.encode(box_messages.SuspectReport(report=report))
        try:
            answer = json_codec.decode(
                self._links.to(address).post(box_messages.SUSPECT_REPORTS_PATH, body),
                box_messages.SuspectReportAnswer,
            )
        except errors.CroftpulleyError:
            # The link has counted it; the next tick tries again.
            return
        if answer.is_taken:
            self._suspicion.reported(report)


def look(
    known: suspicion.Suspicion,
    endpoint: membership.Endpoint,
    listed: Iterable[membership.Endpoint],
    timeout_s: float,
    dialer: dialing.Dialer,
) -> None:
    """Look whether an endpoint is still there, and take what that shows.

    That nobody listens there is believed only while another listed endpoint can be reached: else
    this box may have lost its own links.
    """
    listens = dialer.listens(endpoint.address, timeout_s)
    others = [each for each in listed if each.key != endpoint.key]
    if listens is False and others and not _reaches_one(others, timeout_s, dialer):
        listens = None
    known.looked(endpoint, listens=listens)


def _reaches_one(
    endpoints: list[membership.Endpoint], timeout_s: float, dialer: dialing.Dialer
) -> bool:
    silent = 0
    for each in random.sample(endpoints, len(endpoints)):
        listens = dialer.listens(each.address, timeout_s)
        if listens:
            return True
        silent += listens is None
        if silent == _SILENT_TRIED:
            break
    return False


def new_trial() -> str:
    """Return the name of a trial."""
    return uuid.uuid4().hex
