"""Asks for trials of suspects: of requests, and parts of prompts, under which endpoints ended."""

from __future__ import annotations

import threading
import uuid

from croftpulley import errors
from croftpulley.controllers import actors, router_state, suspicion
from croftpulley.core import suspect_rules, suspects
from croftpulley.observe import metrics
from croftpulley.transport import box_messages, json_codec, links


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
        self, fingerprint: str, trial: str, limit_s: float, asker: suspect_rules.Asker
    ) -> suspects.TrialAnswer | None:
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


def new_trial() -> str:
    """Return the name of a trial."""
    return uuid.uuid4().hex
