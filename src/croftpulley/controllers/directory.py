"""The directory controller of a control box: leases, live boxes and the owners of engines."""

from __future__ import annotations

import logging

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import actors, agreement
from croftpulley.core import leases, membership, placement, pool_totals, replicated_state
from croftpulley.observe import events
from croftpulley.transport import messages

_LOG = logging.getLogger(__name__)
_COMMIT_TIMEOUT_S = 5.0


@attrs.frozen
class BoxReport:
    """The latest report of a box, sent with its lease renewal."""

    draining: bool
    configuration_version: int
    engines_version: int
    engines: tuple[membership.Endpoint, ...]
    released: frozenset[membership.Ownership]


@attrs.frozen
class FindLaggingBoxes:
    """Requests the names of live boxes that do not use configuration ``version`` yet."""

    version: int


@attrs.frozen
class Status:
    """Requests a `StatusAnswer`."""


@attrs.frozen
class StatusAnswer:
    """The directory, and the configuration version that each box last reported."""

    directory: membership.Directory
    configuration_versions: dict[str, int]


class DirectoryController(actors.Controller):
    """Grants leases, maintains the directory and assigns engines to boxes."""

    def __init__(
        self,
        log: agreement.CommandLog,
        lease_s: float,
        drift_margin_s: float,
        claim_window_s: float,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._command_log = log
        self._lease_s = lease_s
        self._claim_window_s = claim_window_s
        self._clock = clock
        self._leases = leases.GrantedLeases(lease_s, drift_margin_s)
        self._reports: dict[str, BoxReport] = {}
        self._totals = pool_totals.PoolTotals()
        self._engines: dict[str, membership.Endpoint] = {}
        # Versions are not stored; starting from the wall clock keeps them above earlier runs.
        self._directory = membership.Directory(version=int(clock.wall_s() * 1000) << 16)
        for box in log.read().boxes:
            self._leases.assume_granted(box, clock.monotonic_s())

    def handle(self, message: object) -> object:
        """Handle a renewal, a tick or a query; raises `TypeError` for any other message."""
        match message:
            case messages.Renewal():
                return self._renew(message)
            case actors.Tick():
                self._tick()
                return None
            case FindLaggingBoxes(version):
                return self._lagging_boxes(version)
            case Status():
                versions = {
                    name: report.configuration_version for name, report in self._reports.items()
                }
                return StatusAnswer(self._directory, versions)
        raise TypeError(f"unknown message type: {message!r}")

    def _renew(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        state = self._command_log.read()
        if state.boxes.get(renewal.box.name) != renewal.box:
            self._commit(replicated_state.RegisterBox(renewal.box))
        self._leases.renew(renewal.box.name, self._clock.monotonic_s())
        if self._store_report(renewal):
            self._assign_engines()
        return self._answer(renewal)

    def _store_report(self, renewal: messages.Renewal) -> bool:
        """Store a box's report; return whether engines must be reassigned because of it.

        Most renewals change nothing, and the cost of `_assign_engines` grows with the number of
        boxes and engines.
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
            engines=membership.carry_over_leaving_flags(self._engines, engines),
            released=frozenset(renewal.released),
        )
        self._reports[renewal.box.name] = report
        self._totals.replace(renewal.box.name, renewal.loads)
        return known is None or attrs.evolve(known, configuration_version=0) != attrs.evolve(
            report, configuration_version=0
        )

    def _answer(self, renewal: messages.Renewal) -> messages.RenewalAnswer:
        held = self._command_log.read().submissions.held
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
        for box in self._leases.remove_expired(self._clock.monotonic_s()):
            events.emit(_LOG, events.Event.BOX_EXPIRED, expired_box=box)
            self._reports.pop(box, None)
            self._totals.replace(box, ())
            self._commit(replicated_state.ForgetBox(box))
        self._drop_expired_claims()
        self._assign_engines()

    def _drop_expired_claims(self) -> None:
        before_wall_s = self._clock.wall_s() - self._claim_window_s
        oldest = self._command_log.read().claims.oldest_at_wall_s()
        if oldest is not None and oldest < before_wall_s:
            self._commit(replicated_state.DropClaims(before_wall_s))

    def _assign_engines(self) -> None:
        self._engines = self._listed_engines()
        state = self._command_log.read()
        assignable = tuple(engine.name for engine in self._engines.values() if not engine.leaving)
        eligible_boxes = tuple(
            box.name
            for box in state.boxes.values()
            if box.name in self._reports and not box.draining
        )
        owners = {engine: owner.box for engine, owner in state.owners.items()}
        for grant in placement.plan_grants(
            assignable, eligible_boxes, owners, self._reassignable_engines(state)
        ):
            self._commit(replicated_state.GrantOwnership(grant.engine, grant.box))
            events.emit(
                _LOG,
                events.Event.OWNERSHIP_GRANTED,
                ownership=attrs.asdict(state.owners[grant.engine]),
            )
        self._publish(state)

    def _listed_engines(self) -> dict[str, membership.Endpoint]:
        """Merge the engine lists of all boxes.

        An engine is leaving if any box reports so, since lagging boxes don't know of it yet.
        """
        merged: dict[str, membership.Endpoint] = {}
        for name in sorted(self._reports):
            for engine in self._reports[name].engines:
                seen = merged.get(engine.name)
                if seen is None or (engine.leaving and not seen.leaving):
                    merged[engine.name] = engine
        return merged

    def _reassignable_engines(self, state: replicated_state.ReplicatedState) -> frozenset[str]:
        """Return the engines that their owner released or whose owner has no valid lease."""
        now_s = self._clock.monotonic_s()
        reassignable = set()
        for engine, owner in state.owners.items():
            report = self._reports.get(owner.box)
            given_up = report is not None and owner in report.released
            if given_up or not self._leases.may_be_valid(owner.box, now_s):
                reassignable.add(engine)
        return frozenset(reassignable)

    def _publish(self, state: replicated_state.ReplicatedState) -> None:
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

    def _lagging_boxes(self, version: int) -> tuple[str, ...]:
        """Return the boxes with a lease that do not use ``version`` yet.

        A box that has not reported since this controller started counts as lagging.
        """
        now_s = self._clock.monotonic_s()
        return tuple(
            name
            for name in sorted(self._command_log.read().boxes)
            if self._leases.may_be_valid(name, now_s)
            and (name not in self._reports or self._reports[name].configuration_version < version)
        )

    def _commit(self, command: replicated_state.Command) -> replicated_state.Result:
        return self._command_log.propose(command).get(timeout=_COMMIT_TIMEOUT_S)
