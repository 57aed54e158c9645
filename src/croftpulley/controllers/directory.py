"""The directory controller of a control box: leases, who is live, and who owns which engine."""

from __future__ import annotations

import logging

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import actors, agreement
from croftpulley.core import agreed, leases, membership, placement, pool_totals
from croftpulley.observe import events
from croftpulley.transport import messages

_LOG = logging.getLogger(__name__)
_COMMIT_TIMEOUT_S = 5.0


@attrs.frozen
class BoxReport:
    """What a box last told at a renewal."""

    draining: bool
    configuration_version: int
    engines_version: int
    engines: tuple[membership.Endpoint, ...]
    released: frozenset[membership.Ownership]


@attrs.frozen
class WaitingFor:
    """Asks which live boxes do not use ``version`` yet."""

    version: int


@attrs.frozen
class Status:
    """Asks for the directory and the reports."""


@attrs.frozen
class StatusAnswer:
    """What the directory controller knows."""

    directory: membership.Directory
    configuration_versions: dict[str, int]


class DirectoryController(actors.Controller):
    """Grants leases, keeps the directory and moves engines to new owners."""

    def __init__(
        self,
        agreed_state: agreement.Agreement,
        lease_s: float,
        drift_margin_s: float,
        claim_window_s: float,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._agreement = agreed_state
        self._lease_s = lease_s
        self._claim_window_s = claim_window_s
        self._clock = clock
        self._leases = leases.GrantedLeases(lease_s, drift_margin_s)
        self._reports: dict[str, BoxReport] = {}
        self._totals = pool_totals.PoolTotals()
        self._engines: dict[str, membership.Endpoint] = {}
        # Begins anew with each start, above any version of an earlier start.
        self._directory = membership.Directory(version=int(clock.wall_s() * 1000) << 16)
        for box in agreed_state.read().boxes:
            self._leases.assume(box, clock.monotonic_s())

    def handle(self, message: object) -> object:
        """Renew, tick, or answer what is asked."""
        match message:
            case messages.Renewal():
                return self._renew(message)
            case actors.Tick():
                self._tick()
                return None
            case WaitingFor(version):
                return self._waiting_for(version)
            case Status():
                versions = {
                    name: report.configuration_version for name, report in self._reports.items()
                }
                return StatusAnswer(self._directory, versions)
        raise TypeError(f"got a message of no known type: {message!r}")

    def _renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        state = self._agreement.read()
        if state.boxes.get(renewal.box.name) != renewal.box:
            self._commit(agreed.RegisterBox(renewal.box))
        self._leases.renew(renewal.box.name, self._clock.monotonic_s())
        if self._take_report(renewal):
            self._place()
        return self._answer(renewal)

    def _take_report(self, renewal: messages.Renewal) -> bool:
        """Keep the report; return whether it asks for a look at who owns what.

        Most renewals do not, and that look costs as much as there are boxes and engines.
        """
        known = self._reports.get(renewal.box.name)
        engines = renewal.engines
        version = renewal.engines_version
        if engines is None:
            engines = known.engines if known else ()
            version = known.engines_version if known else 0
        report = BoxReport(
            draining=renewal.box.draining,
            configuration_version=renewal.configuration_version,
            engines_version=version,
            engines=membership.keep_leaving(self._engines, engines),
            released=frozenset(renewal.released),
        )
        self._reports[renewal.box.name] = report
        self._totals.replace(renewal.box.name, renewal.loads)
        return known is None or attrs.evolve(known, configuration_version=0) != attrs.evolve(
            report, configuration_version=0
        )

    def _answer(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        held = self._agreement.read().submissions.held
        stale = renewal.configuration_version < held.version
        same_directory = renewal.directory_version == self._directory.version
        return messages.RenewalAnswer(
            lease_s=self._lease_s,
            configuration_version=held.version,
            configuration_json=held.document_json if stale else None,
            directory=None if same_directory else self._directory,
            engines_version=self._reports[renewal.box.name].engines_version,
            loads=self._totals.loads(),
        )

    def _tick(self) -> None:
        for box in self._leases.expire(self._clock.monotonic_s()):
            events.emit(_LOG, events.Event.BOX_EXPIRED, expired_box=box)
            self._reports.pop(box, None)
            self._totals.replace(box, ())
            self._commit(agreed.ForgetBox(box))
        self._drop_old_claims()
        self._place()

    def _drop_old_claims(self) -> None:
        before_wall_s = self._clock.wall_s() - self._claim_window_s
        oldest = self._agreement.read().claims.oldest_at_wall_s()
        if oldest is not None and oldest < before_wall_s:
            self._commit(agreed.DropClaims(before_wall_s))

    def _place(self) -> None:
        self._engines = self._listed_engines()
        state = self._agreement.read()
        usable = tuple(engine.name for engine in self._engines.values() if not engine.leaving)
        takers = tuple(
            box.name
            for box in state.boxes.values()
            if box.name in self._reports and not box.draining
        )
        owners = {engine: owner.box for engine, owner in state.owners.items()}
        for grant in placement.grants(usable, takers, owners, self._free_engines(state)):
            self._commit(agreed.GrantOwnership(grant.engine, grant.box))
            events.emit(
                _LOG,
                events.Event.OWNERSHIP_GRANTED,
                ownership=attrs.asdict(state.owners[grant.engine]),
            )
        self._publish(state)

    def _listed_engines(self) -> dict[str, membership.Endpoint]:
        """Merge the boxes' lists: leaving wins, since a box that lags does not know of it yet."""
        merged: dict[str, membership.Endpoint] = {}
        for name in sorted(self._reports):
            for engine in self._reports[name].engines:
                seen = merged.get(engine.name)
                if seen is None or (engine.leaving and not seen.leaving):
                    merged[engine.name] = engine
        return merged

    def _free_engines(self, state: agreed.AgreedState) -> frozenset[str]:
        """Return engines whose owner gave them up or whose owner's lease has ended."""
        now_s = self._clock.monotonic_s()
        free = set()
        for engine, owner in state.owners.items():
            report = self._reports.get(owner.box)
            given_up = report is not None and owner in report.released
            if given_up or not self._leases.live(owner.box, now_s):
                free.add(engine)
        return frozenset(free)

    def _publish(self, state: agreed.AgreedState) -> None:
        boxes = [box for name, box in sorted(state.boxes.items()) if name in self._reports]
        owners = [
            owner for engine, owner in sorted(state.owners.items()) if engine in self._engines
        ]
        changed = attrs.evolve(
            self._directory,
            boxes=tuple(boxes),
            engines=tuple(self._engines[name] for name in sorted(self._engines)),
            owners=tuple(owners),
        )
        if changed != self._directory:
            self._directory = attrs.evolve(changed, version=changed.version + 1)

    def _waiting_for(self, version: int) -> tuple[str, ...]:
        """Return boxes that may serve and do not use ``version``: also those not heard since."""
        now_s = self._clock.monotonic_s()
        return tuple(
            name
            for name in sorted(self._agreement.read().boxes)
            if self._leases.live(name, now_s)
            and (name not in self._reports or self._reports[name].configuration_version < version)
        )

    def _commit(self, command: agreed.Command) -> agreed.Result:
        return self._agreement.propose(command).get(timeout=_COMMIT_TIMEOUT_S)
