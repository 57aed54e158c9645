"""Suspects at the leading control box: reports and trials go through the replicated log."""

from __future__ import annotations

import logging
from typing import Any

import attrs
import pykka

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, agreement, replica_standing
from croftpulley.core import published_suspects, replicated_state, suspect_messages, suspect_rules
from croftpulley.observe import events
from croftpulley.transport import box_messages

_LOG = logging.getLogger(__name__)
COMMIT_TIMEOUT_S = 0.35
"""Less than a router's timeout for the answer (0.4 s), so that no thread waits for a caller that
has given up."""


class SuspectRegister:
    """Accepts reports and grants trials while this box leads; thread-safe."""

    def __init__(
        self,
        log: agreement.CommandLog,
        replica_status: actors.View[replica_standing.ReplicaStatus],
        clock: clocks.Clock,
    ) -> None:
        self._command_log = log
        self._replica_status = replica_status
        self._clock = clock

    def report(self, message: box_messages.SuspectReport) -> box_messages.SuspectReportAnswer:
        """Commit a report; the answer has ``is_taken`` if the report is in the log."""
        if not self._leads():
            return box_messages.SuspectReportAnswer()
        done = self._propose_report(message.report)
        changed = _committed_result(done) if done is not None else ()
        if changed is None:
            return box_messages.SuspectReportAnswer()
        _log_changed(changed)
        return box_messages.SuspectReportAnswer(is_taken=True)

    def begin_trial(self, request: box_messages.TrialRequest) -> box_messages.TrialRequestAnswer:
        """Decide on a trial once the report that came with the request is in the log.

        The answer is empty if this box does not lead or the log did not take the report.
        """
        if not self._leads():
            return box_messages.TrialRequestAnswer()
        done = self._propose_report(request.report)
        changed = _committed_result(done) if done is not None else ()
        if changed is None:
            return box_messages.TrialRequestAnswer()
        _log_changed(changed)
        return box_messages.TrialRequestAnswer(answer=self._answer(request))

    def _answer(self, request: box_messages.TrialRequest) -> suspect_messages.TrialAnswer | None:
        """Return the verdict; only a grant goes into the log.

        ``None`` if this box does not lead any more, or the grant is not known to be in the log.
        """
        now_wall_s = self._clock.wall_s()
        known = self._command_log.read().suspects
        asker = request.asker
        answer = known.verdict(request.fingerprint, request.trial, now_wall_s, asker)
        if answer.verdict is not suspect_messages.Verdict.GRANTED:
            return answer if self._leads() else None
        command = replicated_state.BeginTrial(
            request.fingerprint, request.trial, request.limit_s, now_wall_s, asker
        )
        granted = _committed_result(self._command_log.propose(command))
        return granted if isinstance(granted, suspect_messages.TrialAnswer) else None

    def all(self) -> tuple[suspect_rules.Suspect, ...]:
        """Return the suspects in this box's replicated state."""
        entries = self._published().entries
        return tuple(each.suspect for each in entries if each.suspect.is_suspect)

    def clear(self, fingerprint: str) -> None:
        """Remove what implicates a feature.

        Raises `errors.CroftpulleyError` with NOT_LEADER if that is not known to be in the log.
        """
        report = suspect_messages.Report(cleared=(fingerprint,))
        command = replicated_state.ReportSuspects(report, self._clock.wall_s())
        if _committed_result(self._command_log.propose(command)) is None:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_LEADER, run_state=codes.RunState.UNKNOWN
            )

    def _published(self) -> published_suspects.PublishedSuspects:
        return self._command_log.read().suspects.published

    def _leads(self) -> bool:
        return self._replica_status.get().has_authority(self._clock.monotonic_s())

    def _propose_report(
        self, report: suspect_messages.Report
    ) -> pykka.Future[replicated_state.Result] | None:
        """Propose a report without what is known; return ``None`` if nothing is left.

        Many boxes see the same part survive at the same time.
        """
        known = self._command_log.read().suspects
        report = attrs.evolve(report, cleared=known.known(report.cleared))
        if report.is_empty:
            return None
        return self._command_log.propose(
            replicated_state.ReportSuspects(report, self._clock.wall_s())
        )


def _committed_result(done: pykka.Future[replicated_state.Result]) -> Any:
    """Return a command's result, ``None`` if it is not known to be in the log."""
    try:
        return done.get(timeout=COMMIT_TIMEOUT_S)
    except (pykka.Timeout, errors.CroftpulleyError):
        return None


def _log_changed(changed: tuple[suspect_rules.Suspect, ...]) -> None:
    for each in changed:
        events.emit(
            _LOG,
            events.Event.REQUEST_SUSPECTED,
            level=logging.WARNING,
            fingerprint=each.fingerprint,
            workspace=each.workspace,
            crashes=each.crashes,
            endpoints=list(each.lives),
            trials=each.trials,
            refused_until_wall_s=each.refused_until_wall_s,
        )
