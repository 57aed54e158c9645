from __future__ import annotations

import random

import pytest

from core.replication import cluster as clusters
from croftpulley.core.replication import membership, messages, replica, state

SEEDS = range(12)
SETTLE_S = 6.0


def settled(seed=1, **changes):
    cluster = clusters.Cluster(seed, **changes)
    cluster.run(SETTLE_S)
    return cluster


def surviving(cluster):
    """Return the commands that a leader holds once everyone is back and linked."""
    cluster.loss = 0.0
    cluster.cut.clear()
    for machine in list(cluster.machines.values()):
        if not machine.alive:
            cluster.restart(machine.address)
    cluster.run(2 * SETTLE_S)
    (leader,) = cluster.leaders()
    return leader.applied


def test_one_leader_is_elected_and_commits():
    cluster = settled()
    assert cluster.propose("x")
    cluster.run(1.0)
    assert cluster.acknowledged == ["x"]
    assert all(each.applied == ["x"] for each in cluster.machines.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_acknowledged_is_lost_under_loss_crashes_and_cuts(seed):
    cluster = settled(seed, loss=0.15)
    for number in range(40):
        cluster.propose(f"command-{number}")
        trouble = cluster.chance.random()
        address = cluster.chance.choice(clusters.ADDRESSES)
        if trouble < 0.15:
            cluster.crash(address)
        elif trouble < 0.25:
            other = cluster.chance.choice(clusters.ADDRESSES)
            cluster.cut = {frozenset((address, other))}
        elif trouble < 0.4:
            cluster.cut.clear()
        for machine in list(cluster.machines.values()):
            if not machine.alive and cluster.chance.random() < 0.5:
                cluster.restart(machine.address)
        cluster.run(0.5)
    commands = surviving(cluster)
    assert set(cluster.acknowledged) <= set(commands)
    assert cluster.acknowledged


@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_disk_and_a_second_failure_right_after_the_repair_lose_nothing(seed):
    cluster = settled(seed)
    for number in range(5):
        cluster.propose(f"before-{number}")
        cluster.run(0.2)
    victim = cluster.chance.choice(clusters.ADDRESSES)
    cluster.crash(victim)
    cluster.run(2.0)
    cluster.propose("while-one-is-away")
    cluster.restart(victim, wiped=True)
    cluster.run(4.0)
    again = cluster.chance.choice([each for each in clusters.ADDRESSES if each != victim])
    cluster.crash(again)
    cluster.run(4.0)
    assert cluster.propose("after"), "two of three are up and one of them leads"
    cluster.run(1.0)
    assert "after" in cluster.acknowledged
    assert set(cluster.acknowledged) <= set(surviving(cluster))


def test_a_replacement_at_a_new_address_takes_the_place_of_the_one_that_is_gone():
    cluster = settled()
    cluster.propose("x")
    gone = clusters.ADDRESSES[0]
    del cluster.machines[gone]
    cluster.run(2.0)
    cluster.start("d:1", "d:1#0", messages.Stored())
    cluster.run(SETTLE_S)
    (leader,) = cluster.leaders()
    addresses = {each.address for each in leader.running.members.members if each.voter}
    assert addresses == {"b:1", "c:1", "d:1"}
    assert cluster.machines["d:1"].applied == ["x"]


def test_a_fourth_replica_learns_and_gets_no_vote_until_one_is_silent():
    cluster = settled()
    cluster.start("d:1", "d:1#0", messages.Stored())
    cluster.run(SETTLE_S)
    (leader,) = cluster.leaders()
    member = leader.running.members.find("d:1#0")
    assert member is not None
    assert not member.voter


def test_authority_is_counted_from_the_last_request_that_a_quorum_answered():
    cluster = settled()
    (leader,) = cluster.leaders()
    later_s = cluster.now_s + cluster.timing.election_s
    assert leader.running.authority_until_s(later_s) < later_s


def test_a_learner_that_lacks_committed_entries_gets_no_vote():
    cluster = settled()
    for number in range(3):
        cluster.propose(f"x-{number}")
        cluster.run(0.3)
    (leader,) = cluster.leaders()
    silent = next(each for each in clusters.ADDRESSES if each != leader.address)
    cluster.crash(silent)
    cluster.start("d:1", "d:1#0", messages.Stored())
    # It asks to be taken in, but nothing reaches it.
    cluster.cut = {frozenset(("d:1", each)) for each in clusters.ADDRESSES}
    request = messages.JoinRequest(replica="d:1#0", address="d:1")
    effects, taken = leader.running.admit(request, cluster.now_s)
    cluster.carry_out(leader, effects)
    cluster.run(4.0)
    member = leader.running.members.find("d:1#0")
    assert taken
    assert member is not None
    assert not member.voter


def test_a_replica_that_was_cut_off_does_not_end_the_leaders_term():
    cluster = settled()
    (leader,) = cluster.leaders()
    term = leader.running.term
    away = next(each for each in clusters.ADDRESSES if each != leader.address)
    cluster.cut = {frozenset((away, other)) for other in clusters.ADDRESSES if other != away}
    cluster.run(10.0)
    cluster.cut.clear()
    cluster.run(3.0)
    assert [each.running.term for each in cluster.leaders()] == [term]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_leader_cut_from_its_quorum_loses_its_authority_before_another_has_it(seed):
    """Each step of the scheduler checks that at most one has it."""
    cluster = settled(seed)
    (leader,) = cluster.leaders()
    cluster.cut = {
        frozenset((leader.address, other))
        for other in clusters.ADDRESSES
        if other != leader.address
    }
    cluster.run(4.0)
    (other,) = cluster.leaders()
    assert other.address != leader.address
    assert leader.running.role is not state.Role.LEADER


def test_no_vote_is_given_right_after_a_start():
    # A replica that forgot whom it heard could elect a second leader within the first's authority.
    stored = messages.Stored(
        snapshot=messages.Snapshot(
            members=messages.Members((messages.Member("a", "a:1"), messages.Member("b", "b:1")))
        )
    )
    made = replica.Replica("a", stored, state.Timing(), random.Random(1), now_s=5.0)
    request = messages.VoteRequest(
        to="a", term=9, candidate="b", last_index=0, last_term=0, trial=False
    )
    early = made.receive(request, 5.1).reply
    late = made.receive(request, 6.0).reply
    assert isinstance(early, messages.VoteReply)
    assert isinstance(late, messages.VoteReply)
    assert (early.granted, late.granted) == (False, True)


def test_a_message_for_the_id_of_a_lost_disk_gets_no_answer():
    made = replica.Replica("new", messages.Stored(), state.Timing(), random.Random(1), 0.0)
    request = messages.AppendRequest(
        to="old", term=3, leader="x", previous_index=0, previous_term=0, entries=(), commit_index=0
    )
    assert made.receive(request, 1.0) == state.Effects()


def test_a_vote_is_kept_over_a_restart():
    members = messages.Members(tuple(messages.Member(name, name) for name in "abc"))
    stored = messages.Stored(term=4, voted_for="b", snapshot=messages.Snapshot(members=members))
    made = replica.Replica("a", stored, state.Timing(), random.Random(1), 0.0)
    request = messages.VoteRequest(
        to="a", term=4, candidate="c", last_index=0, last_term=0, trial=False
    )
    reply = made.receive(request, 5.0).reply
    assert isinstance(reply, messages.VoteReply)
    assert not reply.granted


def test_a_silent_voter_of_an_even_set_is_removed_and_of_an_odd_set_stays():
    four = messages.Members(tuple(messages.Member(name, name) for name in "abcd"))
    smaller = membership.without_silent(four, frozenset("d"))
    assert smaller is not None
    assert smaller.voters == ("a", "b", "c")
    assert membership.without_silent(smaller, frozenset("c")) is None


def test_a_leader_names_members_that_answer_it_nothing():
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
