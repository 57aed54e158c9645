from __future__ import annotations

import random

import pytest

from core.replication import cluster as clusters
from croftpulley.core.replication import messages, replica, state, voting

SEEDS = range(8)
MEMBERS = messages.Members(tuple(messages.Member(name, name) for name in "abc"))


def make_replica(name="a", now_s=0.0, **stored):
    persistent = messages.Stored(snapshot=messages.Snapshot(members=MEMBERS), **stored)
    return replica.Replica(name, persistent, state.Timing(), random.Random(1), now_s)


def vote_request(term=9, candidate="b", trial=False):
    return messages.VoteRequest(
        to="a", term=term, candidate=candidate, last_index=0, last_term=0, trial=trial
    )


def start_election(node, now_s):
    """Win the pre-vote, so that the replica starts an election."""
    node.tick(now_s)
    node.handle_reply(
        messages.VoteReply(voter="b", term=node.term, granted=True, trial=True), now_s, now_s
    )
    node.handle_reply(
        messages.VoteReply(voter="c", term=node.term, granted=True, trial=True), now_s, now_s
    )
    assert node.role is state.Role.CANDIDATE


@pytest.mark.parametrize("seed", SEEDS)
def test_a_leader_is_elected_within_an_election_timeout_after_all_replicas_restart(seed):
    cluster = clusters.Cluster(seed, delay_s=0.005, tick_s=0.01)
    cluster.run(4.0)
    cluster.propose("kept")
    cluster.run(1.0)
    for address in clusters.ADDRESSES:
        cluster.crash(address)
    for address in clusters.ADDRESSES:
        cluster.restart(address)
    began_s = cluster.now_s
    while not cluster.leaders():
        cluster.step()
    election_took_s = cluster.now_s - began_s
    assert election_took_s < cluster.timing.election_s
    cluster.run(1.0)
    (leader,) = cluster.leaders()
    assert leader.applied == ["kept"]


@pytest.mark.parametrize("seed", SEEDS)
def test_elections_after_frequent_restarts_never_give_two_leaders(seed):
    """Each step of the simulation checks that at most one replica holds a leader lease."""
    cluster = clusters.Cluster(seed, loss=0.1, delay_s=0.01, tick_s=0.01)
    cluster.run(4.0)
    for _ in range(60):
        for address in clusters.ADDRESSES:
            if cluster.rng.random() < 0.5:
                cluster.restart(address)
        cluster.cut_links.clear()
        if cluster.rng.random() < 0.4:
            one, other = cluster.rng.sample(clusters.ADDRESSES, 2)
            cluster.cut_links = {frozenset((one, other))}
        cluster.run(cluster.rng.random())


def test_a_restarted_voter_without_leader_contact_votes_conditionally():
    node = make_replica(now_s=5.0)
    reply = node.handle_request(vote_request(), 5.1).reply
    assert isinstance(reply, messages.VoteReply)
    assert (reply.granted, reply.if_all) == (False, True)


def test_a_restarted_voter_with_leader_contact_gives_no_vote():
    node = make_replica(now_s=5.0)
    heartbeat = messages.AppendRequest(
        to="a", term=3, leader="c", previous_index=0, previous_term=0, entries=(), commit_index=0
    )
    node.handle_request(heartbeat, 5.05)
    reply = node.handle_request(vote_request(), 5.1).reply
    assert isinstance(reply, messages.VoteReply)
    assert (reply.granted, reply.if_all) == (False, False)


def test_a_leader_votes_for_no_other_replica():
    node = make_replica()
    start_election(node, 3.0)
    granted = messages.VoteReply(voter="b", term=node.term, granted=True, trial=False)
    node.handle_reply(granted, 3.0, 3.0)
    assert node.role is state.Role.LEADER
    reply = node.handle_request(vote_request(), 3.1).reply
    assert isinstance(reply, messages.VoteReply)
    assert (reply.granted, reply.if_all) == (False, False)


def test_conditional_votes_elect_a_leader_only_if_all_voters_vote():
    ballot = voting.Ballot()
    ballot.add("a", unconditional=False)
    ballot.add("b", unconditional=False)
    assert not ballot.is_won(MEMBERS)
    ballot.add("c", unconditional=False)
    assert ballot.is_won(MEMBERS)


def test_a_vote_from_an_earlier_election_does_not_count_in_a_later_one():
    # Otherwise one term could have two leaders.
    node = make_replica()
    start_election(node, 3.0)
    first_term = node.term
    start_election(node, 6.0)
    late = messages.VoteReply(voter="b", term=first_term, granted=True, trial=False)
    node.handle_reply(late, 3.0, 6.0)
    assert node.term == first_term + 1
    assert node.role is state.Role.CANDIDATE
