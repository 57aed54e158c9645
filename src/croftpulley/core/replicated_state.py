"""The replicated state: what every control box computes from the same log of commands.

A command is applied after it is durable. Applying is deterministic: commands carry the time.
"""

from __future__ import annotations

import attrs

from croftpulley.core import (
    claims,
    halls,
    membership,
    pool_versions,
    submissions,
    suspect_messages,
    suspect_rules,
    suspects,
)


@attrs.frozen
class SubmitConfiguration:
    """An operator submits a configuration."""

    submission: submissions.Submission


@attrs.frozen
class RegisterBox:
    """Records an entry box before its first lease is granted.

    A control box that restarts reads from the log whose leases it has to wait out.
    """

    box: membership.Box


@attrs.frozen
class ForgetBox:
    """Removes a box whose lease has ended."""

    box: str


@attrs.frozen
class GrantOwnership:
    """Makes a box the owner of an engine, in the next epoch."""

    engine: str
    box: str


@attrs.frozen
class ClaimCall:
    """A box claims a call that must not be executed twice (not idempotent)."""

    workspace: str
    key: str
    digest: str
    claim_id: str
    at_wall_s: float


@attrs.frozen
class RecordOutcome:
    """A box records the outcome of a claimed call."""

    workspace: str
    key: str
    outcome: claims.Outcome


@attrs.frozen
class DropClaims:
    """Drops claims older than the claim window, a bounded number per command."""

    before_wall_s: float


@attrs.frozen
class ReportSuspects:
    """A router reports endpoint crashes, ended trials and requests answered completely."""

    report: suspect_messages.Report
    at_wall_s: float


@attrs.frozen
class BeginTrial:
    """A router asks to try a suspect on one endpoint, for ``limit_s`` at most."""

    fingerprint: str
    trial: str
    limit_s: float
    at_wall_s: float
    asker: suspect_messages.Asker = attrs.field(factory=suspect_messages.Asker)


@attrs.frozen
class EvacuateHall:
    """An operator evacuates a data hall: its endpoints get no more requests."""

    hall: str


@attrs.frozen
class ReturnHall:
    """An operator ends the evacuation of a data hall."""

    hall: str


@attrs.frozen
class NoteVersions:
    """Records the exact set of versions in the endpoint list that the leader has just read."""

    listed: tuple[pool_versions.PoolVersion, ...]
    at_wall_s: float


Command = (
    SubmitConfiguration
    | RegisterBox
    | ForgetBox
    | GrantOwnership
    | ClaimCall
    | RecordOutcome
    | DropClaims
    | ReportSuspects
    | BeginTrial
    | EvacuateHall
    | ReturnHall
    | NoteVersions
)

Result = (
    submissions.SubmissionAnswer
    | membership.Ownership
    | membership.Box
    | claims.ClaimAnswer
    | suspect_messages.TrialAnswer
    | tuple[suspect_rules.Suspect, ...]
    | halls.EvacuatedHalls
    | pool_versions.PoolVersions
    | bool
    | int
)


@attrs.define
class ReplicatedState:
    """The state that must survive restarts of control boxes."""

    submissions: submissions.ConfigurationRegister = attrs.field(factory=submissions.Submissions)
    claims: claims.Claims = attrs.field(factory=claims.Claims)
    boxes: dict[str, membership.Box] = attrs.field(factory=dict)
    owners: dict[str, membership.Ownership] = attrs.field(factory=dict)
    suspects: suspects.Suspects = attrs.field(factory=suspects.Suspects)
    evacuated: halls.EvacuatedHalls = attrs.field(factory=halls.EvacuatedHalls)
    pool_versions: pool_versions.PoolVersions = attrs.field(factory=pool_versions.PoolVersions)

    def clear(self) -> None:
        """Reset to the empty state; keeps the class of the submission register."""
        self.submissions = type(self.submissions)()
        self.claims = claims.Claims()
        self.boxes = {}
        self.owners = {}
        self.suspects = suspects.Suspects()
        self.evacuated = halls.EvacuatedHalls()
        self.pool_versions = pool_versions.PoolVersions()

    def apply(self, command: Command) -> Result:
        """Apply one command and return its result."""
        match command:
            case SubmitConfiguration(submission):
                return self.submissions.submit(submission)
            case RegisterBox(box):
                self.boxes[box.name] = box
                return box
            case ForgetBox(name):
                return self.boxes.pop(name, None) is not None
            case GrantOwnership(engine, box_name):
                return self._grant(engine, box_name)
            case ClaimCall(workspace, key, digest, claim_id, at_wall_s):
                return self.claims.claim(workspace, key, digest, claim_id, at_wall_s)
            case RecordOutcome(workspace, key, outcome):
                return self.claims.record(workspace, key, outcome)
            case DropClaims(before_wall_s):
                return self.claims.drop_before(before_wall_s)
            case ReportSuspects(report, at_wall_s):
                return self.suspects.report(report, at_wall_s)
            case BeginTrial(fingerprint, trial, limit_s, at_wall_s, asker):
                return self.suspects.begin_trial(fingerprint, trial, limit_s, at_wall_s, asker)
            case EvacuateHall(hall):
                self.evacuated = self.evacuated.with_hall(hall)
                return self.evacuated
            case ReturnHall(hall):
                self.evacuated = self.evacuated.without_hall(hall)
                return self.evacuated
            case NoteVersions(listed, at_wall_s):
                self.pool_versions = self.pool_versions.with_listed(listed, at_wall_s)
                return self.pool_versions

    def _grant(self, engine: str, box: str) -> membership.Ownership:
        before = self.owners.get(engine)
        epoch = before.epoch + 1 if before else 1
        self.owners[engine] = membership.Ownership(engine, box, epoch)
        return self.owners[engine]
