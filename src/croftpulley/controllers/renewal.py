"""The renewal controller of a router: its lease, and what it learns with each renewal."""

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
from croftpulley.core import incarnation_tracker as listed_endpoints
from croftpulley.core import (
    leases,
    listed_counts,
    membership,
    prompt_part_index,
    retry_budget,
    send_quotas,
    tables,
    versions,
)
from croftpulley.observe import events, metrics
from croftpulley.settings import formats
from croftpulley.transport import box_messages, json_codec, links

_LOG = logging.getLogger(__name__)
TICKS_AN_INTERVAL = 4
"""A box that may not serve yet (it lacks a lease, a configuration or endpoints), or for which more
notes of where prompts lie are waiting, renews at each tick, any other at every fourth one. After a
loss of all processes routers are up 0.04 s before a leader (design 011): the next tick then decides
when they serve."""
_HOPS = 2
"""How often one renewal follows a box's word on who leads."""


@attrs.frozen
class StartDraining:
    """Asks to be named no more."""


@attrs.frozen
class UseAddresses:
    """Says where control boxes are found when all that answered before are gone."""

    control_addresses: tuple[str, ...]


@attrs.frozen
class _FetchPart:
    """Asks for one part of a configuration; what came meanwhile is handled before the next."""


class RenewalController(actors.Controller):
    """Renews with the leading control box and publishes `router_state.RouterState`."""

    def __init__(
        self,
        box: membership.Box,
        control_addresses: tuple[str, ...],
        lease_margin_s: float,
        timeout_s: float,
        interval_s: float,
        document_format: formats.DocumentFormat,
        counts: traffic.Traffic,
        known_reach: reach.Reach,
        suspected: suspicion.Suspicion,
        known_origins: stream_origins.StreamOrigins,
        view: actors.View[router_state.RouterState],
        listed: actors.View[listing.Listing],
        clock: clocks.Clock,
        counters: metrics.Metrics,
        chance: random.Random,
    ) -> None:
        super().__init__()
        self._box = box
        self._first_addresses = control_addresses
        self._addresses = control_addresses
        self._present_addresses = control_addresses
        self._source_addresses = control_addresses
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
        self._chance = chance
        self._links = links.Links(timeout_s, counters)
        self._fetch = configuration_fetch.ConfigurationFetch(self._links, clock, chance)
        self._fetches = False
        self._believed = listed_endpoints.IncarnationTracker()
        self._stated: versions.Versioned[listing.Endpoints] = versions.Versioned(())
        self._stated_keys: list[str] = []
        self._leader = ""
        self._next_note = 0
        self._more_notes = False
        self._fails = False

    def handle(self, message: object) -> None:
        """Renew, or begin to drain."""
        match message:
            case actors.Tick():
                if self._clock.monotonic_s() >= self._due_at_s:
                    self._renew()
                self._begin_fetch()
            case _FetchPart():
                self._fetch_part()
            case UseAddresses(addresses):
                self._first_addresses = addresses
                self._know_addresses()
            case StartDraining():
                self._box = attrs.evolve(self._box, draining=True)
                self._view.publish(attrs.evolve(self._view.get(), draining=True))
                self._renew()

    def _renew(self) -> None:
        began_s = self._clock.monotonic_s()
        obeyed = self._view.get().evacuated
        self._renew_once()
        if self._view.get().evacuated != obeyed:
            # The operator waits until the leader knows that this box obeys.
            self._renew_once()
        self._take_own_listing()
        if self._view.get().may_serve(self._clock.monotonic_s()) and not self._more_notes:
            # Half a tick early: ticks are never quite on time.
            tick_s = self._interval_s / TICKS_AN_INTERVAL
            self._due_at_s = began_s + self._interval_s - tick_s / 2

    def _begin_fetch(self) -> None:
        """Ask for a configuration that is not here yet, and again where all were asked in vain."""
        if self._fetch.is_incomplete and not self._fetches:
            self._fetch.begin_round(self._source_addresses, self._leader)
            self._fetch_on()

    def _fetch_on(self) -> None:
        self._fetches = self._fetch.may_step
        if self._fetches:
            self.actor_ref.tell(_FetchPart())

    def _fetch_part(self) -> None:
        """Fetch one part; use a configuration that is whole and renew, so that it is known here."""
        self._fetches = False
        fetched = self._fetch.step()
        if fetched is None:
            self._fetch_on()
            return
        self._use(fetched)
        self._renew()
        self._begin_fetch()

    def _use(self, fetched: configuration_fetch.FetchedConfiguration) -> None:
        """Publish a configuration made ready; an older one is never fetched."""
        configuration = attrs.evolve(self._format.parse(fetched.document), version=fetched.version)
        made = tables.LookupTables(configuration)
        self._view.publish(attrs.evolve(self._view.get(), tables=made))
        events.emit(
            _LOG,
            events.Event.CONFIGURATION_IN_USE,
            configuration_version=configuration.version,
            routes=len(configuration.routes),
            size_bytes=fetched.size_bytes,
            fetch_s=round(fetched.took_s, 3),
        )

    def _take_own_listing(self) -> None:
        """Use the list that this box read itself if that is newer than what control told."""
        known = self._view.get()
        listed = self._listed.get()
        if listed.read_at_s <= known.heard_at_s or not listed.endpoints.value:
            return
        self._state_list(listed.endpoints)
        # Nobody allots while control is silent.
        cold_now = dict.fromkeys((each.key for each in listed.cold(self._clock.monotonic_s())), 0)
        self._view.publish(attrs.evolve(self._with_endpoints(known, self._stated), cold=cold_now))

    def _renew_once(self) -> None:
        address = self._leader or self._chance.choice(self._addresses)
        for _ in range(_HOPS):
            own_loads = self._counts.load()
            sent_at_s = self._clock.monotonic_s()
            try:
                answer = self._ask(address, own_loads)
            except errors.CroftpulleyError as failure:
                self._leader = ""
                self._failed(address, failure)
                return
            if answer.lease_s > 0:
                self._leader = address
                self._granted(answer, sent_at_s, own_loads)
                return
            self._view.publish(attrs.evolve(self._view.get(), heard_no_leader=True))
            self._learn_addresses(answer)
            if answer.configuration_version and answer.leader_address == address:
                # The leader knows this box not yet; it will at the next renewal.
                self._leader = address
                self._take(answer, sent_at_s, own_loads)
                return
            if answer.leader_address in ("", address):
                self._leader = ""
                return
            address = answer.leader_address

    def _ask(
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
            leaving=self._counts.said_leaving(known.endpoints),
            resting_s=own_loads.resting_s,
            unreached=tuple(sorted(self._reach.lost)),
            answered=self._reach.take_answered(),
        )
        try:
            body = self._links.to(address).post(
                box_messages.RENEWALS_PATH, json_codec.encode(report)
            )
        except errors.CroftpulleyError:
            # Should it have arrived all the same, a note that comes twice changes nothing.
            self._counts.give_back_notes(report.notes)
            raise
        return json_codec.decode(body, box_messages.BoxReportAnswer)

    def _granted(
        self,
        answer: box_messages.BoxReportAnswer,
        sent_at_s: float,
        own_loads: listed_counts.EndpointLoads,
    ) -> None:
        if self._fails:
            events.emit(_LOG, events.Event.RENEWED_AGAIN, leader_address=self._leader)
        self._fails = False
        self._take_lease(answer, sent_at_s)
        self._learn_addresses(answer)
        self._take(answer, sent_at_s, own_loads)

    def _take_lease(self, answer: box_messages.BoxReportAnswer, sent_at_s: float) -> None:
        held = self._lease.is_valid(self._clock.monotonic_s())
        version = self._view.get().configuration.version
        if not leases.may_renew_lease(version, answer.configuration_version, holds_lease=held):
            # Guards against acting on an older configuration, or honouring a key that was taken
            # away, after the newer one was acknowledged: that waits only for boxes with a lease.
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

    def _learn_addresses(self, answer: box_messages.BoxReportAnswer) -> None:
        """Keep the control boxes' present addresses, and the first ones should all be gone."""
        if not answer.control_addresses:
            return
        self._present_addresses = answer.control_addresses
        # One that is down costs a fetch the time of a call (0.4 s). With two of five down, each of
        # 150 routers took 0.82 s for a configuration of 3 kB, which was then in force later than an
        # operator waits for its answer.
        silent = frozenset(answer.silent_addresses)
        self._source_addresses = tuple(
            each for each in answer.control_addresses if each not in silent
        )
        self._know_addresses()
        self._links.keep({*self._addresses, answer.leader_address})

    def _know_addresses(self) -> None:
        known = (*self._present_addresses, *self._first_addresses)
        self._addresses = tuple(dict.fromkeys(known))

    def _take(
        self,
        answer: box_messages.BoxReportAnswer,
        sent_at_s: float,
        own_loads: listed_counts.EndpointLoads,
    ) -> None:
        known = self._view.get()
        self._suspected.learn(answer.suspects)
        if answer.endpoints:
            # An empty list is not taken: a fleet without an endpoint serves nobody, and one that is
            # gone shows itself by failing.
            self._state_list(versions.Versioned(answer.endpoints))
        self._next_note = answer.next_note
        # A box that has just started gets its notes page by page; until it has them all it sends
        # prompts to engines that do not hold them.
        taken = sum(len(parts) for parts in answer.notes.values())
        self._more_notes = taken >= prompt_part_index.MAX_NOTES_PER_RESPONSE
        self._fetch.set_target_version(answer.configuration_version)
        if answer.loads is not None:
            known = attrs.evolve(
                known,
                loads=self._by_key(answer.loads, answer),
                own_loads=own_loads.in_flight,
                reading_tokens=self._by_key(answer.reading_tokens, answer),
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
            mixed=None if answer.mixed is None else frozenset(answer.mixed),
            heard_no_leader=answer.lease_s <= 0,
            leader_address=self._leader,
            registered_boxes=answer.registered_boxes or known.registered_boxes,
        )
        changed = self._with_cold(changed, answer, sent_at_s)
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
        if answer.endpoints or self._believed.has_stale_entries:
            changed = self._with_endpoints(changed, self._stated)
        self._counts.learn_notes(answer.notes)
        self._view.publish(changed)

    def _with_cold(
        self,
        state: router_state.RouterState,
        answer: box_messages.BoxReportAnswer,
        sent_at_s: float,
    ) -> router_state.RouterState:
        """Return the state with what was told of cold endpoints; kept if it is of another list."""
        kept = state.without_old_returns(self._clock.monotonic_s())
        if answer.endpoints_version != self._stated.version:
            return kept
        told = send_quotas.decode_quotas(self._by_key(answer.cold, answer))
        return attrs.evolve(kept, cold=told, cold_at_s=sent_at_s)

    def _by_key(
        self, numbers: tuple[int, ...], answer: box_messages.BoxReportAnswer
    ) -> dict[str, int]:
        """Return counts by endpoint; none where this box holds another list than they go by."""
        if answer.endpoints_version != self._stated.version:
            return {}
        return listed_counts.decode_counts(numbers, self._stated_keys)

    def _state_list(self, stated: versions.Versioned[listing.Endpoints]) -> None:
        """Take a list as it was told or read; its keys are made once, not at each answer."""
        self._stated = stated
        self._stated_keys = [each.key for each in stated.value]

    def _with_endpoints(
        self, state: router_state.RouterState, stated: versions.Versioned[listing.Endpoints]
    ) -> router_state.RouterState:
        """Return the state with what is believed of a list; lives that ended are forgotten."""
        endpoints = self._believed.update(stated.value, self._clock.monotonic_s())
        self._counts.keep(endpoints)
        self._suspected.keep(endpoints)
        self._origins.keep(endpoints)
        return attrs.evolve(state, endpoints=endpoints, endpoints_version=stated.version)

    def _failed(self, address: str, failure: errors.CroftpulleyError) -> None:
        """Log the first failed renewal of a row, and the loss of the lease once."""
        if not self._fails:
            events.emit(
                _LOG,
                events.Event.RENEW_FAILED,
                level=logging.WARNING,
                address=address,
                problem=str(failure),
            )
        self._fails = True
        if self._lease.until_s > 0 and not self._lease.is_valid(self._clock.monotonic_s()):
            events.emit(_LOG, events.Event.LEASE_LOST, level=logging.ERROR)
            self._lease.until_s = float("-inf")
