"""The operations that a control box offers to operators, independent of the outer API."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import pykka

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import (
    actors,
    agreement,
    in_force,
    replica_standing,
    sessions,
    suspect_register,
)
from croftpulley.core import halls, replicated_state, submissions, suspect_rules
from croftpulley.core import sessions as box_sessions
from croftpulley.core.replication import state as states
from croftpulley.interfaces import base
from croftpulley.observe import events
from croftpulley.settings import decoding

_LOG = logging.getLogger(__name__)
_Value = TypeVar("_Value")
_ASK_TIMEOUT_S = 1.0
AUTHORITY_WAIT_S = 0.3
"""Limit on how long a call waits for authority. A leader whose followers answer late regains it
with the next heartbeat (every 0.1 s), or another box soon becomes leader. A redirected operator
backs off for longer than this, and longer with each attempt."""


class NotLeaderError(errors.CroftpulleyError):
    """This box may not answer; ``leader_address`` is the leader's peer address, if known."""

    def __init__(self, leader_address: str) -> None:
        super().__init__(codes.ResultCode.NOT_LEADER)
        self.leader_address = leader_address


class ControlPlane:
    """Operators' commands and queries, answered only by the leader.

    ``hall_names`` are the halls that may be evacuated; if empty, any valid name is accepted.
    """

    def __init__(
        self,
        log: agreement.CommandLog,
        replica_status: actors.View[replica_standing.ReplicaStatus],
        session_controller: pykka.ActorRef[Any],
        register: suspect_register.SuspectRegister,
        document_format: base.DocumentFormat,
        hall_names: frozenset[str],
        acknowledge_s: float,
        clock: clocks.Clock,
    ) -> None:
        self._command_log = log
        self._hall_names = hall_names
        self._replica_status = replica_status
        self._sessions = session_controller
        self._suspect_register = register
        self._document_format = document_format
        self._acknowledge_s = acknowledge_s
        self._clock = clock

    def submit(self, number: int, document_json: str) -> int:
        """Commit a configuration and return its version once it is in force on every box.

        If ``number`` is not greater than the newest version, nothing changes, and the newest
        version is returned once it is in force. Raises CONFIGURATION_INVALID, `NotLeaderError`,
        NOT_LEADER with an unknown run state, or NOT_IN_FORCE if it may still come into force later.
        """
        deadline_s = self._clock.monotonic_s() + self._acknowledge_s
        # Checked first so that a box that only redirects skips parsing (50 ms for 2,800 routes).
        self._wait_for_authority()
        self._require_authority()
        try:
            decoding.decode(self._document_format.parse, document_json)
        except errors.CroftpulleyError as failure:
            self._emit(events.Event.CONFIGURATION_REFUSED, number, problem=failure.detail)
            raise
        self._require_authority()
        version = self._command_log.read().submissions.held.version
        if number > version:
            version = self._commit(number, document_json, deadline_s)
        self._wait_in_force(box_sessions.AppliedVersions(configuration_version=version), deadline_s)
        self._emit(events.Event.CONFIGURATION_IN_FORCE, number, configuration_version=version)
        return version

    def _commit(self, number: int, document_json: str, deadline_s: float) -> int:
        """Commit a configuration and return the resulting version, which may be a newer one."""
        command = replicated_state.SubmitConfiguration(
            submissions.Submission("", number, document_json)
        )
        answer = self._get_result(self._command_log.propose(command), deadline_s)
        if not isinstance(answer, submissions.SubmissionAnswer):
            raise TypeError(f"unexpected result of a configuration submission: {answer!r}")
        version = answer.winner.version
        self._emit(events.Event.CONFIGURATION_COMMITTED, number, configuration_version=version)
        return version

    def evacuate(self, hall: str) -> halls.EvacuatedHalls:
        """Commit that a hall's endpoints get no requests; return once no box sends any there.

        Idempotent: a repeated call returns the same result. Raises HALL_UNKNOWN, `NotLeaderError`,
        NOT_LEADER with an unknown run state, or NOT_IN_FORCE if it may still come into force later.
        """
        return self._commit_hall_command(replicated_state.EvacuateHall(hall))

    def return_hall(self, hall: str) -> halls.EvacuatedHalls:
        """Commit that a hall's endpoints get requests again; raises as `evacuate` does."""
        return self._commit_hall_command(replicated_state.ReturnHall(hall))

    def _commit_hall_command(
        self, command: replicated_state.EvacuateHall | replicated_state.ReturnHall
    ) -> halls.EvacuatedHalls:
        started_s = self._clock.monotonic_s()
        deadline_s = started_s + self._acknowledge_s
        self._wait_for_authority()
        self._require_authority()
        self._check_hall(command.hall)
        # Append it even if it changes nothing in the state applied here: only the order of the
        # commands in the log decides the outcome.
        evacuated = self._get_result(self._command_log.propose(command), deadline_s)
        if not isinstance(evacuated, halls.EvacuatedHalls):
            raise TypeError(f"unexpected result of a hall command: {evacuated!r}")
        self._wait_in_force(
            box_sessions.AppliedVersions(halls_revision=evacuated.revision), deadline_s
        )
        events.emit(
            _LOG,
            events.Event.HALLS_IN_FORCE,
            hall=command.hall,
            evacuate=isinstance(command, replicated_state.EvacuateHall),
            evacuated=list(evacuated.names),
            halls_revision=evacuated.revision,
            took_s=round(self._clock.monotonic_s() - started_s, 3),
            term=self._replica_status.get().term,
        )
        return evacuated

    def _check_hall(self, hall: str) -> None:
        """Raise HALL_UNKNOWN unless the hall may be evacuated."""
        is_known = hall in self._hall_names if self._hall_names else _is_valid_hall_name(hall)
        if not is_known:
            known = (
                ", ".join(sorted(self._hall_names))
                or f"1 to {halls.MAX_HALL_NAME_LENGTH} characters"
            )
            raise errors.CroftpulleyError(
                codes.ResultCode.HALL_UNKNOWN, f"got hall {hall!r:.100}, expected {known}"
            )

    def halls(self) -> halls.EvacuatedHalls:
        """Return the evacuated halls; raises `NotLeaderError`."""
        return self._read_with_authority(lambda: self._command_log.read().evacuated)

    @property
    def hall_names(self) -> frozenset[str]:
        """The halls that may be evacuated; empty if the settings list none."""
        return self._hall_names

    def _wait_in_force(self, target: box_sessions.AppliedVersions, deadline_s: float) -> None:
        """Wait until ``target`` is in force; raises NOT_LEADER, or NOT_IN_FORCE if too late."""
        done: pykka.Future[bool] = pykka.ThreadingFuture()
        self._sessions.tell(in_force.AwaitInForce(target, done))
        self._get_result(done, deadline_s)

    def _get_result(self, future: pykka.Future[Any], deadline_s: float) -> Any:
        """Return the future's result or raise its error; raises NOT_IN_FORCE at the deadline."""
        remaining_s = max(0.0, deadline_s - self._clock.monotonic_s())
        try:
            return future.get(timeout=remaining_s)
        except pykka.Timeout as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_IN_FORCE, run_state=codes.RunState.UNKNOWN
            ) from failure

    def read_configuration(self) -> submissions.VersionedDocument:
        """Return the newest committed configuration; raises `NotLeaderError`."""
        return self._read_with_authority(lambda: self._command_log.read().submissions.held)

    def _read_with_authority(self, read: Callable[[], _Value]) -> _Value:
        """Return the result of ``read`` if this box has authority; raises `NotLeaderError`.

        Authority is checked before and after, in the same term: only then had everything committed
        before the first check been applied, so that the result isn't stale. A box that becomes
        leader in between may have read a state to which nothing had been applied yet.
        """
        self._wait_for_authority()
        term = self._require_authority()
        value = read()
        if self._require_authority() != term:
            raise NotLeaderError("")
        return value

    def status(self) -> dict[str, Any]:
        """Return the leader, the replicas, the boxes and which boxes a change still waits for."""
        replica_status = self._replica_status.get()
        answer: Any = self._sessions.ask(sessions.Status(), timeout=_ASK_TIMEOUT_S)
        return {
            "role": replica_status.role.value,
            "term": replica_status.term,
            "leader_address": replica_status.leader_address,
            "members": [attrs.asdict(member) for member in replica_status.members.members],
            "spare_voters": replica_status.spare_voters,
            "silent_addresses": list(replica_status.silent_addresses),
            "configuration_version": self._command_log.read().submissions.held.version,
            "evacuated": list(self._command_log.read().evacuated.names),
            "boxes": [attrs.asdict(box) for box in answer.boxes],
            "waiting_for": list(answer.waiting_for),
        }

    def endpoints(self) -> tuple[sessions.EndpointStatus, ...]:
        """Return the status of each endpoint as reported by all boxes; raises `NotLeaderError`."""

        def read() -> tuple[sessions.EndpointStatus, ...]:
            answer: Any = self._sessions.ask(sessions.EndpointsStatus(), timeout=_ASK_TIMEOUT_S)
            return tuple(answer)

        return self._read_with_authority(read)

    def suspects(self) -> tuple[suspect_rules.Suspect, ...]:
        """Return the requests that are suspected of crashing endpoints; raises `NotLeaderError`."""
        return self._read_with_authority(self._suspect_register.all)

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear the suspicion of a request, so that it is served again.

        Raises NOT_FOUND, `NotLeaderError` or NOT_LEADER.
        """
        self._wait_for_authority()
        self._require_authority()
        if fingerprint not in {each.fingerprint for each in self._suspect_register.all()}:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_FOUND, f"no endpoints ended under request {fingerprint!r}"
            )
        self._suspect_register.clear(fingerprint)

    def _wait_for_authority(self) -> None:
        """Wait up to AUTHORITY_WAIT_S until this box has authority or another leader is known."""
        self._replica_status.wait_for(self._is_leader_known, AUTHORITY_WAIT_S)

    def _require_authority(self) -> int:
        """Return the current term if this box has authority; raises `NotLeaderError` otherwise."""
        status = self._replica_status.get()
        if not status.has_authority(self._clock.monotonic_s()):
            is_led_elsewhere = status.role.value != "leader"
            raise NotLeaderError(status.leader_address if is_led_elsewhere else "")
        return status.term

    def _is_leader_known(self, status: replica_standing.ReplicaStatus) -> bool:
        """Return whether this box has authority or knows the address of another leader."""
        is_led_elsewhere = status.role is not states.Role.LEADER and status.leader_address
        return status.has_authority(self._clock.monotonic_s()) or bool(is_led_elsewhere)

    def _emit(self, event: events.Event, number: int, **fields: Any) -> None:
        events.emit(_LOG, event, number=number, term=self._replica_status.get().term, **fields)


def _is_valid_hall_name(hall: str) -> bool:
    """Return whether a text is a valid hall name, for settings that list no halls."""
    return 0 < len(hall) <= halls.MAX_HALL_NAME_LENGTH and hall.isprintable() and "/" not in hall
