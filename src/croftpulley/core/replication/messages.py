"""Messages between replicas, and the values that they store."""

from __future__ import annotations

import enum

import attrs


class EntryKind(enum.Enum):
    """The kind of a log entry."""

    COMMAND = "command"
    """A command of the state machine; its payload isn't interpreted here."""
    MEMBERS = "members"
    """The membership from this entry on; the payload is empty, ``members`` is set."""
    START = "start"
    """The first entry of a leader's term; it has no content."""


@attrs.frozen
class Member:
    """A member: a voter, or a learner, which replicates the log but has no vote."""

    replica: str
    address: str
    voter: bool = True


@attrs.frozen
class Members:
    """The membership: all voters and learners."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[str, ...]:
        """The ids of the replicas that have a vote."""
        return tuple(each.replica for each in self.members if each.voter)

    @property
    def quorum(self) -> int:
        """The number of voters that make a majority.

        >>> Members((Member("a", ""), Member("b", ""), Member("c", "", voter=False))).quorum
        2
        """
        return len(self.voters) // 2 + 1

    def find(self, replica: str) -> Member | None:
        """Return the member with this id, or ``None``."""
        return next((each for each in self.members if each.replica == replica), None)


@attrs.frozen
class Entry:
    """One log entry; with ``continues`` its command is continued in the next entry."""

    term: int
    kind: EntryKind
    payload: str = ""
    members: Members | None = None
    continues: bool = False


@attrs.frozen
class Snapshot:
    """The encoded state machine after entry ``index``; replaces all entries up to it."""

    index: int = 0
    term: int = 0
    members: Members = attrs.field(factory=Members)
    state: str = ""


@attrs.frozen
class Write:
    """A change that must be on the disk before any message of the same effects is sent.

    ``entries`` start at ``first_index`` and replace all stored entries from there on.
    """

    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...] = ()


@attrs.frozen
class Stored:
    """A replica's persistent state, as loaded when it starts."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = attrs.field(factory=Snapshot)
    entries: tuple[Entry, ...] = ()


@attrs.frozen(kw_only=True)
class VoteRequest:
    """Requests a vote; with ``trial`` it is a pre-vote, which changes nothing at the voter."""

    to: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    trial: bool


@attrs.frozen(kw_only=True)
class VoteReply:
    """The reply to a `VoteRequest`; ``member`` tells whether the candidate is a member.

    ``if_all`` instead of ``granted`` is a conditional vote: it counts only if every voter votes
    for the candidate.
    """

    voter: str
    term: int
    granted: bool
    trial: bool
    if_all: bool = False
    member: bool = True


@attrs.frozen(kw_only=True)
class AppendRequest:
    """Entries from the leader; without entries it is a heartbeat."""

    to: str
    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int


@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """A chunk of the leader's snapshot, for a replica that needs entries already compacted.

    ``text`` starts at character ``offset`` of the state, which has ``length`` characters;
    ``index``, ``snapshot_term`` and ``members`` are those of the `Snapshot`.
    """

    to: str
    term: int
    leader: str
    index: int
    snapshot_term: int
    members: Members
    offset: int
    length: int
    text: str


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """The reply to a `SnapshotRequest`: the replica has ``received`` characters of the state."""

    replica: str
    term: int
    index: int
    received: int


@attrs.frozen(kw_only=True)
class AppendReply:
    """The reply to an `AppendRequest`.

    With ``success``, the log matches the leader's up to ``match_index``. Otherwise the leader
    should retry with the entries after ``match_index``.
    """

    replica: str
    term: int
    success: bool
    match_index: int


@attrs.frozen(kw_only=True)
class JoinRequest:
    """A replica that isn't a member asks to be added as a learner."""

    replica: str
    address: str


@attrs.frozen(kw_only=True)
class JoinReply:
    """The reply to a `JoinRequest`.

    ``taken`` tells whether the leader has the replica as a member now; ``leader_address`` is where
    to ask, empty if unknown.
    """

    taken: bool
    leader_address: str


Request = VoteRequest | AppendRequest | SnapshotRequest
Reply = VoteReply | AppendReply | SnapshotReply
