"""The status of this box's replica for other threads, and the log line for each role change."""

from __future__ import annotations

import logging

import attrs

from croftpulley.controllers import actors
from croftpulley.core.replication import messages
from croftpulley.core.replication import replica as replicas
from croftpulley.core.replication import state as states
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)


@attrs.frozen
class ReplicaStatus:
    """A snapshot of the replica's state, published to other threads.

    ``authority_until_s`` is on this box's monotonic clock; until then no other box can become
    leader (a leader lease). ``silent_addresses`` are the addresses of members that have recently
    not answered this leader.
    """

    role: states.Role = states.Role.FOLLOWER
    term: int = 0
    leader_address: str = ""
    authority_until_s: float = float("-inf")
    members: messages.Members = attrs.field(factory=messages.Members)
    silent_addresses: tuple[str, ...] = ()

    def has_authority(self, now_s: float) -> bool:
        """Return whether this box is certain that no other one leads, so that it may answer."""
        return now_s < self.authority_until_s

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses of all members."""
        return tuple(member.address for member in self.members.members)

    @property
    def spare_voters(self) -> int | None:
        """How many more voters may fail until none can lead, ``None`` if this box doesn't lead.

        >>> three = messages.Members(tuple(messages.Member(each, each) for each in "abc"))
        >>> lead = ReplicaStatus(role=states.Role.LEADER, members=three, silent_addresses=("b",))
        >>> lead.spare_voters, ReplicaStatus(members=three).spare_voters
        (0, None)
        """
        if self.role is not states.Role.LEADER:
            return None
        voters = [each for each in self.members.members if each.voter]
        answering = [each for each in voters if each.address not in self.silent_addresses]
        return max(0, len(answering) - self.members.quorum)


def publish(
    view: actors.View[ReplicaStatus], replica: replicas.Replica, now_s: float
) -> ReplicaStatus:
    """Publish the replica's current status if it changed, log a role change, return the status."""
    previous = view.get()
    status = ReplicaStatus(
        role=replica.role,
        term=replica.term,
        leader_address=replica.leader_address(),
        authority_until_s=replica.leader_lease_until_s(now_s),
        members=replica.members,
        silent_addresses=replica.silent_addresses(now_s),
    )
    if status != previous:
        view.publish(status)
    if _role_and_leader(status) != _role_and_leader(previous):
        events.emit(
            _LOG,
            events.Event.REPLICA_ROLE,
            role=status.role.value,
            term=status.term,
            leader_address=status.leader_address,
            last_index=replica.log.last_index,
            commit_index=replica.commit_index,
        )
    if None not in (status.spare_voters, previous.spare_voters):
        _log_spare_voters(status, previous)
    return status


def _log_spare_voters(status: ReplicaStatus, previous: ReplicaStatus) -> None:
    """Log when more or fewer voters may fail than before; a lost one is also a lost spare."""
    if status.spare_voters == previous.spare_voters:
        return
    events.emit(
        _LOG,
        events.Event.SPARE_VOTERS_CHANGED,
        level=logging.INFO if status.spare_voters else logging.WARNING,
        spare_voters=status.spare_voters,
        voters=len(status.members.voters),
        silent_addresses=list(status.silent_addresses),
    )


def _role_and_leader(status: ReplicaStatus) -> tuple[states.Role, int, str]:
    return status.role, status.term, status.leader_address
