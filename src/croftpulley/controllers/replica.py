"""The replica controller of a control box: drives one replica of the log with disk and network.

It is the only thread that touches the replica and the store. Whatever waits for the disk waits
here, so a box whose disk stalls falls silent and another one leads.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

import attrs
import pykka

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, agreement, joining, proposals, replica_standing
from croftpulley.core import agreed
from croftpulley.core.replication import long_texts, messages
from croftpulley.core.replication import replica as replicas
from croftpulley.core.replication import state as states
from croftpulley.observe import events
from croftpulley.storage import commands, replica_store, state_codec
from croftpulley.transport import json_codec, replica_codec, senders

_LOG = logging.getLogger(__name__)
REQUEST_PATH = "/v1/replica/requests"
JOIN_PATH = "/v1/replica/joins"
SNAPSHOT_AFTER_ENTRIES = 128
SNAPSHOT_AFTER_BYTES = 2 * 1024 * 1024
"""A log file is written anew when more than either was added since it was begun, or as much as it
began with if that is more: restarts stay short and a small disk has room for it."""
LOGGED_SIZE_BYTES = long_texts.PART_LENGTH
"""A request this large that gets no answer is logged each time: its size may be why. Only one that
carries a whole part of a long text is."""
_DISK_RETRY_S = 0.3


@attrs.frozen(kw_only=True)
class Identity:
    """Who this replica is, and where it finds others at its first start.

    ``first_members`` are the members of a fleet that starts for the first time; empty otherwise.
    """

    replica: str
    address: str
    known_addresses: tuple[str, ...]
    first_members: tuple[messages.Member, ...] = ()


@attrs.frozen
class Receive:
    """A request of another replica."""

    request: messages.Request


@attrs.frozen
class Join:
    """A replica asks to be taken in."""

    request: messages.JoinRequest


@attrs.frozen
class UseAddresses:
    """Says where other control boxes are found."""

    addresses: tuple[str, ...]


@attrs.frozen
class _Flush:
    """Propose what has gathered."""


@attrs.frozen
class _Answered:
    reply: messages.Reply
    sent_s: float


@attrs.frozen
class _Unanswered:
    replica: str
    address: str
    size_bytes: int
    took_s: float
    failure: errors.CroftpulleyError


class ReplicaController(actors.Controller):
    """Writes, sends and applies what the replica's core asks for."""

    def __init__(
        self,
        identity: Identity,
        store: replica_store.ReplicaStore,
        timing: states.Timing,
        outgoing: senders.Senders,
        state: agreed.AgreedState,
        view: actors.View[replica_standing.Standing],
        clock: clocks.Clock,
        chance: random.Random,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._store = store
        self._timing = timing
        self._outgoing = outgoing
        self._state = state
        self._view = view
        self._clock = clock
        self._chance = chance
        self._replica: replicas.Replica | None = None
        self._proposals = proposals.Proposals()
        self._retry_at_s = float("-inf")
        self._joining = joining.Joining(
            identity.address, identity.known_addresses, heard_at_s=clock.monotonic_s()
        )
        self._silent: set[str] = set()

    def on_start(self) -> None:
        """Load the disk before the first message."""
        self._load()

    def on_stop(self) -> None:
        """End the links and close the file."""
        self._outgoing.keep(set())
        self._store.close()

    def handle(self, message: object) -> object:
        """Handle a request, a reply, a proposal or a tick."""
        match message:
            case proposals.Propose():
                self._gather(message)
            case _Flush():
                self._flush()
            case UseAddresses(addresses):
                self._joining.known = addresses
            case Receive(request):
                self._joining.heard_at_s = self._clock.monotonic_s()
                return self._receive(request)
            case Join(request):
                return self._admit(request)
            case _Answered(reply, sent_s):
                self._joining.heard_at_s = self._clock.monotonic_s()
                self._silent.discard(_sender(reply))
                self._with_replica(lambda one, now_s: one.reply(reply, sent_s, now_s))
            case _Unanswered():
                self._unanswered(message)
            case actors.Tick():
                self._tick()
        return None

    # --- disk ---------------------------------------------------------------------------------

    def _load(self) -> None:
        """Make the replica from the disk; tried again later if the disk refuses."""
        fresh = messages.Stored(
            snapshot=messages.Snapshot(members=messages.Members(self._identity.first_members))
        )
        try:
            stored = self._store.load(fresh)
        except OSError as failure:
            self._disk_failed(failure)
            return
        state_codec.restore(stored.snapshot.state, self._state)
        self._replica = replicas.Replica(
            self._identity.replica, stored, self._timing, self._chance, self._clock.monotonic_s()
        )
        events.emit(
            _LOG,
            events.Event.REPLICA_LOADED,
            replica=self._identity.replica,
            term=stored.term,
            snapshot_index=stored.snapshot.index,
            entries=len(stored.entries),
        )

    def _disk_failed(self, failure: OSError) -> None:
        """Give up the replica in memory: it is ahead of the disk."""
        events.emit(_LOG, events.Event.DISK_FAILED, level=logging.ERROR, problem=str(failure))
        self._replica = None
        self._retry_at_s = self._clock.monotonic_s() + _DISK_RETRY_S
        # First that it leads no more: whoever is told that a command failed may look at once.
        self._view.publish(replica_standing.Standing())
        self._proposals.fail_pending()

    # --- the replica --------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._replica is None:
            if self._clock.monotonic_s() >= self._retry_at_s:
                self._load()
            return
        self._with_replica(lambda one, now_s: one.tick(now_s))
        if self._replica is not None:
            self._join(self._replica)

    def _with_replica(
        self, act: Callable[[replicas.Replica, float], states.Effects]
    ) -> states.Effects:
        """Have the replica act and carry out what it asks for."""
        if self._replica is None:
            return states.Effects()
        effects = act(self._replica, self._clock.monotonic_s())
        self._carry_out(self._replica, effects)
        return effects

    def _carry_out(self, replica: replicas.Replica, effects: states.Effects) -> None:
        """Write, then send, then apply; raises nothing for a disk that refuses."""
        try:
            self._write(replica, effects)
        except OSError as failure:
            self._disk_failed(failure)
            # An answer would speak of what is not on the disk.
            effects.reply = None
            return
        for request in effects.sends:
            self._send(replica, request)
        self._apply(replica)
        self._publish(replica)

    def _write(self, replica: replicas.Replica, effects: states.Effects) -> None:
        installed = replica.take_installed()
        if installed is not None:
            self._store.rewrite(replica.stored())
            state_codec.restore(installed.state, self._state)
        elif effects.write is not None:
            self._store.write(effects.write)

    def _receive(self, request: messages.Request) -> messages.Reply | None:
        return self._with_replica(lambda one, now_s: one.receive(request, now_s)).reply

    def _send(self, replica: replicas.Replica, request: messages.Request) -> None:
        member = replica.members.find(request.to)
        if member is None:
            return
        sent_s = self._clock.monotonic_s()

        def on_answer(body: bytes) -> None:
            self.tell_self(_Answered(json_codec.decode(body, replica_codec.REPLY), sent_s))

        def on_failure(failure: errors.CroftpulleyError) -> None:
            took_s = self._clock.monotonic_s() - sent_s
            self.tell_self(_Unanswered(request.to, member.address, len(body), took_s, failure))

        body = json_codec.encode(request, replica_codec.REQUEST)
        job = senders.Job(REQUEST_PATH, body, on_answer, on_failure)
        self._outgoing.to(member.address).send(job)

    def _unanswered(self, message: _Unanswered) -> None:
        """Let the replica know, and log the first of a row and whatever was large."""
        if message.replica not in self._silent or message.size_bytes >= LOGGED_SIZE_BYTES:
            events.emit(
                _LOG,
                events.Event.REPLICA_UNANSWERED,
                level=logging.WARNING,
                address=message.address,
                size_bytes=message.size_bytes,
                took_s=round(message.took_s, 3),
                problem=str(message.failure),
            )
        self._silent.add(message.replica)
        if self._replica is not None:
            self._replica.failed(message.replica, self._clock.monotonic_s())

    def _publish(self, replica: replicas.Replica) -> None:
        standing = replica_standing.publish(self._view, replica, self._clock.monotonic_s())
        if standing.role is not states.Role.LEADER:
            self._proposals.fail_pending()

    # --- joining ------------------------------------------------------------------------------

    def _admit(self, request: messages.JoinRequest) -> messages.JoinReply:
        if self._replica is None:
            return messages.JoinReply(taken=False, leader_address="")
        effects, taken = self._replica.admit(request, self._clock.monotonic_s())
        self._carry_out(self._replica, effects)
        return messages.JoinReply(taken=taken, leader_address=self._view.get().leader_address)

    def _join(self, replica: replicas.Replica) -> None:
        """Ask to be taken in where that is due."""
        address = self._joining.next_address(
            self._clock.monotonic_s(), self._chance, must_join=replica.must_join
        )
        if not address:
            return
        request = messages.JoinRequest(
            replica=self._identity.replica, address=self._identity.address
        )
        job = senders.Job(
            JOIN_PATH, json_codec.encode(request), self._join_answered, lambda _failure: None
        )
        self._outgoing.to(address).send(job)

    def _join_answered(self, body: bytes) -> None:
        self._joining.told_leader(json_codec.decode(body, messages.JoinReply).leader_address)

    # --- commands -----------------------------------------------------------------------------

    def _gather(self, proposal: proposals.Propose) -> None:
        if self._proposals.gather(proposal):
            self.actor_ref.tell(_Flush())

    def _flush(self) -> None:
        batch = self._proposals.take_batch()
        if self._replica is None or self._replica.role is not states.Role.LEADER:
            for proposal in batch:
                proposal.fail(codes.RunState.NOT_RUN)
            return
        payloads = [commands.encode(proposal.command).decode() for proposal in batch]
        effects, indexes = self._replica.propose(payloads, self._clock.monotonic_s())
        self._proposals.proposed(self._replica.term, indexes, batch)
        self._carry_out(self._replica, effects)

    def _apply(self, replica: replicas.Replica) -> None:
        for index, entry in replica.take_committed():
            if entry.kind is messages.EntryKind.MEMBERS:
                _announce(entry)
            if entry.kind is messages.EntryKind.COMMAND:
                self._apply_command(index, entry)
        self._compact(replica)

    def _apply_command(self, index: int, entry: messages.Entry) -> None:
        """Apply a command and answer whoever proposed it; one that cannot be applied is left out.

        The others must not go with it: which entries are taken together differs from box to box,
        and so would what they come to.
        """
        proposal = self._proposals.take(index, entry.term)
        try:
            result = self._state.apply(commands.decode(entry.payload.encode()))
        except Exception as failure:
            events.emit(
                _LOG,
                events.Event.ENTRY_NOT_APPLIED,
                level=logging.ERROR,
                failure=failure,
                index=index,
                size_bytes=len(entry.payload),
            )
            if proposal is not None:
                proposal.fail(codes.RunState.NOT_RUN, codes.ResultCode.INTERNAL)
            return
        if proposal is not None:
            proposal.result.set(result)

    def _compact(self, replica: replicas.Replica) -> None:
        is_long = replica.is_long(SNAPSHOT_AFTER_ENTRIES)
        if not is_long and not self._store.has_outgrown(SNAPSHOT_AFTER_BYTES):
            return
        if replica.log.snapshot.index == replica.applied_index:
            return
        began_s = self._clock.monotonic_s()
        before_bytes = self._store.size_bytes
        replica.snapshot(state_codec.encode(self._state))
        try:
            self._store.rewrite(replica.stored())
        except OSError as failure:
            self._disk_failed(failure)
            return
        events.emit(
            _LOG,
            events.Event.LOG_COMPACTED,
            snapshot_index=replica.log.snapshot.index,
            before_bytes=before_bytes,
            size_bytes=self._store.size_bytes,
            took_s=round(self._clock.monotonic_s() - began_s, 3),
        )


def _sender(reply: messages.Reply) -> str:
    return reply.voter if isinstance(reply, messages.VoteReply) else reply.replica


def _announce(entry: messages.Entry) -> None:
    members = entry.members or messages.Members()
    events.emit(
        _LOG,
        events.Event.MEMBERS_CHANGED,
        voters=list(members.voters),
        learners=[each.replica for each in members.members if not each.voter],
    )


class ReplicatedLog(agreement.Agreement):
    """Agreement of several control boxes, as its users see it."""

    def __init__(self, controller: pykka.ActorRef[Any], state: agreed.AgreedState) -> None:
        self._controller = controller
        self._state = state

    def propose(self, command: agreed.Command) -> pykka.Future[agreed.Result]:
        """Queue the command; the future fails with NOT_LEADER where it cannot be committed."""
        proposal = proposals.Propose(command, pykka.ThreadingFuture())
        try:
            self._controller.tell(proposal)
        except pykka.ActorDeadError:
            # This box stops; its last requests end after its log.
            proposal.fail(codes.RunState.NOT_RUN)
        return proposal.result

    def read(self) -> agreed.AgreedState:
        """Return the state as applied here, which may be behind the leader's."""
        return self._state
