from __future__ import annotations

import random

import pytest

from core.replication import cluster as clusters
from croftpulley.core.replication import messages, replica, state, voting

SEEDS = range(8)
MEMBERS = messages.Members(tuple(messages.Member(name, name) for name in "abc"))


def make_replica(name="a", now_s=0.0, **stored):
    kept = messages.Stored(snapshot=messages.Snapshot(members=MEMBERS), **stored)
    return replica.Replica(name, kept, state.Timing(), random.Random(1), now_s)


def vote_request(term=9, candidate="b", trial=False):
    return messages.VoteRequest(
        to="a", term=term, candidate=candidate, last_index=0, last_term=0, trial=trial
    )


def candidacy(made, now_s):
    """Tick until the replica asks for real votes."""
    made.tick(now_s)
    made.reply(
        messages.VoteReply(voter="b", term=made.term, granted=True, trial=True), now_s, now_s
    )
    made.reply(
        messages.VoteReply(voter="c", term=made.term, granted=True, trial=True), now_s, now_s
    )
    assert made.role is state.Role.CANDIDATE


@pytest.mark.parametrize("seed", SEEDS)
def test_after_all_have_restarted_a_leader_stands_before_an_election_timeout(seed):
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
    got_s = cluster.now_s - began_s
    assert got_s < cluster.timing.election_s
    cluster.run(1.0)
    (leader,) = cluster.leaders()
    assert leader.applied == ["kept"]


@pytest.mark.parametrize("seed", SEEDS)
def test_quick_elections_never_give_two_leaders(seed):
    """Each step of the scheduler checks that at most one may act; restarts come in any mix."""
    cluster = clusters.Cluster(seed, loss=0.1, delay_s=0.01, tick_s=0.01)
    cluster.run(4.0)
    for _ in range(60):
        for address in clusters.ADDRESSES:
            if cluster.chance.random() < 0.5:
                cluster.restart(address)
        cluster.cut.clear()
        if cluster.chance.random() < 0.4:
            one, other = cluster.chance.sample(clusters.ADDRESSES, 2)
            cluster.cut = {frozenset((one, other))}
        cluster.run(cluster.chance.random())


def test_a_fresh_voter_that_heard_no_leader_votes_only_if_all_do():
    made = make_replica(now_s=5.0)
    reply = made.receive(vote_request(), 5.1).reply
    assert isinstance(reply, messages.VoteReply)
    assert (reply.granted, reply.if_all) == (False, True)


def test_a_fresh_voter_that_heard_a_leader_gives_no_vote_at_all():
    made = make_replica(now_s=5.0)
    heartbeat = messages.AppendRequest(
        to="a", term=3, leader="c", previous_index=0, previous_term=0, entries=(), commit_index=0
    )
    made.receive(heartbeat, 5.05)
    reply = made.receive(vote_request(), 5.1).reply
    assert isinstance(reply, messages.VoteReply)
    assert (reply.granted, reply.if_all) == (False, False)


def test_a_leader_agrees_to_no_other():
    made = make_replica()
    candidacy(made, 3.0)
    granted = messages.VoteReply(voter="b", term=made.term, granted=True, trial=False)
    made.reply(granted, 3.0, 3.0)
    assert made.role is state.Role.LEADER
    reply = made.receive(vote_request(), 3.1).reply
    assert isinstance(reply, messages.VoteReply)
    assert (reply.granted, reply.if_all) == (False, False)


def test_votes_on_a_condition_elect_nobody_while_one_voter_is_silent():
    ballot = voting.Ballot()
    ballot.add("a", firm=False)
    ballot.add("b", firm=False)
    assert not ballot.is_won(MEMBERS)
    ballot.add("c", firm=False)
    assert ballot.is_won(MEMBERS)


def test_a_vote_for_an_earlier_candidacy_counts_for_no_later_one():
    # Two leaders of one term could come of it.
    made = make_replica()
    candidacy(made, 3.0)
    first_term = made.term
    candidacy(made, 6.0)
    late = messages.VoteReply(voter="b", term=first_term, granted=True, trial=False)
    made.reply(late, 3.0, 6.0)
    assert made.term == first_term + 1
    assert made.role is state.Role.CANDIDATE
