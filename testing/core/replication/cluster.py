"""Replicas under a seeded scheduler: messages are dropped, delayed, doubled and reordered, and
replicas are paused, crash before or after a sync, lose their disks and come back.
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
ANSWER_LIMIT_S = 0.4
"""A request that is not over by then has failed, as on the daemons' links."""
ADDRESSES = ("a:1", "b:1", "c:1")


@attrs.define
class Machine:
    """A replica with its disk; ``alive`` is false while it is down or paused."""

    address: str
    disk: messages.Stored
    running: replica.Replica
    applied: list[str] = attrs.field(factory=list)
    alive: bool = True
    restarts: int = 0
    link_free_at_s: float = 0.0


@attrs.define
class InFlight:
    """A message on its way."""

    at_s: float
    source: str
    target: str
    sent_s: float
    body: messages.Request | messages.Reply


@attrs.define
class Failed:
    """A request that its sender gives up."""

    at_s: float
    source: Machine
    replica: str


class Cluster:
    """Voters, three unless said otherwise, and whatever joins; every step checks that committed
    logs agree.

    With ``link_bytes_per_s`` requests leave a machine over one link of that rate, which those that
    are sent together share; a request that takes longer than `ANSWER_LIMIT_S` is broken off.
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
        self.chance = random.Random(seed)
        self.now_s = 0.0
        self.loss = loss
        self.delay_s = delay_s
        self.tick_s = tick_s
        self.link_bytes_per_s = link_bytes_per_s
        self.failures: list[Failed] = []
        self.cut: set[frozenset[str]] = set()
        self.network: list[InFlight] = []
        self.timing = state.Timing()
        members = messages.Members(
            tuple(messages.Member(f"{address}#0", address) for address in addresses)
        )
        self.machines: dict[str, Machine] = {}
        for address in addresses:
            stored = messages.Stored(snapshot=messages.Snapshot(members=members))
            self.start(address, f"{address}#0", stored)
        self.committed: dict[int, messages.Entry] = {}
        self.acknowledged: list[str] = []
        self.waiting: dict[tuple[int, int], str] = {}
        self.authorities: list[tuple[str, int, float]] = []

    def start(self, address: str, name: str, stored: messages.Stored) -> None:
        running = replica.Replica(
            name, stored, self.timing, random.Random(self.chance.random()), self.now_s
        )
        self.machines[address] = Machine(address, stored, running)
        self.machines[address].applied = _commands(stored.snapshot.state)

    def crash(self, address: str) -> None:
        """Take a machine down; what was synced stays."""
        self.machines[address].alive = False

    def restart(self, address: str, *, wiped: bool = False) -> None:
        """Bring a machine back, with its disk or with a new id on an empty one."""
        machine = self.machines[address]
        restarts = machine.restarts + 1
        name = machine.running.id
        stored = machine.disk
        if wiped:
            name = f"{address}#{restarts}"
            stored = messages.Stored()
        self.start(address, name, copy.deepcopy(stored))
        self.machines[address].restarts = restarts

    def leaders(self) -> list[Machine]:
        """Return the machines that may act as leader at this moment."""
        return [
            each
            for each in self.machines.values()
            if each.alive and each.running.authority_until_s(self.now_s) > self.now_s
        ]

    def propose(self, command: str) -> bool:
        """Propose at a leader, if there is one."""
        for machine in self.leaders():
            effects, (index,) = machine.running.propose([command], self.now_s)
            self.waiting[(index, machine.running.term)] = command
            self.carry_out(machine, effects)
            return True
        return False

    def run(self, seconds_s: float) -> None:
        """Let time pass."""
        ends_at_s = self.now_s + seconds_s
        while self.now_s < ends_at_s:
            self.step()

    def step(self) -> None:
        """Deliver what is due, tick everyone and check."""
        self.now_s += self.tick_s
        due = [each for each in self.network if each.at_s <= self.now_s]
        self.network = [each for each in self.network if each.at_s > self.now_s]
        self.chance.shuffle(due)
        for message in due:
            self.deliver(message)
        self.fail_requests()
        for machine in list(self.machines.values()):
            if machine.alive:
                self.carry_out(machine, machine.running.tick(self.now_s))
                self.join(machine)
        self.check_leaders()

    def join(self, machine: Machine) -> None:
        """Ask to be taken in, as a replica that is in no set does."""
        if not machine.running.must_join:
            return
        request = messages.JoinRequest(replica=machine.running.id, address=machine.address)
        for other in self.leaders():
            if frozenset((machine.address, other.address)) not in self.cut:
                effects, _ = other.running.admit(request, self.now_s)
                self.carry_out(other, effects)

    def carry_out(self, machine: Machine, effects: state.Effects) -> None:
        """Write, then send and apply, as the driver does."""
        if effects.write is not None:
            machine.disk = machine.running.stored()
        if math.isinf(self.link_bytes_per_s):
            for request in effects.sends:
                self.send(machine, self.address_of(machine, request.to), request)
        elif effects.sends:
            self.send_over_link(machine, effects.sends)
        self.apply(machine)

    def send_over_link(self, machine: Machine, requests: list[messages.Request]) -> None:
        """Have requests share the link, as connections do: none is over before all nearly are."""
        sizes_bytes = [len(json_codec.encode(each, replica_codec.REQUEST)) for each in requests]
        begins_at_s = max(self.now_s, machine.link_free_at_s)
        over_at_s = begins_at_s + sum(sizes_bytes) / self.link_bytes_per_s
        gives_up_at_s = self.now_s + ANSWER_LIMIT_S
        machine.link_free_at_s = min(over_at_s, gives_up_at_s)
        for request in requests:
            if over_at_s > gives_up_at_s:
                self.failures.append(Failed(gives_up_at_s, machine, request.to))
                continue
            target = self.address_of(machine, request.to)
            at_s = over_at_s + self.delay_s
            self.network.append(InFlight(at_s, machine.address, target, self.now_s, request))

    def fail_requests(self) -> None:
        """Tell the senders of requests that were broken off."""
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
        copies = 2 if self.chance.random() < self.loss / 2 else 1
        for _ in range(copies):
            if self.chance.random() < self.loss:
                continue
            delay_s = self.delay_s * (0.5 + self.chance.random())
            if self.chance.random() < self.loss:
                delay_s *= 20
            sent = self.now_s if sent_s is None else sent_s
            self.network.append(InFlight(self.now_s + delay_s, machine.address, target, sent, body))

    def deliver(self, message: InFlight) -> None:
        target = self.machines.get(message.target)
        linked = frozenset((message.source, message.target)) not in self.cut
        if target is None or not target.alive or not linked:
            return
        if isinstance(message.body, messages.Reply):
            effects = target.running.reply(message.body, message.sent_s, self.now_s)
            self.carry_out(target, effects)
            return
        effects = target.running.receive(message.body, self.now_s)
        if effects.write is not None and self.chance.random() < self.loss / 4:
            # A crash before the sync: neither the write nor the answer happened.
            self.crash(target.address)
            return
        self.carry_out(target, effects)
        if effects.reply is not None:
            self.send(target, message.source, effects.reply, message.sent_s)

    def apply(self, machine: Machine) -> None:
        """Apply commits and check that every replica commits the same entries."""
        installed = machine.running.take_installed()
        if installed is not None:
            machine.applied = _commands(installed.state)
        for index, entry in machine.running.take_committed():
            known = self.committed.setdefault(index, entry)
            assert known == entry, f"entry {index}: got {entry}, expected {known}"
            if entry.kind is messages.EntryKind.COMMAND:
                machine.applied.append(entry.payload)
            command = self.waiting.pop((index, entry.term), None)
            if command is not None:
                self.acknowledged.append(command)
        if machine.running.is_long(COMPACT_AFTER_ENTRIES):
            machine.running.snapshot("\n".join(machine.applied))
            machine.disk = machine.running.stored()

    def check_leaders(self) -> None:
        """At no moment do two replicas believe that they alone may act."""
        names = [each.running.id for each in self.leaders()]
        assert len(names) <= 1, f"got leaders {names}, expected at most one"


def _commands(state: str) -> list[str]:
    return state.split("\n") if state else []
