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
    return status


def _role_and_leader(status: ReplicaStatus) -> tuple[states.Role, int, str]:
    return status.role, status.term, status.leader_address
