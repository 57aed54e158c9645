"""A deterministic simulation of a cluster of replicas, seeded at random.

Messages are dropped, delayed, duplicated and reordered; replicas pause, crash before or after a
sync, lose their disks and restart.
"""

from __future__ import annotations

import copy
import math
import random

import attrs

from croftpulley.core.replication import messages, replica, state
from croftpulley.transport import json_codec, replica_codec

TICK_S = 0.05
COMPACT_AFTER_ENTRIES = 8
REQUEST_TIMEOUT_S = 0.4
"""The request timeout, as on the daemons' links."""
ADDRESSES = ("a:1", "b:1", "c:1")


@attrs.define
class Machine:
    """A replica and its disk; ``alive`` is false while it is down or paused."""

    address: str
    disk: messages.Stored
    running: replica.Replica
    applied: list[str] = attrs.field(factory=list)
    alive: bool = True
    restarts: int = 0
    link_free_at_s: float = 0.0


@attrs.define
class InFlightMessage:
    """A message in flight, due at ``at_s``."""

    at_s: float
    source: str
    target: str
    sent_s: float
    body: messages.Request | messages.Reply


@attrs.define
class FailedRequest:
    """A request that times out at its sender at ``at_s``."""

    at_s: float
    source: Machine
    replica: str


class Cluster:
    """A cluster of voters, three by default, and of replicas that join it.

    Each step checks that committed logs agree and that at most one replica holds a leader lease.

    With ``link_bytes_per_s``, requests leave a machine over one link of that rate, which requests
    sent together share; a request that takes longer than `REQUEST_TIMEOUT_S` fails.
    """

    def __init__(
        self,
        seed: int,
        loss: float = 0.0,
        delay_s: float = 0.02,
        tick_s: float = TICK_S,
        addresses: tuple[str, ...] = ADDRESSES,
        link_bytes_per_s: float = math.inf,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.loss = loss
        self.delay_s = delay_s
        self.tick_s = tick_s
        self.link_bytes_per_s = link_bytes_per_s
        self.failures: list[FailedRequest] = []
        self.cut_links: set[frozenset[str]] = set()
        self.network: list[InFlightMessage] = []
        self.timing = state.Timing()
        members = messages.Members(
            tuple(messages.Member(f"{address}#0", address) for address in addresses)
        )
        self.machines: dict[str, Machine] = {}
        for address in addresses:
            stored = messages.Stored(snapshot=messages.Snapshot(members=members))
            self.start_machine(address, f"{address}#0", stored)
        self.committed: dict[int, messages.Entry] = {}
        self.acknowledged: list[str] = []
        self.waiting: dict[tuple[int, int], str] = {}
        self.authorities: list[tuple[str, int, float]] = []

    def start_machine(self, address: str, name: str, stored: messages.Stored) -> None:
        running = replica.Replica(
            name, stored, self.timing, random.Random(self.rng.random()), self.now_s
        )
        self.machines[address] = Machine(address, stored, running)
        self.machines[address].applied = _commands(stored.snapshot.state)

    def crash(self, address: str) -> None:
        """Stop a machine; its synced data is kept."""
        self.machines[address].alive = False

    def restart(self, address: str, *, disk_lost: bool = False) -> None:
        """Restart a machine, with its disk or, if that is lost, with a new id and an empty disk."""
        machine = self.machines[address]
        restarts = machine.restarts + 1
        name = machine.running.id
        stored = machine.disk
        if disk_lost:
            name = f"{address}#{restarts}"
            stored = messages.Stored()
        self.start_machine(address, name, copy.deepcopy(stored))
        self.machines[address].restarts = restarts

    def leaders(self) -> list[Machine]:
        """Return the machines that hold a leader lease now."""
        return [
            each
            for each in self.machines.values()
            if each.alive and each.running.leader_lease_until_s(self.now_s) > self.now_s
        ]

    def propose(self, command: str) -> bool:
        """Propose a command at a leader; return whether there is one."""
        for machine in self.leaders():
            effects, (index,) = machine.running.propose([command], self.now_s)
            self.waiting[(index, machine.running.term)] = command
            self.execute(machine, effects)
            return True
        return False

    def run(self, seconds_s: float) -> None:
        """Advance the simulation by ``seconds_s``."""
        ends_at_s = self.now_s + seconds_s
        while self.now_s < ends_at_s:
            self.step()

    def step(self) -> None:
        """Deliver due messages, tick each running replica and check the leaders."""
        self.now_s += self.tick_s
        due = [each for each in self.network if each.at_s <= self.now_s]
        self.network = [each for each in self.network if each.at_s > self.now_s]
        self.rng.shuffle(due)
        for message in due:
            self.deliver(message)
        self.fail_requests()
        for machine in list(self.machines.values()):
            if machine.alive:
                self.execute(machine, machine.running.tick(self.now_s))
                self.request_join(machine)
        self.check_leaders()

    def request_join(self, machine: Machine) -> None:
        """Ask the leaders to be added as a member, if the replica isn't one."""
        if not machine.running.must_join:
            return
        request = messages.JoinRequest(replica=machine.running.id, address=machine.address)
        for other in self.leaders():
            if frozenset((machine.address, other.address)) not in self.cut_links:
                effects, _ = other.running.admit(request, self.now_s)
                self.execute(other, effects)

    def execute(self, machine: Machine, effects: state.Effects) -> None:
        """Execute effects as the driver does: write, then send and apply."""
        if effects.write is not None:
            machine.disk = machine.running.stored()
        if math.isinf(self.link_bytes_per_s):
            for request in effects.sends:
                self.send(machine, self.address_of(machine, request.to), request)
        elif effects.sends:
            self.send_over_link(machine, effects.sends)
        self.apply(machine)

    def send_over_link(self, machine: Machine, requests: list[messages.Request]) -> None:
        """Send requests that share the link, as connections do: all finish at nearly one time."""
        sizes_bytes = [len(json_codec.encode(each, replica_codec.REQUEST)) for each in requests]
        begins_at_s = max(self.now_s, machine.link_free_at_s)
        done_at_s = begins_at_s + sum(sizes_bytes) / self.link_bytes_per_s
        times_out_at_s = self.now_s + REQUEST_TIMEOUT_S
        machine.link_free_at_s = min(done_at_s, times_out_at_s)
        for request in requests:
            if done_at_s > times_out_at_s:
                self.failures.append(FailedRequest(times_out_at_s, machine, request.to))
                continue
            target = self.address_of(machine, request.to)
            at_s = done_at_s + self.delay_s
            self.network.append(InFlightMessage(at_s, machine.address, target, self.now_s, request))

    def fail_requests(self) -> None:
        """Report requests that timed out to their senders."""
        due = [each for each in self.failures if each.at_s <= self.now_s]
        self.failures = [each for each in self.failures if each.at_s > self.now_s]
        for each in due:
            each.source.running.failed(each.replica, self.now_s)

    @staticmethod
    def address_of(machine: Machine, name: str) -> str:
        member = machine.running.members.find(name)
        return member.address if member else ""

    def send(
        self, machine: Machine, target: str, body: messages.Request | messages.Reply, sent_s=None
    ) -> None:
        copies = 2 if self.rng.random() < self.loss / 2 else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay_s = self.delay_s * (0.5 + self.rng.random())
            if self.rng.random() < self.loss:
                delay_s *= 20
            sent = self.now_s if sent_s is None else sent_s
            self.network.append(
                InFlightMessage(self.now_s + delay_s, machine.address, target, sent, body)
            )

    def deliver(self, message: InFlightMessage) -> None:
        target = self.machines.get(message.target)
        is_connected = frozenset((message.source, message.target)) not in self.cut_links
        if target is None or not target.alive or not is_connected:
            return
        if isinstance(message.body, messages.Reply):
            effects = target.running.handle_reply(message.body, message.sent_s, self.now_s)
            self.execute(target, effects)
            return
        effects = target.running.handle_request(message.body, self.now_s)
        if effects.write is not None and self.rng.random() < self.loss / 4:
            # A crash before the sync: neither the write nor the reply took place.
            self.crash(target.address)
            return
        self.execute(target, effects)
        if effects.reply is not None:
            self.send(target, message.source, effects.reply, message.sent_s)

    def apply(self, machine: Machine) -> None:
        """Apply committed entries and check that every replica commits the same ones."""
        installed = machine.running.take_installed()
        if installed is not None:
            machine.applied = _commands(installed.state)
        for index, entry in machine.running.take_committed():
            expected = self.committed.setdefault(index, entry)
            assert expected == entry, f"entry {index}: got {entry}, expected {expected}"
            if entry.kind is messages.EntryKind.COMMAND:
                machine.applied.append(entry.payload)
            command = self.waiting.pop((index, entry.term), None)
            if command is not None:
                self.acknowledged.append(command)
        if machine.running.should_compact(COMPACT_AFTER_ENTRIES):
            machine.running.snapshot("\n".join(machine.applied))
            machine.disk = machine.running.stored()

    def check_leaders(self) -> None:
        """Check that at most one replica holds a leader lease."""
        names = [each.running.id for each in self.leaders()]
        assert len(names) <= 1, f"got leaders {names}, expected at most one"


def _commands(state: str) -> list[str]:
    return state.split("\n") if state else []
