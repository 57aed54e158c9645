"""The session controller of a control box: leases of routers, and what is in force where.

Only the leading box grants. Others answer who leads, as far as they know.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import (
    actors,
    agreement,
    in_force,
    listing,
    replica_standing,
    version_notes,
)
from croftpulley.core import (
    leases,
    listed_counts,
    membership,
    outlier_detection,
    pool_responses,
    prompt_part_index,
    replicated_state,
    send_quotas,
    sessions,
    versions,
)
from croftpulley.core.replication import state as states
from croftpulley.observe import events
from croftpulley.transport import box_messages

_LOG = logging.getLogger(__name__)
_NOTES_A_TERM = 1 << 32
LIST_FRESH_S = 2.0
"""A list read longer ago may be from a former leadership of this box, or from its start: boxes that
have one keep theirs until it is read anew, which the leader does each 0.5 s."""
MOST_TOLD = 16
"""Boxes of which one is told that has lost a pool: enough to spread its requests over."""
LOADS_AWAITED_S = 0.5
"""How long a leader that has just come tells no loads while it has not heard every registered box:
two renewals. Until then routers keep those that they were told last, at most 1 s old; the sum of
one box told as that of all has it send to endpoints that the others fill."""
LEAST_KEPT_S = 5.0
"""How long after the end of its lease a box leaves the replicated state at least; one that only
restarted does not write to the log again. It stays for longer where repeats count for longer: its
share of the extra is nobody else's before (`core.retry_budget`)."""


@attrs.frozen
class PostNotes:
    """Says which parts of prompts an engine keeps."""

    notes: prompt_part_index.NotesByEngine


@attrs.frozen
class Status:
    """Asks for the boxes with a lease, and who is waited for."""


@attrs.frozen
class EndpointsStatus:
    """Asks for the endpoints and what all boxes know of them."""


@attrs.frozen
class EndpointStatus:
    """An endpoint as the boxes together know it.

    ``resting_s`` is for how long it wants nothing from which boxes.
    """

    endpoint: membership.Endpoint
    in_flight: int
    is_held_off: bool
    resting_s: dict[str, float]


@attrs.frozen
class StatusAnswer:
    """The boxes with a lease and the names of those that do not use the newest state yet."""

    boxes: tuple[membership.Box, ...]
    waiting_for: tuple[str, ...]


class _Order:
    """The keys of the list in its order, made anew when the list changes and not at each answer."""

    def __init__(self) -> None:
        self._version = 0
        self._keys: dict[str, None] = {}

    def keys(self, listed: listing.Listing) -> dict[str, None]:
        """Return the keys, which can be looked up as well."""
        if self._version != listed.endpoints.version:
            self._version = listed.endpoints.version
            self._keys = dict.fromkeys(each.key for each in listed.endpoints.value)
        return self._keys


class SessionController(actors.Controller):
    """Grants leases while this box leads."""

    def __init__(
        self,
        log: agreement.CommandLog,
        replica_status: actors.View[replica_standing.ReplicaStatus],
        endpoints: actors.View[listing.Listing],
        cold_per_s: Callable[[], Mapping[str, float]],
        tell_leaving: Callable[[tuple[str, ...]], None],
        lease_s: float,
        margin_s: float,
        repeats_counted_s: float,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._kept_s = max(LEAST_KEPT_S, repeats_counted_s)
        self._command_log = log
        self._replica_status = replica_status
        self._endpoints = endpoints
        self._cold_per_s = cold_per_s
        self._tell_leaving = tell_leaving
        self._allotments = send_quotas.QuotaAllocator()
        self._lease_s = lease_s
        self._clock = clock
        self._sessions = sessions.Sessions(lease_s, margin_s)
        self._leads_term = 0
        self._leads_from_s = float("-inf")
        self._waiting = in_force.InForceWaiters()
        self._registering: set[str] = set()
        self._forgetting: set[str] = set()
        self._forget_at_s: dict[str, float] = {}
        self._bulletin = prompt_part_index.NoteLog()
        self._outcomes = outlier_detection.OutlierDetector()
        self._answering = pool_responses.RecentPoolResponses()
        self._unreached: dict[str, frozenset[str]] = {}
        self._order = _Order()
        self._versions = version_notes.VersionNotes(log, clock)
        self._boxes: versions.Versioned[tuple[membership.Box, ...]] = versions.Versioned(())

    def handle(self, message: object) -> object:
        """Renew, wait, tick or tell the status."""
        match message:
            case box_messages.BoxReport():
                return self._renew(message)
            case in_force.AwaitInForce():
                self._waiting.add(message)
                self._settle()
            case PostNotes(notes):
                # Notes may be the first that is heard of a new leadership, which begins a bulletin
                # of its own: posted to the old one they would be lost.
                if self._leads():
                    self._bulletin.append(prompt_part_index.iterate_notes(notes))
            case actors.Tick():
                self._tick()
            case Status():
                return self._status()
            case EndpointsStatus():
                return self._endpoints_status()
        return None

    def _leads(self) -> bool:
        """Tell whether this box may grant; begins anew where it has just come to lead."""
        status = self._replica_status.get()
        now_s = self._clock.monotonic_s()
        if not status.has_authority(now_s):
            return False
        if status.term != self._leads_term:
            self._leads_term = status.term
            self._registering.clear()
            self._forgetting.clear()
            self._forget_at_s.clear()
            # Another leader's numbers must not be taken for these.
            self._bulletin = prompt_part_index.NoteLog(status.term * _NOTES_A_TERM)
            self._leads_from_s = now_s
            self._allotments.begin(now_s)
            self._sessions.begin(tuple(self._command_log.read().boxes), now_s)
        return True

    def _has_lost_the_lead(self) -> bool:
        """Tell whether another may lead now.

        A leader whose followers answer late has no authority for a moment, and then has it again.
        Who waits for a configuration to be in force may go on waiting through that.
        """
        status = self._replica_status.get()
        leads = status.role is states.Role.LEADER and status.term == self._leads_term
        return not leads

    def _renew(self, report: box_messages.BoxReport) -> box_messages.BoxReportAnswer:
        if not self._leads():
            return self._elsewhere()
        self._versions.note(self._endpoints.get())
        state = self._command_log.read()
        if not self._is_registered(report.box, state):
            # The lease comes with the next renewal: the box must be known to any next leader
            # before it may act.
            return attrs.evolve(self._answer(report, state), lease_s=0.0)
        self._forget_at_s.pop(report.box.name, None)
        now_s = self._clock.monotonic_s()
        self._bulletin.append(prompt_part_index.iterate_notes(report.notes))
        self._outcomes.add(report.outcomes, now_s)
        self._answering.note(report.box.name, report.answered, now_s)
        if report.leaving:
            self._tell_leaving(report.leaving)
        newest = state.submissions.held.version
        known = report.configuration_version
        if not leases.may_renew_lease(known, newest, holds_lease=report.holds_lease):
            return attrs.evolve(self._answer(report, state), lease_s=0.0)
        changed = self._sessions.renew(
            report.box,
            sessions.AppliedVersions(report.configuration_version, report.halls_revision),
            listed_counts.EndpointLoads(
                report.in_flight, report.reading_tokens, report.resting_s, report.unreached
            ),
            now_s,
        )
        if changed:
            # A box that has just come must find itself among the boxes that it names.
            self._boxes.set(self._sessions.boxes(now_s))
            self._settle()
        return self._answer(report, state)

    def _is_registered(self, box: membership.Box, state: replicated_state.ReplicatedState) -> bool:
        if box.name in self._forgetting and box.name in state.boxes:
            # What is about to leave the state must not be granted a lease meanwhile: no next
            # leader would know of it.
            return False
        self._forgetting.discard(box.name)
        registered = attrs.evolve(box, draining=False)
        if state.boxes.get(box.name) == registered:
            self._registering.discard(box.name)
            return True
        if box.name not in self._registering:
            self._registering.add(box.name)
            self._command_log.propose(replicated_state.RegisterBox(registered))
        return False

    def _elsewhere(self) -> box_messages.BoxReportAnswer:
        status = self._replica_status.get()
        return box_messages.BoxReportAnswer(
            leader_address=status.leader_address, control_addresses=status.addresses
        )

    def _answer(
        self, report: box_messages.BoxReport, state: replicated_state.ReplicatedState
    ) -> box_messages.BoxReportAnswer:
        status = self._replica_status.get()
        listed = self._versions.agreed_part(self._endpoints.get())
        order = self._order.keys(listed)
        # Summed for each answer: the router takes off what it has just reported, so that must be in
        # the sum, and nothing that it reported before.
        loads = self._sessions.loads()
        are_whole = self._are_loads_whole()
        page = self._bulletin.read_from(report.next_note)
        notes = [note for note in page.notes if self._is_life(note.engine, listed)]
        return box_messages.BoxReportAnswer(
            lease_s=self._lease_s,
            registered_boxes=len(state.boxes),
            kept_s=self._kept_s,
            leader_address=status.leader_address,
            control_addresses=status.addresses,
            silent_addresses=status.silent_addresses,
            configuration_version=state.submissions.held.version,
            boxes_version=self._boxes.version,
            boxes=self._boxes.if_changed(report.boxes_version),
            endpoints_version=listed.endpoints.version,
            endpoints=self._newer_endpoints(listed, report.endpoints_version),
            loads=listed_counts.encode_counts(loads.in_flight, order) if are_whole else None,
            reading_tokens=listed_counts.encode_counts(loads.reading_tokens, order),
            cold=listed_counts.encode_counts(self._cold(report.box.name, listed), order),
            notes=prompt_part_index.group_by_engine(notes),
            next_note=page.next_number,
            held_off=self._outcomes.held(self._clock.monotonic_s()),
            unreached={pool: len(names) for pool, names in self._unreached.items()},
            reaching={pool: self._some_reaching(pool) for pool in report.unreached},
            answering=self._answering.pools_answering_others(
                report.box.name, self._clock.monotonic_s()
            ),
            mixed=self._mixed(listed),
            suspects=state.suspects.bulletin.changes_since(
                report.suspects_revision, self._clock.wall_s()
            ),
            evacuated=state.evacuated.if_changed(report.halls_revision),
        )

    def _cold(self, box: str, listed: listing.Listing) -> dict[str, int]:
        """Return what a box is told of the endpoints that are cold, and may send there."""
        now_s = self._clock.monotonic_s()
        cold_now = listed.cold(now_s)
        if not cold_now:
            return {}
        takes_per_s = self._cold_per_s()
        boxes = tuple(each.name for each in self._boxes.value if not each.draining)
        return send_quotas.encode_quotas(
            {
                each.key: self._allotments.renew_quota(
                    each.key, takes_per_s[each.pool], box, boxes, now_s
                )
                for each in cold_now
                if each.pool in takes_per_s
            }
        )

    def _some_reaching(self, pool: str) -> tuple[str, ...]:
        """Return some boxes that have not lost a pool, others at each renewal."""
        lost = self._unreached.get(pool, frozenset())
        reaching = [box.name for box in self._boxes.value if box.name not in lost]
        return tuple(random.sample(reaching, min(MOST_TOLD, len(reaching))))

    def _mixed(self, listed: listing.Listing) -> tuple[str, ...] | None:
        """Return the pools of several versions, ``None`` while the list is too old to tell."""
        return None if self._is_old(listed) else self._versions.mixed()

    def _is_old(self, listed: listing.Listing) -> bool:
        return self._clock.monotonic_s() - listed.read_at_s > LIST_FRESH_S

    def _are_loads_whole(self) -> bool:
        is_new = self._clock.monotonic_s() - self._leads_from_s < LOADS_AWAITED_S
        return not (is_new and self._sessions.has_unheard_boxes)

    def _is_life(self, key: str, listed: listing.Listing) -> bool:
        """Tell whether a note is of a life that is listed; without a list none is left out."""
        known = self._order.keys(listed)
        return not known or key in known

    def _newer_endpoints(
        self, listed: listing.Listing, known_version: int
    ) -> listing.Endpoints | None:
        """Return the list for a box that knows another one, unless it may know a newer one."""
        if self._is_old(listed) and known_version:
            return None
        return listed.endpoints.if_changed(known_version)

    def _tick(self) -> None:
        if not self._leads():
            if self._has_lost_the_lead():
                self._waiting.fail_all()
            return
        self._versions.note(self._endpoints.get())
        now_s = self._clock.monotonic_s()
        for box in self._sessions.remove_expired(now_s):
            events.emit(_LOG, events.Event.BOX_EXPIRED, expired_box=box)
            self._forget_at_s[box] = now_s + self._kept_s
        # Not at each renewal: that would cost all boxes' work for each of them.
        self._boxes.set(self._sessions.boxes(now_s))
        self._forget(now_s)
        self._allotments.drop_unused(now_s)
        self._answering.forget(now_s)
        self._unreached = self._sessions.unreached()
        self._judge(now_s)
        self._settle()

    def _judge(self, now_s: float) -> None:
        """Hold off endpoints that fail more than their peers."""
        pools: dict[str, list[str]] = {}
        evacuated = self._command_log.read().evacuated.names
        for each in self._endpoints.get().endpoints.value:
            if not each.leaving and each.hall not in evacuated:
                pools.setdefault(each.pool, []).append(each.key)
        self._outcomes.retain({name for names in pools.values() for name in names})
        for judgement in self._outcomes.hold_off_outliers(
            [tuple(names) for names in pools.values()], now_s
        ):
            events.emit(
                _LOG,
                events.Event.ENDPOINT_HELD_OFF,
                level=logging.WARNING,
                endpoint=judgement.endpoint,
                failed=round(judgement.failed, 1),
                requests=round(judgement.total, 1),
                peers_failed_share=round(judgement.peers_failure_rate, 3),
                hold_s=judgement.hold_s,
            )

    def _forget(self, now_s: float) -> None:
        for box, at_s in list(self._forget_at_s.items()):
            if now_s >= at_s:
                del self._forget_at_s[box]
                self._forgetting.add(box)
                self._command_log.propose(replicated_state.ForgetBox(box))

    def _settle(self) -> None:
        """Answer those who wait for what is in force now."""
        if not self._leads():
            return
        now_s = self._clock.monotonic_s()
        self._waiting.complete(lambda wanted: not self._sessions.waiting_for(wanted, now_s))

    def _status(self) -> StatusAnswer:
        if not self._leads():
            return StatusAnswer((), ())
        now_s = self._clock.monotonic_s()
        state = self._command_log.read()
        newest = sessions.AppliedVersions(state.submissions.held.version, state.evacuated.revision)
        late = self._sessions.waiting_for(newest, now_s)
        return StatusAnswer(self._sessions.boxes(now_s), late)

    def _endpoints_status(self) -> tuple[EndpointStatus, ...]:
        if not self._leads():
            return ()
        now_s = self._clock.monotonic_s()
        in_flight = self._sessions.loads().in_flight
        held_off = frozenset(self._outcomes.held(now_s))
        resting_s = self._sessions.resting_s(now_s)
        return tuple(
            EndpointStatus(
                endpoint=each,
                in_flight=in_flight.get(each.key, 0),
                is_held_off=each.key in held_off,
                resting_s=resting_s.get(each.key, {}),
            )
            for each in self._endpoints.get().endpoints.value
        )
