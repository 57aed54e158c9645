"""What replicas say to each other, and what they keep."""

from __future__ import annotations

import enum

import attrs


class EntryKind(enum.Enum):
    """What an entry of the log holds."""

    COMMAND = "command"
    """A command of the agreed state; opaque here."""
    MEMBERS = "members"
    """The set of replicas from this entry on; the payload is empty, ``members`` is set."""
    START = "start"
    """The first entry of a leader's term, without content."""


@attrs.frozen
class Member:
    """A replica of the set. A learner copies the log and has no vote."""

    replica: str
    address: str
    voter: bool = True


@attrs.frozen
class Members:
    """A set of replicas."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[str, ...]:
        """The ids of the replicas that have a vote."""
        return tuple(each.replica for each in self.members if each.voter)

    @property
    def quorum(self) -> int:
        """How many voters make a majority.

        >>> Members((Member("a", ""), Member("b", ""), Member("c", "", voter=False))).quorum
        2
        """
        return len(self.voters) // 2 + 1

    def find(self, replica: str) -> Member | None:
        """Return the member with this id."""
        return next((each for each in self.members if each.replica == replica), None)


@attrs.frozen
class Entry:
    """One entry of the log; with ``continues`` its command goes on in the next entry."""

    term: int
    kind: EntryKind
    payload: str = ""
    members: Members | None = None
    continues: bool = False


@attrs.frozen
class Snapshot:
    """The agreed state after entry ``index``, which stands for all entries up to it."""

    index: int = 0
    term: int = 0
    members: Members = attrs.field(factory=Members)
    state: str = ""


@attrs.frozen
class Write:
    """What must be on the disk before anything of the same effects is sent.

    ``entries`` begin at ``first_index`` and replace whatever the log held from there on.
    """

    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...] = ()


@attrs.frozen
class Stored:
    """What a replica finds on its disk when it starts."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = attrs.field(factory=Snapshot)
    entries: tuple[Entry, ...] = ()


@attrs.frozen(kw_only=True)
class VoteRequest:
    """Asks for a vote; a trial asks only whether there would be one, and changes nothing."""

    to: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    trial: bool


@attrs.frozen(kw_only=True)
class VoteReply:
    """The answer to a `VoteRequest`. ``member`` tells whether the candidate is one.

    A vote with ``if_all`` instead of ``granted`` counts only if every voter gives one.
    """

    voter: str
    term: int
    granted: bool
    trial: bool
    if_all: bool = False
    member: bool = True


@attrs.frozen(kw_only=True)
class AppendRequest:
    """Entries from the leader, or none: then a heartbeat."""

    to: str
    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int


@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """A part of the leader's snapshot, for a replica that is behind the log's beginning.

    ``text`` begins at character ``offset`` of the state, which has ``length`` characters; the
    other fields are those of the `Snapshot`.
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
    """The answer to a `SnapshotRequest`: the replica holds ``received`` characters of the state."""

    replica: str
    term: int
    index: int
    received: int


@attrs.frozen(kw_only=True)
class AppendReply:
    """The answer to an `AppendRequest`.

    Up to ``match_index`` the log agrees with the leader's if ``success``; otherwise the leader
    should go on from behind it.
    """

    replica: str
    term: int
    success: bool
    match_index: int


@attrs.frozen(kw_only=True)
class JoinRequest:
    """A replica that is in no set asks to be taken in as a learner."""

    replica: str
    address: str


@attrs.frozen(kw_only=True)
class JoinReply:
    """``leader_address`` is where to ask, empty if unknown; ``taken`` if this was the leader."""

    taken: bool
    leader_address: str


Request = VoteRequest | AppendRequest | SnapshotRequest
Reply = VoteReply | AppendReply | SnapshotReply
