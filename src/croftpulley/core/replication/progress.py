"""Replication progress of the other replicas, as tracked by the leader."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from croftpulley.core.replication import command_chunks, messages


@attrs.define
class Progress:
    """The replication progress of one other replica.

    ``tracked_since_s`` is when this leader began to track it, so that a new member doesn't count as
    silent. ``acknowledged_sent_s`` is when the newest request was sent that it has answered in this
    term: it followed this leader at that time, whatever has happened since.
    """

    next_index: int
    tracked_since_s: float
    match_index: int = 0
    acknowledged_sent_s: float = float("-inf")
    in_flight: bool = False
    sent_s: float = float("-inf")
    outgoing_snapshot: command_chunks.OutgoingSnapshot | None = None

    def record_acknowledgement(self, sent_s: float) -> None:
        """Record a reply to a request that was sent at ``sent_s``."""
        self.acknowledged_sent_s = max(self.acknowledged_sent_s, sent_s)

    def record_match(self, match_index: int) -> None:
        """Record that the replica's log matches the leader's up to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = self.match_index + 1
        self.outgoing_snapshot = None

    def record_snapshot_reply(self, reply: messages.SnapshotReply) -> None:
        """Record how much of the snapshot being sent the replica has."""
        if self.outgoing_snapshot is not None and self.outgoing_snapshot.record_reply(reply):
            self.record_match(reply.index)

    def current_snapshot(self, newest: messages.Snapshot) -> command_chunks.OutgoingSnapshot:
        """Return the snapshot that is being sent; start to send ``newest`` if there is none."""
        if self.outgoing_snapshot is None:
            self.outgoing_snapshot = command_chunks.OutgoingSnapshot(newest)
        return self.outgoing_snapshot


def quorum_value(values: list[float], quorum: int) -> float:
    """Return the largest value that at least ``quorum`` of ``values`` reach, else ``-inf``.

    >>> quorum_value([5, 3, 4], 2)
    4
    """
    if len(values) < quorum:
        return float("-inf")
    return sorted(values, reverse=True)[quorum - 1]


class ProgressTracker:
    """The progress of all other members, tracked by the leader ``replica``."""

    def __init__(self, replica: str) -> None:
        self._replica = replica
        self._by_replica: dict[str, Progress] = {}

    def find(self, replica: str) -> Progress | None:
        """Return the progress of ``replica``, or ``None`` if it isn't tracked."""
        return self._by_replica.get(replica)

    def reset(self) -> None:
        """Drop all progress, as at the start of a leader's term."""
        self._by_replica = {}

    def set_members(self, members: messages.Members, next_index: int, now_s: float) -> None:
        """Track exactly the other replicas of ``members``; new ones start at ``next_index``."""
        peers = {each.replica for each in members.members} - {self._replica}
        for name in peers - set(self._by_replica):
            self._by_replica[name] = Progress(next_index, tracked_since_s=now_s)
        for name in set(self._by_replica) - peers:
            del self._by_replica[name]

    def quorum_acknowledged_sent_s(self, members: messages.Members, now_s: float) -> float:
        """Return the newest time at which a quorum is known to have followed the leader.

        That is when the requests were sent that a quorum has acknowledged; ``-inf`` if none.
        """
        times = [
            now_s if voter == self._replica else self._by_replica[voter].acknowledged_sent_s
            for voter in members.voters
            if voter == self._replica or voter in self._by_replica
        ]
        return quorum_value(times, members.quorum)

    def quorum_index(self, members: messages.Members, last_index: int) -> int:
        """Return the highest index up to which a quorum has the log.

        The leader itself has it up to ``last_index``.
        """
        matches = [
            float(last_index if voter == self._replica else self._match_index(voter))
            for voter in members.voters
        ]
        return int(max(0.0, quorum_value(matches, members.quorum)))

    def _match_index(self, replica: str) -> int:
        peer = self._by_replica.get(replica)
        return peer.match_index if peer else 0

    def silent(self, now_s: float, after_s: float) -> frozenset[str]:
        """Return the replicas that have answered no request sent in the last ``after_s``.

        Replicas tracked for a shorter time are left out.
        """
        return frozenset(
            name
            for name, known in self._by_replica.items()
            if now_s - max(known.acknowledged_sent_s, known.tracked_since_s) > after_s
        )

    def is_sending_snapshot(self) -> bool:
        """Return whether a snapshot is being sent to any replica."""
        return any(known.outgoing_snapshot is not None for known in self._by_replica.values())

    def has_caught_up(self, replica: str, commit_index: int, now_s: float, within_s: float) -> bool:
        """Return whether ``replica`` has all committed entries and answered a recent request.

        The request must have been sent less than ``within_s`` ago.
        """
        peer = self._by_replica.get(replica)
        if peer is None or peer.match_index < commit_index:
            return False
        return now_s - peer.acknowledged_sent_s < within_s

    def claim_due(
        self,
        last_index: int,
        now_s: float,
        reply_timeout_s: float,
        heartbeat_interval_s: float | None,
    ) -> Iterator[tuple[str, Progress]]:
        """Yield each replica that is due for a request, and mark it as in flight.

        A replica is due if it lacks entries or was sent nothing for ``heartbeat_interval_s``
        (``None``: no heartbeats). A request in flight is waited for at most ``reply_timeout_s``.
        """
        for name, peer in self._by_replica.items():
            since_s = now_s - peer.sent_s
            if peer.in_flight and since_s < reply_timeout_s:
                continue
            heartbeat_due = heartbeat_interval_s is not None and since_s >= heartbeat_interval_s
            if peer.next_index <= last_index or heartbeat_due:
                peer.in_flight = True
                peer.sent_s = now_s
                yield name, peer
