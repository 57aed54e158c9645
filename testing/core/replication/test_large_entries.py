"""Entries and snapshots that are large for the links between control boxes.

Guards against a fault in which one log entry held a whole configuration. The leader sent it to
seven replicas at once over one link: 878 kB a copy, 6.1 MB in all, which takes 0.5 s at 12.5 MB/s,
while the request timeout is 0.4 s (484 kB a copy, 0.27 s, had worked). Each request timed out
and was sent again from its start, and heartbeats waited behind it. So the followers elected another
leader, which did the same: term 1 ended 0.7 s after the entry was sent, 73 s later it was term 52,
and the leader changed every 1.4 s. Which requests got through was a matter of timing.

A change that added 1,400 routes got no definite answer, a configuration couldn't be read back, and
after a power loss of all boxes no request was served for longer than a recovery may take.
"""

from __future__ import annotations

import random

import pytest

from core.replication import cluster as clusters
from croftpulley.core.replication import command_chunks, messages, progress, replica, state
from croftpulley.transport import json_codec

SEEDS = range(3)
ADDRESSES = tuple(f"{name}:1" for name in "abcdefg")
LINK_BYTES_PER_S = 12.5e6
SLOW_LINK_BYTES_PER_S = 1.25e6
SETTLE_S = 3.0


def large_text(size_bytes, seed=1):
    """Return a text that hardly compresses."""
    return random.Random(seed).randbytes(size_bytes // 2).hex()


def is_only_leader(leader, cluster):
    return [each.address for each in cluster.leaders()] == [leader.address]


def settled_cluster(seed, link_bytes_per_s=LINK_BYTES_PER_S):
    cluster = clusters.Cluster(
        seed,
        delay_s=0.002,
        tick_s=0.01,
        addresses=ADDRESSES,
        link_bytes_per_s=link_bytes_per_s,
    )
    cluster.run(SETTLE_S)
    return cluster


def test_an_entry_too_large_for_one_request_is_committed():
    for seed in SEEDS:
        cluster = settled_cluster(seed)
        (leader,) = cluster.leaders()
        assert cluster.propose(large_text(1_500_000))
        cluster.run(3.0)
        assert len(cluster.acknowledged) == 1, f"seed {seed}"
        assert is_only_leader(leader, cluster), "the leader changed while it sent a large text"


@pytest.mark.parametrize("seed", SEEDS)
def test_a_new_leader_commits_after_its_predecessor_fails_during_a_large_entry(seed):
    cluster = settled_cluster(seed)
    (leader,) = cluster.leaders()
    assert cluster.propose(large_text(1_500_000))
    cluster.run(0.3)
    cluster.crash(leader.address)
    cluster.run(3.0)
    assert len(cluster.leaders()) == 1
    cluster.propose("after")
    cluster.run(1.0)
    assert "after" in cluster.acknowledged


def test_a_replica_with_an_empty_disk_receives_a_state_too_large_for_one_request():
    for seed in SEEDS:
        cluster = settled_cluster(seed, SLOW_LINK_BYTES_PER_S)
        for number in range(9):
            cluster.propose(large_text(80_000, number))
            cluster.run(1.0)
        (leader,) = cluster.leaders()
        assert leader.running.log.snapshot.index > 0
        victim = next(each for each in ADDRESSES if each != leader.address)
        cluster.crash(victim)
        cluster.run(0.5)
        cluster.restart(victim, disk_lost=True)
        cluster.run(6.0)
        assert is_only_leader(leader, cluster), "the leader changed while it sent a large text"
        assert cluster.machines[victim].applied == leader.applied, f"seed {seed}"


def test_the_leader_keeps_its_lease_while_it_sends_a_large_entry():
    cluster = settled_cluster(1)
    (leader,) = cluster.leaders()
    cluster.propose(large_text(1_500_000))
    for _ in range(100):
        cluster.step()
        lease_until_s = leader.running.leader_lease_until_s(cluster.now_s)
        assert lease_until_s > cluster.now_s, "the lease ended although a quorum follows"
    assert leader.running.role is state.Role.LEADER
    assert len(cluster.acknowledged) == 1


def test_an_incomplete_command_is_dropped_when_a_new_term_starts():
    assembler = command_chunks.CommandAssembler()
    kind = messages.EntryKind.COMMAND
    assert assembler.add(messages.Entry(1, kind, "lost", continues=True)) is None
    start = messages.Entry(2, messages.EntryKind.START)
    assert assembler.add(start) is start
    assert assembler.is_whole
    after = messages.Entry(2, kind, "after")
    assert assembler.add(after) == after


def test_applied_index_excludes_an_incomplete_command():
    cluster = settled_cluster(1)
    (leader,) = cluster.leaders()
    cluster.propose(large_text(200_000))
    while leader.running.commit_index < 3:
        cluster.step()
    assert leader.running.commit_index < leader.running.log.last_index
    assert leader.running.applied_index == 1, "expected the first entry of the term"


@pytest.mark.parametrize("seed", SEEDS)
def test_snapshot_chunks_of_two_leaders_are_never_combined(seed):
    rng = random.Random(seed)
    texts = {term: large_text(5 * command_chunks.CHUNK_LENGTH, term) for term in (4, 5)}
    incoming = command_chunks.IncomingSnapshot()
    completed = []
    for _ in range(300):
        term = rng.choice((4, 5)) if rng.random() < 0.1 else incoming.term or 4
        offset = 0 if term != incoming.term else incoming.received
        if rng.random() < 0.1:
            offset = rng.randrange(5) * command_chunks.CHUNK_LENGTH
        text = texts[term][offset : offset + command_chunks.CHUNK_LENGTH]
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
        snapshot = incoming.add(request)
        if snapshot is not None:
            completed.append(snapshot.state)
            incoming.clear()
    assert completed
    assert set(completed) <= set(texts.values())


def test_requests_stay_short_while_a_large_entry_is_replicated():
    cluster = settled_cluster(1)
    cluster.propose(large_text(1_500_000))
    sizes_bytes = []
    for _ in range(200):
        cluster.step()
        sizes_bytes += [len(json_codec.encode(each.body)) for each in cluster.network]
    assert 1.5 * command_chunks.CHUNK_LENGTH > max(sizes_bytes) > command_chunks.CHUNK_LENGTH


def follower_with_partial_command():
    """Return a replica that has committed only the first of several chunks of a command."""
    members = messages.Members(tuple(messages.Member(name, "") for name in "abc"))
    stored = messages.Stored(snapshot=messages.Snapshot(members=members))
    node = replica.Replica("b", stored, state.Timing(), random.Random(1), 0.0)
    entries = (
        messages.Entry(1, messages.EntryKind.START),
        messages.Entry(1, messages.EntryKind.COMMAND, "x", continues=True),
    )
    node.handle_request(append_request(0, 0, entries), 1.0)
    node.take_committed()
    return node


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


def test_a_snapshot_taken_within_a_command_ends_before_it():
    node = follower_with_partial_command()
    assert node.commit_index == 2
    assert node.snapshot("S").index == 1
    assert [each.payload for each in node.log.entries] == ["x"]


def test_installing_a_snapshot_drops_an_incomplete_command():
    node = follower_with_partial_command()
    request = messages.SnapshotRequest(
        to="b",
        term=1,
        leader="a",
        index=5,
        snapshot_term=1,
        members=node.members,
        offset=0,
        length=1,
        text="S",
    )
    node.handle_request(request, 1.1)
    assert node.take_installed().index == 5
    entry = messages.Entry(1, messages.EntryKind.COMMAND, "y")
    node.handle_request(append_request(5, 1, (entry,)), 1.2)
    assert [(index, each.payload) for index, each in node.take_committed()] == [(6, "y")]


def test_a_late_reply_about_an_older_snapshot_is_ignored():
    peer = progress.Progress(next_index=1, tracked_since_s=0.0)
    peer.current_snapshot(messages.Snapshot(index=50, term=1, state="sssss"))
    peer.record_snapshot_reply(messages.SnapshotReply(replica="b", term=1, index=20, received=9))
    assert peer.match_index == 0
    assert peer.outgoing_snapshot.offset == 0


def test_a_replica_catches_up_even_if_compactions_come_faster_than_a_snapshot_transfer():
    cluster = clusters.Cluster(1, delay_s=0.02, tick_s=0.01)
    cluster.run(SETTLE_S)
    # 13 chunks, each a round trip of 0.02 to 0.06 s; a compaction every 8 commits, 0.4 s.
    cluster.propose(large_text(400_000))
    cluster.run(3.0)
    (leader,) = cluster.leaders()
    victim = next(each for each in clusters.ADDRESSES if each != leader.address)
    cluster.restart(victim, disk_lost=True)
    for number in range(200):
        cluster.propose(f"command-{number}")
        cluster.run(0.05)
    assert cluster.machines[victim].running.is_voter
    assert len(leader.running.log.entries) <= 5 * clusters.COMPACT_AFTER_ENTRIES
