"""What a leader knows of the other replicas."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from croftpulley.core.replication import long_texts, messages


@attrs.define
class Progress:
    """One other replica, as its leader sees it.

    ``since_s`` is when this leader began to follow it, so that one just met is not taken for
    silent. ``acknowledged_sent_s`` is when the newest request was sent that it has answered in this
    term: at that moment it followed this leader, whatever has happened since.
    """

    next_index: int
    since_s: float
    match_index: int = 0
    acknowledged_sent_s: float = float("-inf")
    in_flight: bool = False
    sent_s: float = float("-inf")
    outgoing: long_texts.OutgoingSnapshot | None = None

    def acknowledged(self, sent_s: float) -> None:
        """Note an answer to a request that was sent at ``sent_s``."""
        self.acknowledged_sent_s = max(self.acknowledged_sent_s, sent_s)

    def holds(self, match_index: int) -> None:
        """Note that the replica's log agrees up to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = self.match_index + 1
        self.outgoing = None

    def received(self, reply: messages.SnapshotReply) -> None:
        """Note how much of the snapshot under way the replica holds."""
        if self.outgoing is not None and self.outgoing.is_received(reply):
            self.holds(reply.index)

    def snapshot_part(self, newest: messages.Snapshot) -> long_texts.OutgoingSnapshot:
        """Return the snapshot that is under way, or begin with ``newest``."""
        if self.outgoing is None:
            self.outgoing = long_texts.OutgoingSnapshot(newest)
        return self.outgoing


def quorum_value(values: list[float], quorum: int) -> float:
    """Return the largest value that at least ``quorum`` of ``values`` reach.

    >>> quorum_value([5, 3, 4], 2)
    4
    """
    if len(values) < quorum:
        return float("-inf")
    return sorted(values, reverse=True)[quorum - 1]


class Others:
    """The progress of all other replicas of the set, kept by the leader ``replica``."""

    def __init__(self, replica: str) -> None:
        self._replica = replica
        self._by_name: dict[str, Progress] = {}

    def find(self, replica: str) -> Progress | None:
        """Return what is known of ``replica``, ``None`` if it is not followed."""
        return self._by_name.get(replica)

    def forget(self) -> None:
        """Begin anew, as a leader of a new term does."""
        self._by_name = {}

    def follow(self, members: messages.Members, next_index: int, now_s: float) -> None:
        """Keep progress for exactly the other replicas of ``members``."""
        others = {each.replica for each in members.members} - {self._replica}
        for name in others - set(self._by_name):
            self._by_name[name] = Progress(next_index, since_s=now_s)
        for name in set(self._by_name) - others:
            del self._by_name[name]

    def quorum_sent_s(self, members: messages.Members, now_s: float) -> float:
        """Return when a quorum is known to have followed the leader."""
        times = [
            now_s if voter == self._replica else self._by_name[voter].acknowledged_sent_s
            for voter in members.voters
            if voter == self._replica or voter in self._by_name
        ]
        return quorum_value(times, members.quorum)

    def quorum_index(self, members: messages.Members, last_index: int) -> int:
        """Return up to which index a quorum holds the log; the leader holds ``last_index``."""
        matches = [
            float(last_index if voter == self._replica else self._match_index(voter))
            for voter in members.voters
        ]
        return int(max(0.0, quorum_value(matches, members.quorum)))

    def _match_index(self, replica: str) -> int:
        known = self._by_name.get(replica)
        return known.match_index if known else 0

    def silent(self, now_s: float, after_s: float) -> frozenset[str]:
        """Return the replicas that have not answered for ``after_s``."""
        return frozenset(
            name
            for name, known in self._by_name.items()
            if now_s - max(known.acknowledged_sent_s, known.since_s) > after_s
        )

    def are_sent_snapshots(self) -> bool:
        """Tell whether a snapshot is under way to any of them."""
        return any(known.outgoing is not None for known in self._by_name.values())

    def has_caught_up(self, replica: str, commit_index: int, now_s: float, within_s: float) -> bool:
        """Tell whether ``replica`` holds all that is committed and answered ``within_s``."""
        known = self._by_name.get(replica)
        if known is None or known.match_index < commit_index:
            return False
        return now_s - known.acknowledged_sent_s < within_s

    def take_due(
        self, last_index: int, now_s: float, answer_s: float, pause_s: float | None
    ) -> Iterator[tuple[str, Progress]]:
        """Yield each replica to send to, and count it as sent.

        Those are due that lack entries, or were sent nothing for ``pause_s`` (``None``: only those
        that lack entries); a request under way is waited for at most ``answer_s``.
        """
        for name, known in self._by_name.items():
            since_s = now_s - known.sent_s
            if known.in_flight and since_s < answer_s:
                continue
            paused = pause_s is not None and since_s >= pause_s
            if known.next_index <= last_index or paused:
                known.in_flight = True
                known.sent_s = now_s
                yield name, known
