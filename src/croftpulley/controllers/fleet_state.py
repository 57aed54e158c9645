"""The fleet-state controller of an entry box: lease, configuration, directory and loads.

It renews the lease with the control boxes at a fixed interval and publishes the answers.
"""

from __future__ import annotations

import logging
import zlib

import attrs
import orjson

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, gate, state
from croftpulley.core import leases, membership, placement
from croftpulley.observe import events
from croftpulley.settings import fleet, loader
from croftpulley.transport import control_client, messages

_LOG = logging.getLogger(__name__)


@attrs.frozen
class StartDraining:
    """Asks the controller to report this box as draining and to release all its engines."""


class FleetStateController(actors.Controller):
    """Renews the lease at each tick and publishes `state.FleetState`."""

    def __init__(
        self,
        box: membership.Box,
        margin_s: float,
        control: control_client.ControlClient,
        endpoints: actors.View[tuple[membership.Endpoint, ...]],
        view: actors.View[state.FleetState],
        engine_gate: gate.EngineGate,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._box = box
        self._lease = leases.HeldLease(margin_s)
        self._control = control
        self._endpoints = endpoints
        self._view = view
        self._gate = engine_gate
        self._clock = clock
        self._acknowledged_engines = 0
        self._renewal_fails = False

    def handle(self, message: object) -> None:
        """Renew, or begin to drain."""
        match message:
            case actors.Tick():
                self._renew()
            case StartDraining():
                self._box = attrs.evolve(self._box, draining=True)
                self._view.publish(attrs.evolve(self._view.get(), draining=True))
                self._renew()

    def _renew(self) -> None:
        renewal = self._make_renewal()
        sent_at_s = self._clock.monotonic_s()
        try:
            answer = self._control.renew(renewal)
        except errors.CroftpulleyError as failure:
            self._note_failed_renewal(failure)
            return
        self._renewal_fails = False
        self._acknowledged_engines = answer.engines_version
        had_lease = self._lease.is_valid(self._clock.monotonic_s())
        self._lease.record_renewal(sent_at_s, answer.lease_s)
        if not had_lease:
            events.emit(_LOG, events.Event.LEASE_GAINED, lease_s=answer.lease_s)
        self._apply_answer(answer, renewal)

    def _make_renewal(self) -> messages.Renewal:
        known = self._view.get()
        engines = engines_of(self._endpoints.get())
        version = engines_version(engines)
        give_up = placement.engines_to_release(self._box.name, known.directory, self._box.draining)
        return messages.Renewal(
            box=self._box,
            configuration_version=known.configuration.version,
            directory_version=known.directory.version,
            engines_version=version,
            engines=None if version == self._acknowledged_engines else engines,
            loads=self._gate.pool_loads(),
            released=self._gate.release(give_up),
        )

    def _apply_answer(self, answer: messages.RenewalAnswer, renewal: messages.Renewal) -> None:
        known = self._view.get()
        configuration = known.configuration
        if answer.configuration_json and answer.configuration_version > configuration.version:
            configuration = _parse_configuration(answer)
            events.emit(
                _LOG, events.Event.CONFIGURATION_IN_USE, configuration_version=configuration.version
            )
        changed = attrs.evolve(
            known,
            lease_until_s=self._lease.until_s,
            configuration=configuration,
            directory=answer.directory or known.directory,
            loads=answer.loads,
        )
        # The gate first: whoever sees the new directory may rely on the gate knowing it.
        self._gate.apply_fleet_state(changed, renewal.loads)
        self._view.publish(changed)

    def _note_failed_renewal(self, failure: errors.CroftpulleyError) -> None:
        """Log the first of consecutive failed renewals, and the loss of the lease once."""
        if not self._renewal_fails:
            events.emit(
                _LOG, events.Event.RENEW_FAILED, level=logging.WARNING, problem=str(failure)
            )
        self._renewal_fails = True
        if self._lease.until_s > 0 and not self._lease.is_valid(self._clock.monotonic_s()):
            events.emit(_LOG, events.Event.LEASE_LOST, level=logging.ERROR)
            self._lease.until_s = float("-inf")


def engines_of(
    endpoints: tuple[membership.Endpoint, ...],
) -> tuple[membership.Endpoint, ...]:
    """Return the engines among ``endpoints``, sorted by name."""
    engines = [each for each in endpoints if each.kind is membership.EndpointKind.ENGINE]
    return tuple(sorted(engines, key=lambda engine: engine.name))


def engines_version(engines: tuple[membership.Endpoint, ...]) -> int:
    """Return a checksum of the list's content as its version; never 0."""
    return zlib.crc32(orjson.dumps([attrs.astuple(engine) for engine in engines], default=str)) + 1


def _parse_configuration(answer: messages.RenewalAnswer) -> fleet.FleetConfiguration:
    document = orjson.loads(answer.configuration_json or "{}")
    configuration = loader.structure(document, fleet.FleetConfiguration, "(agreed)")
    return attrs.evolve(configuration, version=answer.configuration_version)
