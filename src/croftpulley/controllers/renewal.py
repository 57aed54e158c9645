"""The renewal controller of a router: renews its lease and applies what each answer reports."""

from __future__ import annotations

import logging
import random

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import (
    actors,
    configuration_fetch,
    listing,
    reach,
    router_state,
    stream_origins,
    suspicion,
    traffic,
)
from croftpulley.core import (
    control_announcements,
    leases,
    listed_counts,
    membership,
    prompt_part_index,
    retry_budget,
    send_quotas,
    tables,
    versions,
)
from croftpulley.core import incarnation_tracker as listed_endpoints
from croftpulley.interfaces import base
from croftpulley.observe import events, metrics
from croftpulley.transport import box_messages, json_codec, links

_LOG = logging.getLogger(__name__)
TICKS_PER_INTERVAL = 4
"""Ticks per renewal interval.

A box renews at each tick while it may not serve yet (it lacks a lease, a configuration or
endpoints) or while the leader has more notes for it (which engine holds which prompt part); any
other box renews at every fourth tick. When all processes restart, routers are up 0.04 s before
there is a leader (design 011), so the time to the next tick decides when they serve."""
_MAX_ATTEMPTS_PER_RENEWAL = 2
"""Control boxes that one renewal asks at most: the first, and the leader that it names."""


@attrs.frozen
class StartDraining:
    """Asks the controller to report this box as draining, so that it is no longer listed."""


@attrs.frozen
class SetSeedAddresses:
    """Sets the seed addresses: control boxes to ask when all known ones are gone."""

    control_addresses: tuple[str, ...]


@attrs.frozen
class ControlAnnounced:
    """Tells where the control boxes are, as one of them announced it to this box."""

    announcement: control_announcements.ControlAnnouncement


@attrs.frozen
class _FetchPart:
    """Fetches one part of a configuration; messages queued meanwhile come before the next part."""


class RenewalController(actors.Controller):
    """Renews the lease with the leading control box and publishes `router_state.RouterState`."""

    def __init__(
        self,
        box: membership.Box,
        control_addresses: tuple[str, ...],
        lease_margin_s: float,
        timeout_s: float,
        interval_s: float,
        document_format: base.DocumentFormat,
        counts: traffic.Traffic,
        known_reach: reach.Reach,
        suspected: suspicion.Suspicion,
        known_origins: stream_origins.StreamOrigins,
        view: actors.View[router_state.RouterState],
        listed: actors.View[listing.Listing],
        clock: clocks.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._box = box
        self._seed_addresses = control_addresses
        self._addresses = control_addresses
        self._current_addresses = control_addresses
        self._source_addresses = control_addresses
        self._announcements = control_announcements.HeardAnnouncements()
        self._lease = leases.HeldLease(lease_margin_s)
        self._interval_s = interval_s
        self._due_at_s = float("-inf")
        self._format = document_format
        self._counts = counts
        self._reach = known_reach
        self._suspected = suspected
        self._origins = known_origins
        self._view = view
        self._listed = listed
        self._clock = clock
        self._rng = rng
        self._links = links.Links(timeout_s, counters)
        self._fetch = configuration_fetch.ConfigurationFetch(self._links, clock, rng)
        self._is_fetching = False
        self._tracker = listed_endpoints.IncarnationTracker()
        self._endpoint_list: versions.Versioned[listing.Endpoints] = versions.Versioned(())
        self._endpoint_list_keys: list[str] = []
        self._leader = ""
        self._next_note = 0
        self._has_more_notes = False
        self._renewal_fails = False

    def handle(self, message: object) -> None:
        """Renew if due, continue a download, learn addresses or begin to drain."""
        match message:
            case actors.Tick():
                if self._clock.monotonic_s() >= self._due_at_s:
                    self._renew()
                self._begin_fetch()
            case _FetchPart():
                self._fetch_part()
            case SetSeedAddresses(addresses):
                self._seed_addresses = addresses
                self._merge_addresses()
            case ControlAnnounced(announcement):
                self._hear(announcement)
                self._due_at_s = min(self._due_at_s, self._clock.monotonic_s())
            case StartDraining():
                self._box = attrs.evolve(self._box, draining=True)
                self._view.publish(attrs.evolve(self._view.get(), draining=True))
                self._renew()

    def _renew(self) -> None:
        started_s = self._clock.monotonic_s()
        previous_evacuated = self._view.get().evacuated
        self._renew_once()
        if self._view.get().evacuated != previous_evacuated:
            # Reports the new halls revision at once: the operator's call waits for it.
            self._renew_once()
        self._use_own_listing()
        if self._view.get().may_serve(self._clock.monotonic_s()) and not self._has_more_notes:
            # Due half a tick early, since ticks are never exactly on time.
            tick_s = self._interval_s / TICKS_PER_INTERVAL
            self._due_at_s = started_s + self._interval_s - tick_s / 2

    def _begin_fetch(self) -> None:
        """Begin to download a configuration that is missing, or retry if all sources failed."""
        if self._fetch.is_incomplete and not self._is_fetching:
            self._fetch.begin_round(self._source_addresses, self._leader)
            self._request_next_part()

    def _request_next_part(self) -> None:
        self._is_fetching = self._fetch.may_step
        if self._is_fetching:
            self.actor_ref.tell(_FetchPart())

    def _fetch_part(self) -> None:
        """Fetch one part; once complete, use the configuration and renew to report its version."""
        self._is_fetching = False
        fetched = self._fetch.step()
        if fetched is None:
            self._request_next_part()
            return
        self._use_configuration(fetched)
        self._renew()
        self._begin_fetch()

    def _use_configuration(self, fetched: configuration_fetch.FetchedConfiguration) -> None:
        """Parse and publish a configuration; an older one than that in use is never fetched."""
        configuration = attrs.evolve(self._format.parse(fetched.document), version=fetched.version)
        lookup_tables = tables.LookupTables(configuration)
        self._view.publish(attrs.evolve(self._view.get(), tables=lookup_tables))
        events.emit(
            _LOG,
            events.Event.CONFIGURATION_IN_USE,
            configuration_version=configuration.version,
            routes=len(configuration.routes),
            size_bytes=fetched.size_bytes,
            fetch_s=round(fetched.took_s, 3),
        )

    def _use_own_listing(self) -> None:
        """Use the list that this box read itself if it is newer than the last answer of control."""
        known = self._view.get()
        listed = self._listed.get()
        if listed.read_at_s <= known.heard_at_s or not listed.endpoints.value:
            return
        self._set_endpoint_list(listed.endpoints)
        # No quotas are assigned while the control boxes are silent, so cold endpoints get 0.
        zero_quotas = dict.fromkeys(
            (each.key for each in listed.cold_endpoints(self._clock.monotonic_s())), 0
        )
        self._view.publish(
            attrs.evolve(self._with_endpoints(known, self._endpoint_list), cold=zero_quotas)
        )

    def _hear(self, announcement: control_announcements.ControlAnnouncement) -> None:
        """Ask at announced addresses too; a leader that this box knows already is kept."""
        if self._announcements.hear(announcement, self._clock.monotonic_s()):
            events.emit(
                _LOG,
                events.Event.CONTROL_ANNOUNCED,
                leader_address=announcement.leader_address,
                control_addresses=list(announcement.addresses),
                term=announcement.term,
            )
        self._leader = self._leader or announcement.leader_address
        self._merge_addresses()

    def _renew_once(self) -> None:
        address = self._leader or self._rng.choice(self._addresses)
        for _ in range(_MAX_ATTEMPTS_PER_RENEWAL):
            own_loads = self._counts.load()
            sent_at_s = self._clock.monotonic_s()
            try:
                answer = self._send_report(address, own_loads)
            except errors.CroftpulleyError as failure:
                self._leader = ""
                self._note_failed_renewal(address, failure)
                return
            if answer.lease_s > 0:
                self._leader = address
                self._handle_grant(answer, sent_at_s, own_loads)
                return
            if answer.is_from_redirector:
                if not self._may_ask_announced(answer, address):
                    return
                address = self._leader
                continue
            self._view.publish(attrs.evolve(self._view.get(), heard_no_leader=True))
            self._update_addresses(answer)
            if answer.configuration_version and answer.leader_address == address:
                # The leader has not registered this box yet; it will have by the next renewal.
                self._leader = address
                self._apply_answer(answer, sent_at_s, own_loads)
                return
            if answer.leader_address in ("", address):
                self._leader = ""
                return
            address = answer.leader_address

    def _may_ask_announced(self, answer: box_messages.BoxReportAnswer, asked: str) -> bool:
        """Learn from a box without a disk; return whether it named a leader to ask at once."""
        if answer.announced is None:
            # That box has just started, and many others may be asking it.
            self._due_at_s = self._clock.monotonic_s() + self._interval_s
            return False
        self._leader = ""
        self._hear(answer.announced)
        return self._leader not in ("", asked)

    def _send_report(
        self, address: str, own_loads: listed_counts.EndpointLoads
    ) -> box_messages.BoxReportAnswer:
        known = self._view.get()
        report = box_messages.BoxReport(
            box=self._box,
            configuration_version=known.configuration.version,
            holds_lease=self._lease.is_valid(self._clock.monotonic_s()),
            boxes_version=known.boxes_version,
            endpoints_version=known.endpoints_version,
            in_flight=own_loads.in_flight,
            reading_tokens=own_loads.reading_tokens,
            notes=self._counts.take_notes(),
            next_note=self._next_note,
            outcomes=self._counts.take_outcomes(),
            suspects_revision=self._suspected.revision,
            halls_revision=known.evacuated.revision,
            leaving=self._counts.newly_leaving(known.endpoints),
            resting_s=own_loads.resting_s,
            unreached=tuple(sorted(self._reach.lost)),
            answered=self._reach.take_answered(),
        )
        try:
            body = self._links.to(address).post(
                box_messages.RENEWALS_PATH, json_codec.encode(report)
            )
        except errors.CroftpulleyError:
            # The report may have arrived all the same; a repeated note changes nothing.
            self._counts.requeue_notes(report.notes)
            raise
        return json_codec.decode(body, box_messages.BoxReportAnswer)

    def _handle_grant(
        self,
        answer: box_messages.BoxReportAnswer,
        sent_at_s: float,
        own_loads: listed_counts.EndpointLoads,
    ) -> None:
        if self._renewal_fails:
            events.emit(_LOG, events.Event.RENEWED_AGAIN, leader_address=self._leader)
        self._renewal_fails = False
        self._renew_lease(answer, sent_at_s)
        self._update_addresses(answer)
        self._apply_answer(answer, sent_at_s, own_loads)

    def _renew_lease(self, answer: box_messages.BoxReportAnswer, sent_at_s: float) -> None:
        held = self._lease.is_valid(self._clock.monotonic_s())
        version = self._view.get().configuration.version
        if not leases.may_renew_lease(version, answer.configuration_version, holds_lease=held):
            # Guards against acting on an older configuration, or honouring a revoked key, after the
            # newer one was acknowledged: the acknowledgement waits only for boxes with a lease.
            return
        self._lease.record_renewal(sent_at_s, answer.lease_s)
        self._counts.renew_extra_share(
            retry_budget.Grant(
                lease_s=answer.lease_s,
                until_s=self._lease.until_s,
                boxes=answer.registered_boxes,
                kept_s=answer.kept_s,
            )
        )
        if not held:
            events.emit(
                _LOG,
                events.Event.LEASE_GAINED,
                lease_s=answer.lease_s,
                leader_address=self._leader,
            )

    def _update_addresses(self, answer: box_messages.BoxReportAnswer) -> None:
        """Keep the current addresses of control boxes; seed addresses remain as a fallback."""
        if not answer.control_addresses:
            return
        self._current_addresses = answer.control_addresses
        # Boxes that are down are left out: each costs a fetch one call timeout (0.4 s). With two
        # of five down, each of 150 routers took 0.82 s for a configuration of 3 kB, which then
        # came into force after the operator's call had timed out.
        silent = frozenset(answer.silent_addresses)
        self._source_addresses = tuple(
            each for each in answer.control_addresses if each not in silent
        )
        self._merge_addresses()
        self._links.retain({*self._addresses, answer.leader_address})

    def _merge_addresses(self) -> None:
        announced = self._announcements.addresses
        known = (*self._current_addresses, *announced, *self._seed_addresses)
        self._addresses = tuple(dict.fromkeys(known))

    def _apply_answer(
        self,
        answer: box_messages.BoxReportAnswer,
        sent_at_s: float,
        own_loads: listed_counts.EndpointLoads,
    ) -> None:
        known = self._view.get()
        self._suspected.apply_update(answer.suspects)
        if answer.endpoints:
            # An empty list is ignored: without endpoints nothing can be served, and requests to an
            # endpoint that is really gone fail visibly.
            self._set_endpoint_list(versions.Versioned(answer.endpoints))
        self._next_note = answer.next_note
        # A box that has just started gets its notes page by page; until it has them all, it sends
        # prompts to engines that have not cached them.
        received_parts = sum(len(parts) for parts in answer.notes.values())
        self._has_more_notes = received_parts >= prompt_part_index.MAX_NOTES_PER_RESPONSE
        self._fetch.set_target_version(answer.configuration_version)
        if answer.loads is not None:
            known = attrs.evolve(
                known,
                loads=self._counts_by_key(answer.loads, answer),
                own_loads=own_loads.in_flight,
                reading_tokens=self._counts_by_key(answer.reading_tokens, answer),
                own_reading_tokens=own_loads.reading_tokens,
                loads_at_s=sent_at_s,
            )
        changed = attrs.evolve(
            known,
            lease_until_s=self._lease.until_s,
            heard_at_s=sent_at_s,
            held_off=frozenset(answer.held_off),
            unreached=answer.unreached,
            reaching={pool: frozenset(names) for pool, names in answer.reaching.items()},
            answering=frozenset(answer.answering),
            settled=answer.settled,
            heard_no_leader=answer.lease_s <= 0,
            leader_address=self._leader,
            registered_boxes=answer.registered_boxes or known.registered_boxes,
        )
        changed = self._with_cold_quotas(changed, answer, sent_at_s)
        if answer.evacuated is not None:
            changed = changed.with_evacuated(answer.evacuated, self._clock.monotonic_s())
            events.emit(
                _LOG,
                events.Event.HALLS_CHANGED,
                evacuated=list(answer.evacuated.names),
                halls_revision=answer.evacuated.revision,
            )
        if answer.boxes is not None:
            changed = attrs.evolve(changed, boxes=answer.boxes, boxes_version=answer.boxes_version)
            events.emit(_LOG, events.Event.BOXES_CHANGED, boxes=[box.name for box in answer.boxes])
        if answer.endpoints or self._tracker.has_stale_entries:
            changed = self._with_endpoints(changed, self._endpoint_list)
        self._counts.apply_notes(answer.notes)
        self._view.publish(changed)

    def _with_cold_quotas(
        self,
        state: router_state.RouterState,
        answer: box_messages.BoxReportAnswer,
        sent_at_s: float,
    ) -> router_state.RouterState:
        """Return the state with the quotas of cold endpoints; unchanged if for another list."""
        unchanged = state.without_expired_returns(self._clock.monotonic_s())
        if answer.endpoints_version != self._endpoint_list.version:
            return unchanged
        quotas = send_quotas.decode_quotas(self._counts_by_key(answer.cold, answer))
        return attrs.evolve(unchanged, cold=quotas, cold_at_s=sent_at_s)

    def _counts_by_key(
        self, numbers: tuple[int, ...], answer: box_messages.BoxReportAnswer
    ) -> dict[str, int]:
        """Return counts by endpoint key; none if they refer to another list than this box has."""
        if answer.endpoints_version != self._endpoint_list.version:
            return {}
        return listed_counts.decode_counts(numbers, self._endpoint_list_keys)

    def _set_endpoint_list(self, endpoint_list: versions.Versioned[listing.Endpoints]) -> None:
        """Store a list that was received or read; its keys are computed once, not per answer."""
        self._endpoint_list = endpoint_list
        self._endpoint_list_keys = [each.key for each in endpoint_list.value]

    def _with_endpoints(
        self, state: router_state.RouterState, endpoint_list: versions.Versioned[listing.Endpoints]
    ) -> router_state.RouterState:
        """Return the state with the tracked endpoints; drop data of incarnations that ended."""
        endpoints = self._tracker.update(endpoint_list.value, self._clock.monotonic_s())
        self._counts.update_listed(endpoints)
        self._suspected.update_listed(endpoints)
        self._origins.update_listed(endpoints)
        return attrs.evolve(state, endpoints=endpoints, endpoints_version=endpoint_list.version)

    def _note_failed_renewal(self, address: str, failure: errors.CroftpulleyError) -> None:
        """Log the first of consecutive failed renewals, and the loss of the lease once."""
        if not self._renewal_fails:
            events.emit(
                _LOG,
                events.Event.RENEW_FAILED,
                level=logging.WARNING,
                address=address,
                problem=str(failure),
            )
        self._renewal_fails = True
        if self._lease.until_s > 0 and not self._lease.is_valid(self._clock.monotonic_s()):
            events.emit(_LOG, events.Event.LEASE_LOST, level=logging.ERROR)
            self._lease.until_s = float("-inf")
