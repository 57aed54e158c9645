from __future__ import annotations

import random

import pytest

from core.replication import cluster as clusters
from croftpulley.core.replication import membership, messages, replica, state

SEEDS = range(12)
SETTLE_S = 6.0


def settled_cluster(seed=1, **changes):
    cluster = clusters.Cluster(seed, **changes)
    cluster.run(SETTLE_S)
    return cluster


def commands_after_recovery(cluster):
    """Return the leader's commands after all replicas have restarted and all links work."""
    cluster.loss = 0.0
    cluster.cut_links.clear()
    for machine in list(cluster.machines.values()):
        if not machine.alive:
            cluster.restart(machine.address)
    cluster.run(2 * SETTLE_S)
    (leader,) = cluster.leaders()
    return leader.applied


def test_one_leader_is_elected_and_commits():
    cluster = settled_cluster()
    assert cluster.propose("x")
    cluster.run(1.0)
    assert cluster.acknowledged == ["x"]
    assert all(each.applied == ["x"] for each in cluster.machines.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_no_acknowledged_command_is_lost_under_message_loss_crashes_and_partitions(seed):
    cluster = settled_cluster(seed, loss=0.15)
    for number in range(40):
        cluster.propose(f"command-{number}")
        trouble = cluster.rng.random()
        address = cluster.rng.choice(clusters.ADDRESSES)
        if trouble < 0.15:
            cluster.crash(address)
        elif trouble < 0.25:
            other = cluster.rng.choice(clusters.ADDRESSES)
            cluster.cut_links = {frozenset((address, other))}
        elif trouble < 0.4:
            cluster.cut_links.clear()
        for machine in list(cluster.machines.values()):
            if not machine.alive and cluster.rng.random() < 0.5:
                cluster.restart(machine.address)
        cluster.run(0.5)
    commands = commands_after_recovery(cluster)
    assert set(cluster.acknowledged) <= set(commands)
    assert cluster.acknowledged


@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_disk_and_a_second_failure_right_after_the_repair_lose_no_command(seed):
    cluster = settled_cluster(seed)
    for number in range(5):
        cluster.propose(f"before-{number}")
        cluster.run(0.2)
    victim = cluster.rng.choice(clusters.ADDRESSES)
    cluster.crash(victim)
    cluster.run(2.0)
    cluster.propose("while-one-is-away")
    cluster.restart(victim, disk_lost=True)
    cluster.run(4.0)
    again = cluster.rng.choice([each for each in clusters.ADDRESSES if each != victim])
    cluster.crash(again)
    cluster.run(4.0)
    assert cluster.propose("after"), "expected a leader with two of three replicas up"
    cluster.run(1.0)
    assert "after" in cluster.acknowledged
    assert set(cluster.acknowledged) <= set(commands_after_recovery(cluster))


def test_a_replica_at_a_new_address_replaces_a_failed_voter():
    cluster = settled_cluster()
    cluster.propose("x")
    gone = clusters.ADDRESSES[0]
    del cluster.machines[gone]
    cluster.run(2.0)
    cluster.start_machine("d:1", "d:1#0", messages.Stored())
    cluster.run(SETTLE_S)
    (leader,) = cluster.leaders()
    addresses = {each.address for each in leader.running.members.members if each.voter}
    assert addresses == {"b:1", "c:1", "d:1"}
    assert cluster.machines["d:1"].applied == ["x"]


def test_a_fourth_replica_stays_a_learner_while_all_voters_answer():
    cluster = settled_cluster()
    cluster.start_machine("d:1", "d:1#0", messages.Stored())
    cluster.run(SETTLE_S)
    (leader,) = cluster.leaders()
    member = leader.running.members.find("d:1#0")
    assert member is not None
    assert not member.voter


def test_the_leader_lease_starts_at_the_last_request_that_a_quorum_answered():
    cluster = settled_cluster()
    (leader,) = cluster.leaders()
    later_s = cluster.now_s + cluster.timing.election_s
    assert leader.running.leader_lease_until_s(later_s) < later_s


def test_a_learner_that_lacks_committed_entries_is_not_promoted():
    cluster = settled_cluster()
    for number in range(3):
        cluster.propose(f"x-{number}")
        cluster.run(0.3)
    (leader,) = cluster.leaders()
    silent = next(each for each in clusters.ADDRESSES if each != leader.address)
    cluster.crash(silent)
    cluster.start_machine("d:1", "d:1#0", messages.Stored())
    # It is added as a learner, but receives nothing.
    cluster.cut_links = {frozenset(("d:1", each)) for each in clusters.ADDRESSES}
    request = messages.JoinRequest(replica="d:1#0", address="d:1")
    effects, taken = leader.running.admit(request, cluster.now_s)
    cluster.execute(leader, effects)
    cluster.run(4.0)
    member = leader.running.members.find("d:1#0")
    assert taken
    assert member is not None
    assert not member.voter


def test_a_replica_that_returns_from_a_partition_does_not_end_the_leaders_term():
    cluster = settled_cluster()
    (leader,) = cluster.leaders()
    term = leader.running.term
    away = next(each for each in clusters.ADDRESSES if each != leader.address)
    cluster.cut_links = {frozenset((away, other)) for other in clusters.ADDRESSES if other != away}
    cluster.run(10.0)
    cluster.cut_links.clear()
    cluster.run(3.0)
    assert [each.running.term for each in cluster.leaders()] == [term]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_leader_without_a_quorum_loses_its_lease_before_another_gets_one(seed):
    """Each step of the simulation checks that at most one replica holds a lease."""
    cluster = settled_cluster(seed)
    (leader,) = cluster.leaders()
    cluster.cut_links = {
        frozenset((leader.address, other))
        for other in clusters.ADDRESSES
        if other != leader.address
    }
    cluster.run(4.0)
    (other,) = cluster.leaders()
    assert other.address != leader.address
    assert leader.running.role is not state.Role.LEADER


def test_no_unconditional_vote_is_given_right_after_a_start():
    # A restarted replica no longer knows the last leader; its vote could elect a second leader
    # while the first still holds its lease.
    stored = messages.Stored(
        snapshot=messages.Snapshot(
            members=messages.Members((messages.Member("a", "a:1"), messages.Member("b", "b:1")))
        )
    )
    node = replica.Replica("a", stored, state.Timing(), random.Random(1), now_s=5.0)
    request = messages.VoteRequest(
        to="a", term=9, candidate="b", last_index=0, last_term=0, trial=False
    )
    early = node.handle_request(request, 5.1).reply
    late = node.handle_request(request, 6.0).reply
    assert isinstance(early, messages.VoteReply)
    assert isinstance(late, messages.VoteReply)
    assert (early.granted, late.granted) == (False, True)


def test_a_request_for_the_id_of_a_lost_disk_is_ignored():
    node = replica.Replica("new", messages.Stored(), state.Timing(), random.Random(1), 0.0)
    request = messages.AppendRequest(
        to="old", term=3, leader="x", previous_index=0, previous_term=0, entries=(), commit_index=0
    )
    assert node.handle_request(request, 1.0) == state.Effects()


def test_a_vote_survives_a_restart():
    members = messages.Members(tuple(messages.Member(name, name) for name in "abc"))
    stored = messages.Stored(term=4, voted_for="b", snapshot=messages.Snapshot(members=members))
    node = replica.Replica("a", stored, state.Timing(), random.Random(1), 0.0)
    request = messages.VoteRequest(
        to="a", term=4, candidate="c", last_index=0, last_term=0, trial=False
    )
    reply = node.handle_request(request, 5.0).reply
    assert isinstance(reply, messages.VoteReply)
    assert not reply.granted


def test_a_silent_voter_is_removed_only_from_an_even_number_of_voters():
    four = messages.Members(tuple(messages.Member(name, name) for name in "abcd"))
    smaller = membership.without_silent(four, frozenset("d"))
    assert smaller is not None
    assert smaller.voters == ("a", "b", "c")
    assert membership.without_silent(smaller, frozenset("c")) is None


def test_silent_addresses_lists_members_that_do_not_answer_the_leader():
    cluster = clusters.Cluster(seed=1)
    cluster.run(SETTLE_S)
    (leader,) = cluster.leaders()
    silent = next(each for each in clusters.ADDRESSES if each != leader.address)
    assert leader.running.silent_addresses(cluster.now_s) == ()
    cluster.crash(silent)
    cluster.run(1.0)
    assert leader.running.silent_addresses(cluster.now_s) == (silent,)
    cluster.restart(silent)
    cluster.run(1.0)
    assert leader.running.silent_addresses(cluster.now_s) == ()
    others = [each.running for each in cluster.machines.values() if each is not leader]
    assert all(each.silent_addresses(cluster.now_s) == () for each in others)
