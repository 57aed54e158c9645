from __future__ import annotations

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

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
    smaller = membership.with_changed_votes(four, (), frozenset("d"))
    assert smaller is not None
    assert smaller.voters == ("a", "b", "c")
    assert membership.with_changed_votes(smaller, (), frozenset("c")) is None


def majorities(members):
    return [set(each) for each in itertools.combinations(members.voters, members.quorum)]


def members_from(voter_addresses, learner_addresses):
    voters = [messages.Member(f"v{n}", each) for n, each in enumerate(voter_addresses)]
    learners = [
        messages.Member(f"l{n}", each, voter=False) for n, each in enumerate(learner_addresses)
    ]
    return messages.Members((*voters, *learners))


# A silent voter was replaced in one change: a majority before it and one after it need not meet.
@hypothesis.given(strategies.data())
def test_any_majorities_before_and_after_a_change_have_a_voter_in_common(data):
    addresses = strategies.sampled_from("abcdefghi")
    members = members_from(
        data.draw(strategies.lists(addresses, min_size=1, max_size=7, unique=True)),
        data.draw(strategies.lists(addresses, max_size=3, unique=True)),
    )
    for _ in range(6):
        names = [each.replica for each in members.members]
        silent = frozenset(data.draw(strategies.sets(strategies.sampled_from(names))))
        ready = tuple(
            each
            for each in members.members
            if not each.voter and each.replica not in silent and data.draw(strategies.booleans())
        )
        changed = membership.with_changed_votes(members, ready, silent)
        if changed is None:
            continue
        for before, after in itertools.product(majorities(members), majorities(changed)):
            assert before & after, f"{members} to {changed}"
        assert len(changed.voters) >= min(membership.MIN_VOTERS, len(members.voters))
        members = changed


@pytest.mark.parametrize("voter_count", [3, 5, 7])
@pytest.mark.parametrize("same_address", [True, False])
def test_a_voter_that_is_gone_is_replaced_in_two_changes(voter_count, same_address):
    addresses = "abcdefg"[:voter_count]
    members = members_from(addresses, [addresses[-1] if same_address else "z"])
    silent = frozenset({f"v{voter_count - 1}"})
    ready = tuple(each for each in members.members if not each.voter)
    grown = membership.with_changed_votes(members, ready, silent)
    assert set(grown.voters) == {*members.voters, "l0"}
    replaced = membership.with_changed_votes(grown, (), silent)
    assert set(replaced.voters) == {*members.voters, "l0"} - silent
    assert membership.with_changed_votes(replaced, (), silent) is None


# A lost disk is known by its address, before its old id counts as silent.
def test_a_voter_whose_disk_is_lost_is_replaced_before_it_is_silent():
    members = members_from("abc", "c")
    grown = membership.with_changed_votes(members, members.members[3:], frozenset())
    assert grown.voters == ("v0", "v1", "v2", "l0")
    replaced = membership.with_changed_votes(grown, (), frozenset())
    assert replaced.voters == ("v0", "v1", "l0")


def test_more_voters_than_the_most_last_only_until_one_is_removed():
    members = members_from("abcdefgh", "i")
    replaced = membership.with_changed_votes(members, members.members[8:], frozenset({"v3"}))
    assert set(replaced.voters) == {f"v{n}" for n in range(8)} - {"v3"}


# With no disk lost, {leader, former learner} acknowledged what {the two silent voters} never heard.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("second_loss_s", [0.5, 1.0, 1.5, 1.8, 1.95, 2.1])
def test_losses_of_power_one_after_the_other_lose_no_acknowledged_command(seed, second_loss_s):
    cluster = settled_cluster(seed)
    cluster.start_machine("d:1", "d:1#0", messages.Stored())
    cluster.run(SETTLE_S)
    cluster.propose("before")
    cluster.run(0.5)
    (leader,) = cluster.leaders()
    first, second = (each for each in clusters.ADDRESSES if each != leader.address)
    cluster.crash(first)
    cluster.run(second_loss_s)
    cluster.crash(second)
    cluster.run(1.0)
    cluster.propose("in between")
    cluster.run(0.8)
    cluster.crash(leader.address)
    cluster.crash("d:1")
    cluster.restart(first)
    cluster.restart(second)
    cluster.run(SETTLE_S)
    cluster.propose("in the other half")
    cluster.run(0.5)
    assert set(cluster.acknowledged) <= set(commands_after_recovery(cluster))


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


# The same in any order, with many machines down at once.
@pytest.mark.parametrize("added", [("d:1",), ("d:1", "e:1")])
@pytest.mark.parametrize("seed", SEEDS)
def test_overlapping_losses_of_power_lose_no_acknowledged_command(seed, added):
    cluster = settled_cluster(seed)
    for address in added:
        cluster.start_machine(address, f"{address[0]}#0", messages.Stored())
    cluster.run(SETTLE_S)
    addresses = sorted(cluster.machines)
    for number in range(60):
        cluster.propose(f"command-{number}")
        cluster.run(cluster.rng.uniform(0.1, 2.5))
        for address in addresses:
            if not cluster.machines[address].alive:
                if cluster.rng.random() < 0.3:
                    cluster.restart(address)
            elif cluster.rng.random() < 0.25:
                cluster.crash(address)
    assert cluster.acknowledged
    assert set(cluster.acknowledged) <= set(commands_after_recovery(cluster))
