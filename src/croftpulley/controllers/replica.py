"""The replica controller of a control box: drives one replica of the log with disk and network.

It is the only thread that touches the replica and the store. Whatever waits for the disk waits
here, so a box whose disk stalls falls silent and another one leads.
"""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import Callable
from typing import Any

import attrs
import pykka

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, agreement
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
_JOIN_INTERVAL_S = 0.3
_DISK_RETRY_S = 0.3
LOST_AFTER_S = 2.0
"""A replica that has heard no other for so long asks at the addresses that its settings name:
those in its log may all have been exchanged. Elections settle within a second."""


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
class Propose:
    """A command to commit; the future gets its result."""

    command: agreed.Command
    result: pykka.Future[agreed.Result]


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
        view: actors.View[Standing],
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
        self._gathered: list[Propose] = []
        self._pending: dict[int, tuple[int, Propose]] = {}
        self._retry_at_s = float("-inf")
        self._join_at_s = float("-inf")
        self._join_address = ""
        self._heard_at_s = clock.monotonic_s()
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
            case Propose():
                self._gather(message)
            case _Flush():
                self._flush()
            case UseAddresses(addresses):
                self._identity = attrs.evolve(self._identity, known_addresses=addresses)
            case Receive(request):
                self._heard_at_s = self._clock.monotonic_s()
                return self._receive(request)
            case Join(request):
                return self._admit(request)
            case _Answered(reply, sent_s):
                self._heard_at_s = self._clock.monotonic_s()
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
        self._fail_pending()
        self._view.publish(Standing())

    # --- the replica --------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._replica is None:
            if self._clock.monotonic_s() >= self._retry_at_s:
                self._load()
            return
        self._with_replica(lambda one, now_s: one.tick(now_s))
        self._join()

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
            self._tell_self(_Answered(json_codec.decode(body, replica_codec.REPLY), sent_s))

        def on_failure(failure: errors.CroftpulleyError) -> None:
            took_s = self._clock.monotonic_s() - sent_s
            self._tell_self(_Unanswered(request.to, member.address, len(body), took_s, failure))

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

    def _tell_self(self, message: object) -> None:
        """Queue a message from a sender's thread, which may outlive this controller a moment."""
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)

    def _publish(self, replica: replicas.Replica) -> None:
        before = self._view.get()
        now_s = self._clock.monotonic_s()
        standing = Standing(
            role=replica.role,
            term=replica.term,
            leader_address=replica.leader_address(),
            authority_until_s=replica.authority_until_s(now_s),
            members=replica.members,
            silent_addresses=replica.silent_addresses(now_s),
        )
        if standing != before:
            self._view.publish(standing)
        if (standing.role, standing.term, standing.leader_address) != (
            before.role,
            before.term,
            before.leader_address,
        ):
            events.emit(
                _LOG,
                events.Event.REPLICA_ROLE,
                role=standing.role.value,
                term=standing.term,
                leader_address=standing.leader_address,
                last_index=replica.log.last_index,
                commit_index=replica.commit_index,
            )
        if standing.role is not states.Role.LEADER:
            self._fail_pending()

    # --- joining ------------------------------------------------------------------------------

    def _admit(self, request: messages.JoinRequest) -> messages.JoinReply:
        if self._replica is None:
            return messages.JoinReply(taken=False, leader_address="")
        effects, taken = self._replica.admit(request, self._clock.monotonic_s())
        self._carry_out(self._replica, effects)
        return messages.JoinReply(taken=taken, leader_address=self._view.get().leader_address)

    def _join(self) -> None:
        """Ask to be taken in, at the leader if it is known and else at each known box in turn."""
        now_s = self._clock.monotonic_s()
        if self._replica is None or now_s < self._join_at_s:
            return
        is_lost = now_s - self._heard_at_s > LOST_AFTER_S
        if not (self._replica.must_join or is_lost):
            return
        self._join_at_s = now_s + _JOIN_INTERVAL_S
        others = [each for each in self._identity.known_addresses if each != self._identity.address]
        address = self._join_address or (self._chance.choice(others) if others else "")
        self._join_address = ""
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
        reply = json_codec.decode(body, messages.JoinReply)
        if reply.leader_address != self._identity.address:
            self._join_address = reply.leader_address

    # --- commands -----------------------------------------------------------------------------

    def _gather(self, proposal: Propose) -> None:
        if not self._gathered:
            self.actor_ref.tell(_Flush())
        self._gathered.append(proposal)

    def _flush(self) -> None:
        batch, self._gathered = self._gathered, []
        if self._replica is None or self._replica.role is not states.Role.LEADER:
            for proposal in batch:
                _fail(proposal, codes.RunState.NOT_RUN)
            return
        payloads = [commands.encode(proposal.command).decode() for proposal in batch]
        effects, indexes = self._replica.propose(payloads, self._clock.monotonic_s())
        for index, proposal in zip(indexes, batch, strict=True):
            self._pending[index] = (self._replica.term, proposal)
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
        term, proposal = self._pending.pop(index, (0, None))
        if proposal is not None and term != entry.term:
            _fail(proposal, codes.RunState.NOT_RUN)
            proposal = None
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
                _fail(proposal, codes.RunState.NOT_RUN, codes.ResultCode.INTERNAL)
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

    def _fail_pending(self) -> None:
        """Nobody knows whether these will be committed by another leader."""
        pending, self._pending = self._pending, {}
        for _, proposal in pending.values():
            _fail(proposal, codes.RunState.UNKNOWN)


def _fail(
    proposal: Propose,
    run_state: codes.RunState,
    code: codes.ResultCode = codes.ResultCode.NOT_LEADER,
) -> None:
    failure = errors.CroftpulleyError(code, run_state=run_state)
    proposal.result.set_exception((type(failure), failure, None))


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
        result: pykka.Future[agreed.Result] = pykka.ThreadingFuture()
        self._controller.tell(Propose(command, result))
        return result

    def read(self) -> agreed.AgreedState:
        """Return the state as applied here, which may be behind the leader's."""
        return self._state
