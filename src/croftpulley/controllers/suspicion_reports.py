"""Looks at endpoints whose connections broke off, and reports what a router has met.

No request waits for either unless it is a suspect itself.
"""

from __future__ import annotations

import attrs

from croftpulley import errors
from croftpulley.controllers import actors, looks, router_state, suspicion
from croftpulley.core import membership
from croftpulley.endpoints import dialing
from croftpulley.observe import metrics
from croftpulley.transport import box_messages, json_codec, links


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
        self._suspicion.on_broke = lambda endpoint: self.actor_ref.tell(_Look(endpoint))
        self._suspicion.on_news = lambda: self.actor_ref.tell(_Report())

    def handle(self, message: object) -> None:
        """Look, or report."""
        match message:
            case _Look(endpoint):
                # Requests that were under way together break off together: one look does.
                if endpoint.key not in self._looked:
                    self._looked[endpoint.key] = None
                    listed = self._view.get().endpoints
                    looks.look(
                        self._suspicion, endpoint, listed, self._connect_timeout_s, self._dialer
                    )
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
