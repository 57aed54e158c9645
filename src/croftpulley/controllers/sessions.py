"""The session controller of a control box: leases of routers, and the versions that they apply.

Only the leading box grants leases. Others answer with the leader that they know of.
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
_NOTE_NUMBERS_PER_TERM = 1 << 32
_HEARD_WITHIN_S = 2.0
"""Boxes that look for a new leader have found it by then: they renew four times a second."""
MAX_LIST_AGE_S = 2.0
"""Maximum age of a list. An older one may be from an earlier term of this box as leader, or from
its start: boxes that have a list keep it until the leader reads a new one, which it does every
0.5 s."""
MAX_REACHING_BOXES = 16
"""Most boxes named to a box that has lost its path to a pool: enough to spread its requests."""
LOADS_WAIT_S = 0.5
"""How long a new leader sends no loads while it has not heard from every registered box: two
renewals. Until then routers keep the loads that they received last, at most 1 s old. If a router
took the sum of one box for that of all, it would send to endpoints that the others fill."""
MIN_RETENTION_S = 5.0
"""Minimum time that a box stays in the replicated state after its lease expired, so that a restart
needs no write to the log. It stays longer where repeats count for longer: until then no other box
gets its share of the extra (`core.retry_budget`)."""


@attrs.frozen
class PostNotes:
    """Message: which prompt parts engines have cached."""

    notes: prompt_part_index.NotesByEngine


@attrs.frozen
class Status:
    """Message: asks for the boxes with a lease, and those that lag behind."""


@attrs.frozen
class EndpointsStatus:
    """Message: asks for the endpoints with what all boxes together know of them."""


@attrs.frozen
class EndpointStatus:
    """An endpoint as the boxes together know it.

    ``resting_s`` maps a box to how long the endpoint wants no requests from it (a rest).
    """

    endpoint: membership.Endpoint
    in_flight: int
    is_held_off: bool
    resting_s: dict[str, float]


@attrs.frozen
class StatusAnswer:
    """The boxes with a lease and the names of those that do not apply the newest state yet."""

    boxes: tuple[membership.Box, ...]
    waiting_for: tuple[str, ...]


class _ListedKeys:
    """Caches the keys of the endpoint list in its order until the list changes."""

    def __init__(self) -> None:
        self._version = 0
        self._keys: dict[str, None] = {}

    def keys(self, listed: listing.Listing) -> dict[str, None]:
        """Return the keys as a dict without values, for order and fast lookup."""
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
        report_leaving: Callable[[tuple[str, ...]], None],
        lease_s: float,
        margin_s: float,
        repeats_counted_s: float,
        missed_addresses: actors.View[tuple[str, ...]],
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._missed_addresses = missed_addresses
        self._retention_s = max(MIN_RETENTION_S, repeats_counted_s)
        self._command_log = log
        self._replica_status = replica_status
        self._endpoints = endpoints
        self._cold_per_s = cold_per_s
        self._report_leaving = report_leaving
        self._quotas = send_quotas.QuotaAllocator()
        self._lease_s = lease_s
        self._clock = clock
        self._sessions = sessions.Sessions(lease_s, margin_s)
        self._leading_term = 0
        self._leading_since_s = float("-inf")
        self._waiters = in_force.InForceWaiters()
        self._registering: set[str] = set()
        self._unregistering: set[str] = set()
        self._unregister_at_s: dict[str, float] = {}
        self._note_log = prompt_part_index.NoteLog()
        self._outlier_detector = outlier_detection.OutlierDetector()
        self._pool_responses = pool_responses.RecentPoolResponses()
        self._unreached: dict[str, frozenset[str]] = {}
        self._listed_keys = _ListedKeys()
        self._versions = version_notes.VersionNotes(log, clock)
        self._boxes: versions.Versioned[tuple[membership.Box, ...]] = versions.Versioned(())

    def handle(self, message: object) -> object:
        """Handle a renewal, a wait for a version, new notes, a tick or a status request."""
        match message:
            case box_messages.BoxReport():
                return self._renew(message)
            case in_force.AwaitInForce():
                self._waiters.add(message)
                self._complete_waiters()
            case PostNotes(notes):
                # Notes may be the first message of a new term as leader. `_leads` then starts a
                # new note log; notes appended to the old one would be lost.
                if self._leads():
                    self._note_log.append(prompt_part_index.iterate_notes(notes))
            case actors.Tick():
                self._tick()
            case Status():
                return self._status()
            case EndpointsStatus():
                return self._endpoints_status()
        return None

    def _leads(self) -> bool:
        """Tell whether this box may grant leases; resets its state at the start of a new term."""
        status = self._replica_status.get()
        now_s = self._clock.monotonic_s()
        if not status.has_authority(now_s):
            return False
        if status.term != self._leading_term:
            self._leading_term = status.term
            self._registering.clear()
            self._unregistering.clear()
            self._unregister_at_s.clear()
            # Note numbers of different leaders must not overlap.
            self._note_log = prompt_part_index.NoteLog(status.term * _NOTE_NUMBERS_PER_TERM)
            self._leading_since_s = now_s
            self._quotas.begin(now_s)
            self._sessions.begin(tuple(self._command_log.read().boxes), now_s)
        return True

    def _has_lost_leadership(self) -> bool:
        """Tell whether another box may lead now.

        A leader whose followers answer late has no authority for a moment, and then has it again.
        Callers that wait for a configuration to be in force keep waiting meanwhile.
        """
        status = self._replica_status.get()
        leads = status.role is states.Role.LEADER and status.term == self._leading_term
        return not leads

    def _renew(self, report: box_messages.BoxReport) -> box_messages.BoxReportAnswer:
        if not self._leads():
            return self._not_leading_answer()
        self._versions.note(self._endpoints.get())
        state = self._command_log.read()
        if not self._is_registered(report.box, state):
            # The lease is granted at a later renewal: any next leader must know the box before the
            # box may act.
            return attrs.evolve(self._answer(report, state), lease_s=0.0)
        self._unregister_at_s.pop(report.box.name, None)
        now_s = self._clock.monotonic_s()
        self._note_log.append(prompt_part_index.iterate_notes(report.notes))
        self._outlier_detector.add(report.outcomes, now_s)
        self._pool_responses.note(report.box.name, report.answered, now_s)
        if report.leaving:
            self._report_leaving(report.leaving)
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
            # The answer to a new box must list that box.
            self._boxes.set(self._sessions.boxes(now_s))
            self._complete_waiters()
        return self._answer(report, state)

    def _is_registered(self, box: membership.Box, state: replicated_state.ReplicatedState) -> bool:
        if box.name in self._unregistering and box.name in state.boxes:
            # A box that is about to be removed from the state must not get a lease meanwhile: no
            # next leader would know of it.
            return False
        self._unregistering.discard(box.name)
        registered = attrs.evolve(box, draining=False)
        if state.boxes.get(box.name) == registered:
            self._registering.discard(box.name)
            return True
        if box.name not in self._registering:
            self._registering.add(box.name)
            self._command_log.propose(replicated_state.RegisterBox(registered))
        return False

    def _not_leading_answer(self) -> box_messages.BoxReportAnswer:
        status = self._replica_status.get()
        return box_messages.BoxReportAnswer(
            leader_address=status.leader_address, control_addresses=status.addresses
        )

    def _answer(
        self, report: box_messages.BoxReport, state: replicated_state.ReplicatedState
    ) -> box_messages.BoxReportAnswer:
        status = self._replica_status.get()
        listed = self._versions.committed_part(self._endpoints.get())
        order = self._listed_keys.keys(listed)
        # Summed for each answer: the router subtracts what it has just reported, so the sum must
        # contain that and not an earlier report.
        loads = self._sessions.loads()
        are_complete = self._are_loads_complete()
        page = self._note_log.read_from(report.next_note)
        notes = [note for note in page.notes if self._is_listed(note.engine, listed)]
        return box_messages.BoxReportAnswer(
            lease_s=self._lease_s,
            registered_boxes=len(state.boxes),
            kept_s=self._retention_s,
            leader_address=status.leader_address,
            control_addresses=status.addresses,
            silent_addresses=status.silent_addresses,
            configuration_version=state.submissions.held.version,
            boxes_version=self._boxes.version,
            boxes=self._boxes.if_changed(report.boxes_version),
            endpoints_version=listed.endpoints.version,
            endpoints=self._newer_endpoints(listed, report.endpoints_version),
            loads=listed_counts.encode_counts(loads.in_flight, order) if are_complete else None,
            reading_tokens=listed_counts.encode_counts(loads.reading_tokens, order),
            cold=listed_counts.encode_counts(self._cold(report.box.name, listed), order),
            notes=prompt_part_index.group_by_engine(notes),
            next_note=page.next_number,
            held_off=self._outlier_detector.held(self._clock.monotonic_s()),
            unreached={pool: len(names) for pool, names in self._unreached.items()},
            reaching={pool: self._sample_reaching(pool) for pool in report.unreached},
            answering=self._pool_responses.pools_answering_others(
                report.box.name, self._clock.monotonic_s()
            ),
            settled=self._settled(listed),
            suspects=state.suspects.published.changes_since(
                report.suspects_revision, self._clock.wall_s()
            ),
            evacuated=state.evacuated.if_changed(report.halls_revision),
        )

    def _cold(self, box: str, listed: listing.Listing) -> dict[str, int]:
        """Return a box's encoded send quotas for the endpoints that are cold."""
        now_s = self._clock.monotonic_s()
        cold_now = listed.cold_endpoints(now_s)
        if not cold_now:
            return {}
        limits_per_s = self._cold_per_s()
        boxes = tuple(each.name for each in self._boxes.value if not each.draining)
        return send_quotas.encode_quotas(
            {
                each.key: self._quotas.renew_quota(
                    each.key, limits_per_s[each.pool], box, boxes, now_s
                )
                for each in cold_now
                if each.pool in limits_per_s
            }
        )

    def _sample_reaching(self, pool: str) -> tuple[str, ...]:
        """Return a new random sample of the boxes that have not lost their path to a pool."""
        lost = self._unreached.get(pool, frozenset())
        reaching = [box.name for box in self._boxes.value if box.name not in lost]
        return tuple(random.sample(reaching, min(MAX_REACHING_BOXES, len(reaching))))

    def _settled(self, listed: listing.Listing) -> dict[str, str] | None:
        """Return the pools of one version with it, ``None`` while the list is too old to tell."""
        return None if self._is_list_stale(listed) else self._versions.settled()

    def _is_list_stale(self, listed: listing.Listing) -> bool:
        return self._clock.monotonic_s() - listed.read_at_s > MAX_LIST_AGE_S

    def _are_loads_complete(self) -> bool:
        is_new = self._clock.monotonic_s() - self._leading_since_s < LOADS_WAIT_S
        return not (is_new and self._sessions.has_unheard_boxes)

    def _is_listed(self, key: str, listed: listing.Listing) -> bool:
        """Tell whether a note's incarnation is listed; always true while there is no list."""
        known = self._listed_keys.keys(listed)
        return not known or key in known

    def _newer_endpoints(
        self, listed: listing.Listing, known_version: int
    ) -> listing.Endpoints | None:
        """Return the list if the box has a different one, unless the box's may be newer."""
        if self._is_list_stale(listed) and known_version:
            return None
        return listed.endpoints.if_changed(known_version)

    def _tick(self) -> None:
        if not self._leads():
            self._missed_addresses.publish(())
            if self._has_lost_leadership():
                self._waiters.fail_all()
            return
        self._versions.note(self._endpoints.get())
        now_s = self._clock.monotonic_s()
        for box in self._sessions.remove_expired(now_s):
            events.emit(_LOG, events.Event.BOX_EXPIRED, expired_box=box)
            self._unregister_at_s[box] = now_s + self._retention_s
        # Once per tick: at each renewal the cost would be quadratic in the number of boxes.
        self._boxes.set(self._sessions.boxes(now_s))
        self._unregister_expired(now_s)
        self._missed_addresses.publish(self._find_missed(now_s))
        self._quotas.drop_unused(now_s)
        self._pool_responses.forget(now_s)
        self._unreached = self._sessions.unreached()
        self._hold_off_outliers(now_s)
        self._complete_waiters()

    def _find_missed(self, now_s: float) -> tuple[str, ...]:
        """Return where registered boxes can be reached that have stopped renewing."""
        if now_s - self._leading_since_s < _HEARD_WITHIN_S:
            return ()
        heard = {box.name for box in self._boxes.value}
        registered = tuple(self._command_log.read().boxes.values())
        missed = (box.peer_address for box in registered if box.name not in heard)
        return tuple(address for address in missed if address)

    def _hold_off_outliers(self, now_s: float) -> None:
        """Hold off endpoints with a higher failure rate than their peers."""
        pools: dict[str, list[str]] = {}
        evacuated = self._command_log.read().evacuated.names
        for each in self._endpoints.get().endpoints.value:
            if not each.leaving and each.hall not in evacuated:
                pools.setdefault(each.pool, []).append(each.key)
        self._outlier_detector.retain({name for names in pools.values() for name in names})
        for hold in self._outlier_detector.hold_off_outliers(
            [tuple(names) for names in pools.values()], now_s
        ):
            events.emit(
                _LOG,
                events.Event.ENDPOINT_HELD_OFF,
                level=logging.WARNING,
                endpoint=hold.endpoint,
                failed=round(hold.failed, 1),
                requests=round(hold.total, 1),
                peers_failed_share=round(hold.peers_failure_rate, 3),
                hold_s=hold.hold_s,
            )

    def _unregister_expired(self, now_s: float) -> None:
        for box, at_s in list(self._unregister_at_s.items()):
            if now_s >= at_s:
                del self._unregister_at_s[box]
                self._unregistering.add(box)
                self._command_log.propose(replicated_state.ForgetBox(box))

    def _complete_waiters(self) -> None:
        """Complete the waits for versions that all boxes with a lease apply now."""
        if not self._leads():
            return
        now_s = self._clock.monotonic_s()
        self._waiters.complete(lambda wanted: not self._sessions.waiting_for(wanted, now_s))

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
        held_off = frozenset(self._outlier_detector.held(now_s))
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
