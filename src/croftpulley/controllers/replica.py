"""The replica controller of a control box: does disk and network I/O for one replica of the log.

Its thread is the only one that uses the replica and the store. It blocks on disk writes: a box
whose disk stalls stops sending heartbeats, and another box is elected leader.
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
from croftpulley.core import replicated_state
from croftpulley.core.replication import command_chunks, messages
from croftpulley.core.replication import replica as replicas
from croftpulley.core.replication import state as states
from croftpulley.observe import events
from croftpulley.storage import commands, replica_store, state_codec
from croftpulley.transport import json_codec, replica_codec, senders

_LOG = logging.getLogger(__name__)
SNAPSHOT_AFTER_ENTRIES = 128
SNAPSHOT_AFTER_BYTES = 2 * 1024 * 1024
"""The log file is compacted when more than either was added since the last compaction, or as much
as the compacted file held if that is more. This keeps restarts short and fits on a small disk."""
LARGE_REQUEST_BYTES = command_chunks.CHUNK_LENGTH
"""Every unanswered request of at least this size is logged, since its size may be the cause. Only
requests that carry a whole part of a long text are this large."""
_DISK_RETRY_S = 0.3


@attrs.frozen(kw_only=True)
class Identity:
    """The replica's id and address, and the addresses that it contacts to join the others.

    ``first_members`` are the initial members at the first start of a fleet; empty otherwise.
    """

    replica: str
    address: str
    seed_addresses: tuple[str, ...]
    first_members: tuple[messages.Member, ...] = ()


@attrs.frozen
class Receive:
    """A request from another replica; the reply is its answer, or ``None`` if there is none."""

    request: messages.Request


@attrs.frozen
class Join:
    """A request from a replica to be added to the members."""

    request: messages.JoinRequest


@attrs.frozen
class SetSeedAddresses:
    """Replaces the addresses at which other control boxes can be contacted."""

    addresses: tuple[str, ...]


@attrs.frozen
class LeaderAnnounced:
    """Another box's announcement of the leader, empty if there is none; only says whom to ask."""

    address: str


@attrs.frozen
class _Flush:
    """Proposes the queued commands as one batch."""


@attrs.frozen
class _ReplyReceived:
    reply: messages.Reply
    sent_s: float


@attrs.frozen
class _JoinEnded:
    """How a join request to ``address`` ended; ``problem`` is empty if it was granted."""

    address: str
    problem: str
    leader_address: str = ""


@attrs.frozen
class _RequestFailed:
    replica: str
    address: str
    size_bytes: int
    took_s: float
    failure: errors.CroftpulleyError


class ReplicaController(actors.Controller):
    """Carries out the effects of the replica core: disk writes, requests and applied commands."""

    def __init__(
        self,
        identity: Identity,
        store: replica_store.ReplicaStore,
        timing: states.Timing,
        message_senders: senders.Senders,
        state: replicated_state.ReplicatedState,
        view: actors.View[replica_standing.ReplicaStatus],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._store = store
        self._timing = timing
        self._senders = message_senders
        self._state = state
        self._view = view
        self._clock = clock
        self._rng = rng
        self._replica: replicas.Replica | None = None
        self._proposals = proposals.ProposalTracker()
        self._reload_at_s = float("-inf")
        self._join_schedule = joining.JoinSchedule(
            identity.address, identity.seed_addresses, last_contact_s=clock.monotonic_s()
        )
        self._unresponsive: set[str] = set()
        self._join_fails = False

    def on_start(self) -> None:
        """Load the replica from disk before the first message."""
        self._load()

    def on_stop(self) -> None:
        """Close the connections and the log file."""
        self._senders.retain(set())
        self._store.close()

    def handle(self, message: object) -> object:
        """Handle a request, a reply, a proposal or a tick."""
        match message:
            case proposals.Proposal():
                self._enqueue(message)
            case _Flush():
                self._flush()
            case SetSeedAddresses(addresses):
                self._join_schedule.seed_addresses = addresses
            case Receive(request):
                self._join_schedule.last_contact_s = self._clock.monotonic_s()
                return self._receive(request)
            case LeaderAnnounced(address):
                self._join_schedule.set_leader_hint(address)
            case _JoinEnded():
                self._on_join_ended(message)
            case Join(request):
                return self._admit(request)
            case _ReplyReceived(reply, sent_s):
                self._join_schedule.last_contact_s = self._clock.monotonic_s()
                self._unresponsive.discard(_sender(reply))
                self._with_replica(lambda core, now_s: core.handle_reply(reply, sent_s, now_s))
            case _RequestFailed():
                self._on_request_failed(message)
            case actors.Tick():
                self._tick()
        return None

    # --- disk ---------------------------------------------------------------------------------

    def _load(self) -> None:
        """Create the replica from disk; if the disk fails, a later tick retries."""
        initial = messages.Stored(
            snapshot=messages.Snapshot(members=messages.Members(self._identity.first_members))
        )
        try:
            stored = self._store.load(initial)
        except (OSError, errors.CroftpulleyError) as failure:
            self._on_disk_error(failure)
            return
        state_codec.restore(stored.snapshot.state, self._state)
        self._replica = replicas.Replica(
            self._identity.replica, stored, self._timing, self._rng, self._clock.monotonic_s()
        )
        events.emit(
            _LOG,
            events.Event.REPLICA_LOADED,
            replica=self._identity.replica,
            term=stored.term,
            snapshot_index=stored.snapshot.index,
            entries=len(stored.entries),
        )

    def _on_disk_error(self, failure: OSError | errors.CroftpulleyError) -> None:
        """Discard the replica in memory, which is ahead of the disk, and schedule a reload."""
        events.emit(_LOG, events.Event.DISK_FAILED, level=logging.ERROR, problem=str(failure))
        self._replica = None
        self._reload_at_s = self._clock.monotonic_s() + _DISK_RETRY_S
        # Publish the loss of leadership first: a proposer may check the status as soon as its
        # future fails.
        self._view.publish(replica_standing.ReplicaStatus())
        self._proposals.fail_pending()

    # --- the replica --------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._replica is None:
            if self._clock.monotonic_s() >= self._reload_at_s:
                self._load()
            return
        self._with_replica(lambda core, now_s: core.tick(now_s))
        if self._replica is not None:
            self._request_join(self._replica)

    def _with_replica(
        self, action: Callable[[replicas.Replica, float], states.Effects]
    ) -> states.Effects:
        """Run an action on the replica, carry out its effects and return them.

        Without a replica, after a disk failure, it does nothing and returns no effects.
        """
        if self._replica is None:
            return states.Effects()
        effects = action(self._replica, self._clock.monotonic_s())
        self._carry_out(self._replica, effects)
        return effects

    def _carry_out(self, replica: replicas.Replica, effects: states.Effects) -> None:
        """Write, then send, then apply; a disk error discards the replica and isn't raised."""
        try:
            self._write(replica, effects)
        except OSError as failure:
            self._on_disk_error(failure)
            # The reply would acknowledge data that is not on disk.
            effects.reply = None
            return
        for request in effects.sends:
            self._send(replica, request)
        self._apply(replica)
        if self._replica is replica:
            # Else the disk failed in a compaction, and the status of that is published.
            self._publish(replica)

    def _write(self, replica: replicas.Replica, effects: states.Effects) -> None:
        installed = replica.take_installed()
        if installed is not None:
            self._store.rewrite(replica.stored())
            state_codec.restore(installed.state, self._state)
        elif effects.write is not None:
            self._store.write(effects.write)

    def _receive(self, request: messages.Request) -> messages.Reply | None:
        return self._with_replica(lambda core, now_s: core.handle_request(request, now_s)).reply

    def _send(self, replica: replicas.Replica, request: messages.Request) -> None:
        member = replica.members.find(request.to)
        if member is None:
            return
        sent_s = self._clock.monotonic_s()

        def on_answer(body: bytes) -> None:
            self.tell_self(_ReplyReceived(json_codec.decode(body, replica_codec.REPLY), sent_s))

        def on_failure(failure: errors.CroftpulleyError) -> None:
            took_s = self._clock.monotonic_s() - sent_s
            self.tell_self(_RequestFailed(request.to, member.address, len(body), took_s, failure))

        body = json_codec.encode(request, replica_codec.REQUEST)
        job = senders.Job(replica_codec.REQUEST_PATH, body, on_answer, on_failure)
        self._senders.to(member.address).send(job)

    def _on_request_failed(self, message: _RequestFailed) -> None:
        """Tell the replica, and log the first failure in a row and every large request."""
        if message.replica not in self._unresponsive or message.size_bytes >= LARGE_REQUEST_BYTES:
            events.emit(
                _LOG,
                events.Event.REPLICA_UNANSWERED,
                level=logging.WARNING,
                address=message.address,
                size_bytes=message.size_bytes,
                took_s=round(message.took_s, 3),
                problem=str(message.failure),
            )
        self._unresponsive.add(message.replica)
        if self._replica is not None:
            self._replica.failed(message.replica, self._clock.monotonic_s())

    def _publish(self, replica: replicas.Replica) -> None:
        status = replica_standing.publish(self._view, replica, self._clock.monotonic_s())
        if status.role is not states.Role.LEADER:
            self._proposals.fail_pending()

    # --- joining ------------------------------------------------------------------------------

    def _admit(self, request: messages.JoinRequest) -> messages.JoinReply:
        if self._replica is None:
            return messages.JoinReply(taken=False, leader_address="")
        effects, taken = self._replica.admit(request, self._clock.monotonic_s())
        self._carry_out(self._replica, effects)
        return messages.JoinReply(taken=taken, leader_address=self._view.get().leader_address)

    def _request_join(self, replica: replicas.Replica) -> None:
        """Send a join request if one is due."""
        address = self._join_schedule.next_address(
            self._clock.monotonic_s(), self._rng, must_join=replica.must_join
        )
        if not address:
            return
        request = messages.JoinRequest(
            replica=self._identity.replica, address=self._identity.address
        )

        def on_answer(body: bytes) -> None:
            reply = json_codec.decode(body, messages.JoinReply)
            problem = "" if reply.taken else "not taken in"
            self.tell_self(_JoinEnded(address, problem, reply.leader_address))

        def on_failure(failure: errors.CroftpulleyError) -> None:
            self.tell_self(_JoinEnded(address, str(failure)))

        body = json_codec.encode(request)
        job = senders.Job(replica_codec.JOIN_PATH, body, on_answer, on_failure)
        self._senders.to(address).send(job)

    def _on_join_ended(self, ended: _JoinEnded) -> None:
        """Ask the leader next if one was named; else log the first failure since the last join."""
        self._join_schedule.set_leader_hint(ended.leader_address)
        if not ended.problem:
            self._join_fails = False
        elif not ended.leader_address and not self._join_fails:
            self._join_fails = True
            events.emit(
                _LOG,
                events.Event.JOIN_UNANSWERED,
                level=logging.WARNING,
                address=ended.address,
                problem=ended.problem,
            )

    # --- commands -----------------------------------------------------------------------------

    def _enqueue(self, proposal: proposals.Proposal) -> None:
        if self._proposals.enqueue(proposal):
            self.actor_ref.tell(_Flush())

    def _flush(self) -> None:
        batch = self._proposals.take_batch()
        if self._replica is None or self._replica.role is not states.Role.LEADER:
            for proposal in batch:
                proposal.fail(codes.RunState.NOT_RUN)
            return
        payloads = [commands.encode(proposal.command).decode() for proposal in batch]
        effects, indexes = self._replica.propose(payloads, self._clock.monotonic_s())
        self._proposals.mark_appended(self._replica.term, indexes, batch)
        self._carry_out(self._replica, effects)

    def _apply(self, replica: replicas.Replica) -> None:
        for index, entry in replica.take_committed():
            if entry.kind is messages.EntryKind.MEMBERS:
                _log_members(entry)
            if entry.kind is messages.EntryKind.COMMAND:
                self._apply_command(index, entry)
        self._compact(replica)

    def _apply_command(self, index: int, entry: messages.Entry) -> None:
        """Apply a command and set its proposal's future; skip a command that raises.

        The other entries of the batch must still be applied: batches differ between boxes, so
        dropping the rest of one would make their states diverge.
        """
        proposal = self._proposals.pop_committed(index, entry.term)
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
        is_long = replica.should_compact(SNAPSHOT_AFTER_ENTRIES)
        if not is_long and not self._store.needs_rewrite(SNAPSHOT_AFTER_BYTES):
            return
        if replica.log.snapshot.index == replica.applied_index:
            return
        started_s = self._clock.monotonic_s()
        before_bytes = self._store.size_bytes
        replica.snapshot(state_codec.encode(self._state))
        try:
            self._store.rewrite(replica.stored())
        except OSError as failure:
            self._on_disk_error(failure)
            return
        events.emit(
            _LOG,
            events.Event.LOG_COMPACTED,
            snapshot_index=replica.log.snapshot.index,
            before_bytes=before_bytes,
            size_bytes=self._store.size_bytes,
            took_s=round(self._clock.monotonic_s() - started_s, 3),
        )


def _sender(reply: messages.Reply) -> str:
    return reply.voter if isinstance(reply, messages.VoteReply) else reply.replica


def _log_members(entry: messages.Entry) -> None:
    members = entry.members or messages.Members()
    events.emit(
        _LOG,
        events.Event.MEMBERS_CHANGED,
        voters=list(members.voters),
        learners=[each.replica for each in members.members if not each.voter],
    )


class ReplicatedLog(agreement.CommandLog):
    """The log that is replicated among several control boxes."""

    def __init__(
        self, controller: pykka.ActorRef[Any], state: replicated_state.ReplicatedState
    ) -> None:
        self._controller = controller
        self._state = state

    def propose(self, command: replicated_state.Command) -> pykka.Future[replicated_state.Result]:
        """Queue a command; return a future of its result.

        The future raises `errors.CroftpulleyError`: NOT_LEADER if the command can't be committed
        here, INTERNAL if applying it failed.
        """
        proposal = proposals.Proposal(command, pykka.ThreadingFuture())
        try:
            self._controller.tell(proposal)
        except pykka.ActorDeadError:
            # The box is stopping; its last requests finish after the controller has stopped.
            proposal.fail(codes.RunState.NOT_RUN)
        return proposal.result

    def read(self) -> replicated_state.ReplicatedState:
        """Return the state applied on this box, which may lag behind the leader's."""
        return self._state
