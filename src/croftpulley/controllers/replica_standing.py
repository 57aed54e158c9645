"""What other threads may know of this box's replica, and the line of each change of its role."""

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
class Standing:
    """What other threads may know of the replica.

    ``authority_until_s`` is on this box's steady clock; until then no other box can lead.
    ``silent_addresses`` are those of members that lately answered this leader nothing.
    """

    role: states.Role = states.Role.FOLLOWER
    term: int = 0
    leader_address: str = ""
    authority_until_s: float = float("-inf")
    members: messages.Members = attrs.field(factory=messages.Members)
    silent_addresses: tuple[str, ...] = ()

    def leads(self, now_s: float) -> bool:
        """Tell whether this box alone may answer for the agreed state."""
        return now_s < self.authority_until_s

    @property
    def addresses(self) -> tuple[str, ...]:
        """Where all members are reached."""
        return tuple(member.address for member in self.members.members)


def publish(view: actors.View[Standing], replica: replicas.Replica, now_s: float) -> Standing:
    """Let others know how the replica stands now, and return it."""
    before = view.get()
    standing = Standing(
        role=replica.role,
        term=replica.term,
        leader_address=replica.leader_address(),
        authority_until_s=replica.authority_until_s(now_s),
        members=replica.members,
        silent_addresses=replica.silent_addresses(now_s),
    )
    if standing != before:
        view.publish(standing)
    if _position(standing) != _position(before):
        events.emit(
            _LOG,
            events.Event.REPLICA_ROLE,
            role=standing.role.value,
            term=standing.term,
            leader_address=standing.leader_address,
            last_index=replica.log.last_index,
            commit_index=replica.commit_index,
        )
    return standing


def _position(standing: Standing) -> tuple[states.Role, int, str]:
    return standing.role, standing.term, standing.leader_address
