"""The control daemon: the replicated state, leases and the directory, behind gRPC and HTTP."""

from __future__ import annotations

import logging
import pathlib
from typing import Any

from croftpulley import clock as clocks
from croftpulley import codes
from croftpulley.controllers import actors, agreement, directory
from croftpulley.core import claims, replicated_state, request_room, submissions
from croftpulley.http import health_app, operator_app, server, tokens, wsgi
from croftpulley.observe import events, memory, metrics
from croftpulley.settings import schema
from croftpulley.transport import channels, control_server, messages
from croftpulley.transport._generated import fleet_pb2_grpc as services

_LOG = logging.getLogger(__name__)
_GRPC_THREADS = 32
_HTTP_THREADS = 8
_TIMEOUT_S = 10.0
_GRPC_STOP_S = 1.0


class ControlDaemon(control_server.ControlHandler):
    """One control box."""

    def __init__(self, settings: schema.ControlSettings, clock: clocks.Clock | None = None) -> None:
        self._clock = clock or clocks.SystemClock()
        self._counters = metrics.Metrics()
        token = tokens.TokenCheck(settings.operator_token_file)
        self._command_log = agreement.SingleNodeLog(pathlib.Path(settings.data_folder))
        self._directory = directory.DirectoryController.start(
            self._command_log,
            settings.lease_s,
            settings.drift_margin_s,
            settings.claim_window_s,
            self._clock,
        )
        self._grpc = channels.make_server(_GRPC_THREADS)
        services.add_ControlServicer_to_server(
            control_server.ControlService(self, self._counters), self._grpc
        )
        self.peer_address = channels.bind(self._grpc, settings.peer_address)
        application = operator_app.ControlApp(
            health_app.HealthApp(self._counters, lambda: "", dict),
            token,
            self.submit,
            lambda: self._command_log.read().submissions,
            lambda version: self._ask(directory.FindLaggingBoxes(version)),
            lambda: self._ask(directory.Status()),
        )
        room = request_room.RequestRoom(settings.http.request_total_bytes)
        self._memory = memory.MemoryThread(memory.MemoryWatch(room.describe))
        self._http = server.HttpServer(
            wsgi.Application(application.handle, settings.http.header_count),
            settings.operator_address,
            _HTTP_THREADS,
            settings.http,
            room=room,
        )
        self.operator_address = self._http.address
        self._placement_interval_s = settings.placement_interval_s
        self._ticker: actors.Ticker | None = None

    def use_settings(self, settings: schema.ControlSettings) -> None:
        """Change nothing: beside the log level nothing is used before the next start."""

    def start(self) -> None:
        """Begin to serve."""
        self._grpc.start()
        self._http.start()
        self._memory.start()
        self._ticker = actors.Ticker(self._directory, self._placement_interval_s)
        events.emit(
            _LOG,
            events.Event.DAEMON_STARTED,
            peer_address=self.peer_address,
            operator_address=self.operator_address,
        )

    def stop(self) -> None:
        """Stop serving and close the log."""
        events.emit(_LOG, events.Event.DAEMON_STOPPING)
        self._memory.stop()
        if self._ticker is not None:
            self._ticker.stop()
        self._grpc.stop(_GRPC_STOP_S).wait()
        self._http.stop()
        actors.stop_controllers((self._directory,))
        self._command_log.stop()
        events.emit(_LOG, events.Event.DAEMON_STOPPED)

    def renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        """Renew a box's lease."""
        answer: messages.RenewalAnswer = self._ask(renewal)
        return answer

    def claim(self, workspace: str, key: str, digest: str, claim_id: str) -> claims.ClaimAnswer:
        """Claim a call; the answer is given once the claim is on the disk."""
        at_wall_s = self._clock.wall_s()
        answer: Any = self._propose(
            replicated_state.ClaimCall(workspace, key, digest, claim_id, at_wall_s)
        )
        return claims.ClaimAnswer(answer.state, answer.outcome)

    def record(self, workspace: str, key: str, outcome: claims.Outcome) -> bool:
        """Record a call's outcome."""
        return bool(self._propose(replicated_state.RecordOutcome(workspace, key, outcome)))

    def submit(self, submission: submissions.Submission) -> submissions.SubmissionAnswer:
        """Commit an operator's submission."""
        answer = self._propose(replicated_state.SubmitConfiguration(submission))
        if not isinstance(answer, submissions.SubmissionAnswer):
            raise TypeError(f"got {answer!r} for a submission")
        event = events.Event.CONFIGURATION_COMMITTED
        if answer.code is codes.ResultCode.SUBMISSION_CONFLICT:
            event = events.Event.SUBMISSION_CONFLICT
        events.emit(
            _LOG,
            event,
            operator=submission.operator,
            number=submission.number,
            configuration_version=answer.winner.version,
        )
        return answer

    def _propose(self, command: replicated_state.Command) -> replicated_state.Result:
        return self._command_log.propose(command).get(timeout=_TIMEOUT_S)

    def _ask(self, message: object) -> Any:
        answer = self._directory.ask(message, timeout=_TIMEOUT_S)
        if isinstance(answer, Exception):
            raise answer
        return answer
