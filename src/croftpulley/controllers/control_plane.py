"""What operators may ask of a control box, whatever the calls are named outside."""

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
from croftpulley.core import agreed, halls, submissions, suspect_rules
from croftpulley.core import sessions as box_sessions
from croftpulley.core.replication import state as states
from croftpulley.observe import events
from croftpulley.settings import formats

_LOG = logging.getLogger(__name__)
_Value = TypeVar("_Value")
_ASK_TIMEOUT_S = 1.0
AUTHORITY_WAIT_S = 0.3
"""A leader whose followers answer late has its authority again with the next heartbeat, each 0.1 s,
or another box leads soon. An operator that is sent away pauses longer than this, and longer each
time."""


class NotLeaderError(errors.CroftpulleyError):
    """Another box leads; ``leader_address`` is where other boxes reach it, empty if unknown."""

    def __init__(self, leader_address: str) -> None:
        super().__init__(codes.ResultCode.NOT_LEADER)
        self.leader_address = leader_address


class ControlPlane:
    """What operators order and read, answered by the leading box alone.

    ``hall_names`` are the halls that may be evacuated; empty, any name may be.
    """

    def __init__(
        self,
        log: agreement.Agreement,
        standing: actors.View[replica_standing.Standing],
        session_controller: pykka.ActorRef[Any],
        register: suspect_register.SuspectRegister,
        document_format: formats.DocumentFormat,
        hall_names: frozenset[str],
        acknowledge_s: float,
        clock: clocks.Clock,
    ) -> None:
        self._agreement = log
        self._hall_names = hall_names
        self._standing = standing
        self._sessions = session_controller
        self._register = register
        self._format = document_format
        self._acknowledge_s = acknowledge_s
        self._clock = clock

    def submit(self, number: int, document_json: str) -> int:
        """Commit a configuration and return its version once it is in force on every box.

        One whose number is not above the newest changes nothing; the newest's version is returned
        once that is in force. Raises CONFIGURATION_INVALID, `NotLeaderError`, NOT_LEADER with an
        unknown run state, or NOT_IN_FORCE: then it may be in force later.
        """
        ends_at_s = self._clock.monotonic_s() + self._acknowledge_s
        # A box that only sends the operator on need not read the document: 50 ms for 2,800 routes.
        self._await_authority()
        self._require_authority()
        try:
            self._format.parse(document_json)
        except errors.CroftpulleyError as failure:
            self._log(events.Event.CONFIGURATION_REFUSED, number, problem=failure.detail)
            raise
        self._require_authority()
        version = self._agreement.read().submissions.held.version
        if number > version:
            version = self._commit(number, document_json, ends_at_s)
        self._wait_in_force(box_sessions.Known(configuration_version=version), ends_at_s)
        self._log(events.Event.CONFIGURATION_IN_FORCE, number, configuration_version=version)
        return version

    def _commit(self, number: int, document_json: str, ends_at_s: float) -> int:
        command = agreed.SubmitConfiguration(submissions.Submission("", number, document_json))
        answer = self._wait(self._agreement.propose(command), ends_at_s)
        if not isinstance(answer, submissions.SubmissionAnswer):
            raise TypeError(f"got {answer!r} for a submission")
        version = answer.winner.version
        self._log(events.Event.CONFIGURATION_COMMITTED, number, configuration_version=version)
        return version

    def evacuate(self, hall: str) -> halls.Evacuated:
        """Commit that a hall's endpoints get no requests; return once no box sends there.

        What was ordered before is told again. Raises HALL_UNKNOWN, `NotLeaderError`, NOT_LEADER
        with an unknown run state, or NOT_IN_FORCE: then it may be in force later.
        """
        return self._order(agreed.EvacuateHall(hall))

    def return_hall(self, hall: str) -> halls.Evacuated:
        """Commit that a hall's endpoints get requests again; raises as `evacuate` does."""
        return self._order(agreed.ReturnHall(hall))

    def _order(self, command: agreed.EvacuateHall | agreed.ReturnHall) -> halls.Evacuated:
        began_s = self._clock.monotonic_s()
        ends_at_s = began_s + self._acknowledge_s
        self._await_authority()
        self._require_authority()
        self._check_hall(command.hall)
        # In the log even where it changes nothing here: only its order there decides what holds.
        evacuated = self._wait(self._agreement.propose(command), ends_at_s)
        if not isinstance(evacuated, halls.Evacuated):
            raise TypeError(f"got {evacuated!r} for an order about a hall")
        self._wait_in_force(box_sessions.Known(halls_revision=evacuated.revision), ends_at_s)
        events.emit(
            _LOG,
            events.Event.HALLS_IN_FORCE,
            hall=command.hall,
            evacuate=isinstance(command, agreed.EvacuateHall),
            evacuated=list(evacuated.names),
            halls_revision=evacuated.revision,
            took_s=round(self._clock.monotonic_s() - began_s, 3),
            term=self._standing.get().term,
        )
        return evacuated

    def _check_hall(self, hall: str) -> None:
        is_known = hall in self._hall_names if self._hall_names else _is_name(hall)
        if not is_known:
            known = ", ".join(sorted(self._hall_names)) or f"1 to {halls.LONGEST_NAME} characters"
            raise errors.CroftpulleyError(
                codes.ResultCode.HALL_UNKNOWN, f"got hall {hall!r:.100}, expected {known}"
            )

    def halls(self) -> halls.Evacuated:
        """Return the halls that are evacuated; raises `NotLeaderError`."""
        return self._read(lambda: self._agreement.read().evacuated)

    @property
    def hall_names(self) -> frozenset[str]:
        """The halls that may be evacuated; empty if the settings name none."""
        return self._hall_names

    def _wait_in_force(self, wanted: box_sessions.Known, ends_at_s: float) -> None:
        done: pykka.Future[bool] = pykka.ThreadingFuture()
        self._sessions.tell(in_force.WhenInForce(wanted, done))
        self._wait(done, ends_at_s)

    def _wait(self, future: pykka.Future[Any], ends_at_s: float) -> Any:
        left_s = max(0.0, ends_at_s - self._clock.monotonic_s())
        try:
            return future.get(timeout=left_s)
        except pykka.Timeout as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_IN_FORCE, run_state=codes.RunState.UNKNOWN
            ) from failure

    def read(self) -> submissions.Held:
        """Return the newest committed configuration; raises `NotLeaderError`."""
        return self._read(lambda: self._agreement.read().submissions.held)

    def _read(self, read: Callable[[], _Value]) -> _Value:
        """Return what ``read`` does, if this box alone may answer for it.

        Its authority is looked at before and after, under one term: then all that was committed
        before had been applied, and what was read is no older than what this moment allows. A box
        that comes to lead in between may have read nothing yet.
        """
        self._await_authority()
        term = self._require_authority()
        value = read()
        if self._require_authority() != term:
            raise NotLeaderError("")
        return value

    def status(self) -> dict[str, Any]:
        """Return who leads, the replicas, the boxes and who is waited for."""
        standing = self._standing.get()
        answer: Any = self._sessions.ask(sessions.Status(), timeout=_ASK_TIMEOUT_S)
        return {
            "role": standing.role.value,
            "term": standing.term,
            "leader_address": standing.leader_address,
            "members": [attrs.asdict(member) for member in standing.members.members],
            "configuration_version": self._agreement.read().submissions.held.version,
            "evacuated": list(self._agreement.read().evacuated.names),
            "boxes": [attrs.asdict(box) for box in answer.boxes],
            "waiting_for": list(answer.waiting_for),
        }

    def endpoints(self) -> tuple[sessions.EndpointStatus, ...]:
        """Return what all boxes know of each endpoint; raises `NotLeaderError`."""

        def read() -> tuple[sessions.EndpointStatus, ...]:
            answer: Any = self._sessions.ask(sessions.EndpointsStatus(), timeout=_ASK_TIMEOUT_S)
            return tuple(answer)

        return self._read(read)

    def suspects(self) -> tuple[suspect_rules.Suspect, ...]:
        """Return the requests under which endpoints ended; raises `NotLeaderError`."""
        return self._read(self._register.all)

    def clear_suspect(self, fingerprint: str) -> None:
        """Have a request served again; raises NOT_FOUND, `NotLeaderError` or NOT_LEADER."""
        self._await_authority()
        self._require_authority()
        if fingerprint not in {each.fingerprint for each in self._register.all()}:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_FOUND, f"no endpoints ended under request {fingerprint!r}"
            )
        self._register.clear(fingerprint)

    def _await_authority(self) -> None:
        """Wait a moment for authority, or for another leader to be known."""
        self._standing.wait_for(self._is_clear, AUTHORITY_WAIT_S)

    def _require_authority(self) -> int:
        """Return the term in which this box alone may answer now; raises `NotLeaderError`."""
        standing = self._standing.get()
        if not standing.leads(self._clock.monotonic_s()):
            led_elsewhere = standing.role.value != "leader"
            raise NotLeaderError(standing.leader_address if led_elsewhere else "")
        return standing.term

    def _is_clear(self, standing: replica_standing.Standing) -> bool:
        """Tell whether this box may answer, or another leads that can be named."""
        is_led_elsewhere = standing.role is not states.Role.LEADER and standing.leader_address
        return standing.leads(self._clock.monotonic_s()) or bool(is_led_elsewhere)

    def _log(self, event: events.Event, number: int, **fields: Any) -> None:
        events.emit(_LOG, event, number=number, term=self._standing.get().term, **fields)


def _is_name(hall: str) -> bool:
    """Tell whether a text may name a hall where the settings do not say which there are."""
    return 0 < len(hall) <= halls.LONGEST_NAME and hall.isprintable() and "/" not in hall
