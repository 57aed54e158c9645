"""The renewal controller of a router: its lease, and what it learns with each renewal."""

from __future__ import annotations

import logging
import random

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, listing, router_state, traffic
from croftpulley.core import leases, membership, sessions, tables
from croftpulley.observe import events, metrics
from croftpulley.settings import formats
from croftpulley.transport import box_messages, json_codec, links, packing

_LOG = logging.getLogger(__name__)
RENEW_PATH = "/v1/boxes/renewals"
TICKS_AN_INTERVAL = 4
"""A box that may not serve yet (it lacks a lease, a configuration or endpoints) renews at each
tick, any other at every fourth one. After a loss of all processes routers are up 0.04 s before a
leader (design 011): the next tick then decides when they serve."""
_HOPS = 2
"""How often one renewal follows a box's word on who leads."""


@attrs.frozen
class StartDraining:
    """Asks to be named no more."""


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
        self._lease = leases.HeldLease(lease_margin_s)
        self._timeout_s = timeout_s
        self._interval_s = interval_s
        self._due_at_s = float("-inf")
        self._format = document_format
        self._counts = counts
        self._view = view
        self._listed = listed
        self._clock = clock
        self._counters = counters
        self._chance = chance
        self._links: dict[str, links.Link] = {}
        self._leader = ""
        self._next_note = 0
        self._fails = False

    def handle(self, message: object) -> None:
        """Renew, or begin to drain."""
        match message:
            case actors.Tick():
                if self._clock.monotonic_s() >= self._due_at_s:
                    self._renew()
            case StartDraining():
                self._box = attrs.evolve(self._box, draining=True)
                self._view.publish(attrs.evolve(self._view.get(), draining=True))
                self._renew()

    def _renew(self) -> None:
        """Renew; once more at once if that brought a configuration, so that it is known here."""
        began_s = self._clock.monotonic_s()
        before = self._view.get().configuration.version
        self._renew_once()
        if self._view.get().configuration.version != before:
            self._renew_once()
        self._take_own_listing()
        if self._view.get().may_serve(self._clock.monotonic_s()):
            # Half a tick early: ticks are never quite on time.
            tick_s = self._interval_s / TICKS_AN_INTERVAL
            self._due_at_s = began_s + self._interval_s - tick_s / 2

    def _take_own_listing(self) -> None:
        """Use the list that this box read itself if that is newer than what control told."""
        known = self._view.get()
        listed = self._listed.get()
        if listed.read_at_s <= known.heard_at_s or not listed.endpoints.value:
            return
        self._view.publish(
            attrs.evolve(
                known,
                endpoints=listed.endpoints.value,
                endpoints_version=listed.endpoints.version,
            )
        )

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

    def _ask(self, address: str, own_loads: sessions.Load) -> box_messages.BoxReportAnswer:
        known = self._view.get()
        report = box_messages.BoxReport(
            box=self._box,
            configuration_version=known.configuration.version,
            boxes_version=known.boxes_version,
            endpoints_version=known.endpoints_version,
            in_flight=own_loads.in_flight,
            reading_tokens=own_loads.reading_tokens,
            notes=self._counts.take_notes(),
            next_note=self._next_note,
            outcomes=self._counts.take_outcomes(),
        )
        if address not in self._links:
            self._links[address] = links.Link(address, self._timeout_s, self._counters)
        try:
            body = self._links[address].post(RENEW_PATH, json_codec.encode(report))
        except errors.CroftpulleyError:
            # Should it have arrived all the same, a note that comes twice changes nothing.
            self._counts.give_back_notes(report.notes)
            raise
        return json_codec.decode(body, box_messages.BoxReportAnswer)

    def _granted(
        self, answer: box_messages.BoxReportAnswer, sent_at_s: float, own_loads: sessions.Load
    ) -> None:
        if self._fails:
            events.emit(_LOG, events.Event.RENEWED_AGAIN, leader_address=self._leader)
        self._fails = False
        held = self._lease.holds(self._clock.monotonic_s())
        self._lease.renewed(sent_at_s, answer.lease_s)
        if not held:
            events.emit(
                _LOG,
                events.Event.LEASE_GAINED,
                lease_s=answer.lease_s,
                leader_address=self._leader,
            )
        self._learn_addresses(answer)
        self._take(answer, sent_at_s, own_loads)

    def _learn_addresses(self, answer: box_messages.BoxReportAnswer) -> None:
        """Keep the control boxes' present addresses, and the first ones should all be gone."""
        if not answer.control_addresses:
            return
        self._addresses = tuple(dict.fromkeys((*answer.control_addresses, *self._first_addresses)))
        for address in set(self._links) - set(self._addresses) - {answer.leader_address}:
            self._links.pop(address).close()

    def _take(
        self, answer: box_messages.BoxReportAnswer, sent_at_s: float, own_loads: sessions.Load
    ) -> None:
        known = self._view.get()
        self._counts.learn_notes(answer.notes)
        self._next_note = answer.next_note
        changed = attrs.evolve(
            known,
            lease_until_s=self._lease.until_s,
            tables=self._tables(known, answer),
            loads=answer.loads,
            own_loads=own_loads.in_flight,
            reading_tokens=answer.reading_tokens,
            own_reading_tokens=own_loads.reading_tokens,
            loads_at_s=sent_at_s,
            heard_at_s=sent_at_s,
            held_off=frozenset(answer.held_off),
        )
        if answer.boxes is not None:
            changed = attrs.evolve(changed, boxes=answer.boxes, boxes_version=answer.boxes_version)
            events.emit(_LOG, events.Event.BOXES_CHANGED, boxes=[box.name for box in answer.boxes])
        if answer.endpoints is not None and answer.endpoints:
            stated = {each.name: each for each in known.endpoints}
            changed = attrs.evolve(
                changed,
                endpoints=membership.keep_leaving(stated, answer.endpoints),
                endpoints_version=answer.endpoints_version,
            )
            self._counts.forget_all_but({each.name for each in answer.endpoints})
        self._view.publish(changed)

    def _tables(
        self, known: router_state.RouterState, answer: box_messages.BoxReportAnswer
    ) -> tables.Tables:
        """Return the newest configuration made ready; an older one is never taken."""
        older = answer.configuration_version <= known.configuration.version
        if answer.configuration_packed is None or older:
            return known.tables
        document = packing.unpack(answer.configuration_packed)
        configuration = attrs.evolve(
            self._format.parse(document), version=answer.configuration_version
        )
        events.emit(
            _LOG,
            events.Event.CONFIGURATION_IN_USE,
            configuration_version=configuration.version,
            routes=len(configuration.routes),
        )
        return tables.Tables(configuration)

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
        if self._lease.until_s > 0 and not self._lease.holds(self._clock.monotonic_s()):
            events.emit(_LOG, events.Event.LEASE_LOST, level=logging.ERROR)
            self._lease.until_s = float("-inf")
