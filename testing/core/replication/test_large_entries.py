"""Configurations that are large for the links between control boxes.

What users saw: a change of 1,400 more routes got no clear answer, and from then on the leading
control box was another one every 1.4 s; a configuration could not be read back, and after all
boxes had lost power no request was served for longer than a recovery may take.

Order of events: one entry of the log held the whole configuration. The leader sent it to seven
others at once over its one link, where each copy took longer than a request may. Each was broken
off and begun anew, and heartbeats waited behind it. The followers elected another leader, which
did the same. What got through was a matter of luck.

Evidence: the control boxes' counter of bytes shows that each copy was 878 kB: seven are 6.1 MB,
0.5 s on their link of 12.5 MB/s, and a request may take 0.4 s. The change before it, of 484 kB a
copy (0.27 s), was taken. Term 1 lasted until 0.7 s after the large one was sent; 73 s later it was
term 52.
"""

from __future__ import annotations

import random

import pytest

from core.replication import cluster as clusters
from croftpulley.core.replication import long_texts, messages, progress, replica, state
from croftpulley.transport import json_codec

SEEDS = range(3)
ADDRESSES = tuple(f"{name}:1" for name in "abcdefg")
LINK_BYTES_PER_S = 12.5e6
SLOW_LINK_BYTES_PER_S = 1.25e6
SETTLE_S = 3.0


def large_text(size_bytes, seed=1):
    """Return a text that cannot be packed much."""
    return random.Random(seed).randbytes(size_bytes // 2).hex()


def is_alone(leader, cluster):
    return [each.address for each in cluster.leaders()] == [leader.address]


def settled(seed, link_bytes_per_s=LINK_BYTES_PER_S):
    cluster = clusters.Cluster(
        seed,
        delay_s=0.002,
        tick_s=0.01,
        addresses=ADDRESSES,
        link_bytes_per_s=link_bytes_per_s,
    )
    cluster.run(SETTLE_S)
    return cluster


def test_an_entry_that_the_link_cannot_carry_at_once_is_committed():
    for seed in SEEDS:
        cluster = settled(seed)
        (leader,) = cluster.leaders()
        assert cluster.propose(large_text(1_500_000))
        cluster.run(3.0)
        assert len(cluster.acknowledged) == 1, f"seed {seed}"
        assert is_alone(leader, cluster), "sending much is no reason to lose the lead"


@pytest.mark.parametrize("seed", SEEDS)
def test_a_new_leader_gets_a_large_entry_of_the_one_before_through(seed):
    cluster = settled(seed)
    (leader,) = cluster.leaders()
    assert cluster.propose(large_text(1_500_000))
    cluster.run(0.3)
    cluster.crash(leader.address)
    cluster.run(3.0)
    assert len(cluster.leaders()) == 1
    cluster.propose("after")
    cluster.run(1.0)
    assert "after" in cluster.acknowledged


def test_a_replica_without_a_disk_gets_a_state_that_the_link_cannot_carry_at_once():
    for seed in SEEDS:
        cluster = settled(seed, SLOW_LINK_BYTES_PER_S)
        for number in range(9):
            cluster.propose(large_text(80_000, number))
            cluster.run(1.0)
        (leader,) = cluster.leaders()
        assert leader.running.log.snapshot.index > 0
        victim = next(each for each in ADDRESSES if each != leader.address)
        cluster.crash(victim)
        cluster.run(0.5)
        cluster.restart(victim, wiped=True)
        cluster.run(6.0)
        assert is_alone(leader, cluster), "sending much is no reason to lose the lead"
        assert cluster.machines[victim].applied == leader.applied, f"seed {seed}"


def test_heartbeats_reach_a_replica_that_is_sent_a_large_entry():
    cluster = settled(1)
    (leader,) = cluster.leaders()
    cluster.propose(large_text(1_500_000))
    for _ in range(100):
        cluster.step()
        quorum_s = leader.running.authority_until_s(cluster.now_s)
        assert quorum_s > cluster.now_s, "a quorum follows all the while"
    assert leader.running.role is state.Role.LEADER
    assert len(cluster.acknowledged) == 1


def test_parts_of_a_command_whose_leader_was_lost_are_left_out():
    assembly = long_texts.Assembly()
    kind = messages.EntryKind.COMMAND
    assert assembly.take(messages.Entry(1, kind, "lost", continues=True)) is None
    start = messages.Entry(2, messages.EntryKind.START)
    assert assembly.take(start) is start
    assert assembly.is_whole
    after = messages.Entry(2, kind, "after")
    assert assembly.take(after) == after


def test_a_snapshot_stands_for_no_part_of_a_command():
    cluster = settled(1)
    (leader,) = cluster.leaders()
    cluster.propose(large_text(200_000))
    while leader.running.commit_index < 3:
        cluster.step()
    assert leader.running.commit_index < leader.running.log.last_index
    assert leader.running.applied_index == 1, "the entry with which the term began"


@pytest.mark.parametrize("seed", SEEDS)
def test_parts_of_snapshots_of_two_leaders_are_never_put_together(seed):
    chance = random.Random(seed)
    texts = {term: large_text(5 * long_texts.PART_LENGTH, term) for term in (4, 5)}
    incoming = long_texts.IncomingSnapshot()
    whole = []
    for _ in range(300):
        term = chance.choice((4, 5)) if chance.random() < 0.1 else incoming.term or 4
        offset = 0 if term != incoming.term else incoming.received
        if chance.random() < 0.1:
            offset = chance.randrange(5) * long_texts.PART_LENGTH
        text = texts[term][offset : offset + long_texts.PART_LENGTH]
        request = messages.SnapshotRequest(
            to="a",
            term=term,
            leader="b",
            index=9,
            snapshot_term=3,
            members=messages.Members(),
            offset=offset,
            length=len(texts[term]),
            text=text,
        )
        snapshot = incoming.take(request)
        if snapshot is not None:
            whole.append(snapshot.state)
            incoming.clear()
    assert whole
    assert set(whole) <= set(texts.values())


def test_no_request_is_long_whatever_is_replicated():
    cluster = settled(1)
    cluster.propose(large_text(1_500_000))
    sizes_bytes = []
    for _ in range(200):
        cluster.step()
        sizes_bytes += [len(json_codec.encode(each.body)) for each in cluster.network]
    assert 1.5 * long_texts.PART_LENGTH > max(sizes_bytes) > long_texts.PART_LENGTH


def follower_of_a_command_in_parts():
    """Return a replica that has committed the first part of a command and not the second."""
    members = messages.Members(tuple(messages.Member(name, "") for name in "abc"))
    stored = messages.Stored(snapshot=messages.Snapshot(members=members))
    made = replica.Replica("b", stored, state.Timing(), random.Random(1), 0.0)
    entries = (
        messages.Entry(1, messages.EntryKind.START),
        messages.Entry(1, messages.EntryKind.COMMAND, "x", continues=True),
    )
    made.receive(append_request(0, 0, entries), 1.0)
    made.take_committed()
    return made


def append_request(previous_index, previous_term, entries):
    return messages.AppendRequest(
        to="b",
        term=1,
        leader="a",
        previous_index=previous_index,
        previous_term=previous_term,
        entries=entries,
        commit_index=previous_index + len(entries),
    )


def test_a_snapshot_taken_between_parts_stands_before_the_command():
    made = follower_of_a_command_in_parts()
    assert made.commit_index == 2
    assert made.snapshot("S").index == 1
    assert [each.payload for each in made.log.entries] == ["x"]


def test_an_installed_snapshot_ends_a_command_begun_before_it():
    made = follower_of_a_command_in_parts()
    request = messages.SnapshotRequest(
        to="b",
        term=1,
        leader="a",
        index=5,
        snapshot_term=1,
        members=made.members,
        offset=0,
        length=1,
        text="S",
    )
    made.receive(request, 1.1)
    assert made.take_installed().index == 5
    entry = messages.Entry(1, messages.EntryKind.COMMAND, "y")
    made.receive(append_request(5, 1, (entry,)), 1.2)
    assert [(index, each.payload) for index, each in made.take_committed()] == [(6, "y")]


def test_a_late_answer_about_an_older_snapshot_counts_for_nothing():
    known = progress.Progress(next_index=1, since_s=0.0)
    known.snapshot_part(messages.Snapshot(index=50, term=1, state="sssss"))
    known.received(messages.SnapshotReply(replica="b", term=1, index=20, received=9))
    assert known.match_index == 0
    assert known.outgoing.offset == 0


def test_a_replica_catches_up_while_the_log_is_compacted_faster_than_a_snapshot_is_sent():
    cluster = clusters.Cluster(1, delay_s=0.02, tick_s=0.01)
    cluster.run(SETTLE_S)
    # 13 parts, each a round trip of 0.02 to 0.06 s; a compaction each 8 commits, 0.4 s.
    cluster.propose(large_text(400_000))
    cluster.run(3.0)
    (leader,) = cluster.leaders()
    victim = next(each for each in clusters.ADDRESSES if each != leader.address)
    cluster.restart(victim, wiped=True)
    for number in range(200):
        cluster.propose(f"command-{number}")
        cluster.run(0.05)
    assert cluster.machines[victim].running.is_voter
    assert len(leader.running.log.entries) <= 5 * clusters.COMPACT_AFTER_ENTRIES
