from __future__ import annotations

import errno

import pytest

from croftpulley.core.replication import messages
from croftpulley.storage import files, replica_store

MEMBERS = messages.Members((messages.Member("a", "127.0.0.1:1"),))
FRESH = messages.Stored(snapshot=messages.Snapshot(members=MEMBERS))


def entry(payload, term=1):
    return messages.Entry(term, messages.EntryKind.COMMAND, payload)


@pytest.fixture
def store(tmp_path):
    made = replica_store.ReplicaStore(tmp_path)
    made.load(FRESH)
    yield made
    made.close()


def loaded(folder):
    again = replica_store.ReplicaStore(folder)
    stored = again.load(messages.Stored())
    again.close()
    return stored


def test_an_empty_folder_holds_what_it_is_given(store, tmp_path):
    assert loaded(tmp_path) == FRESH


def test_writes_are_read_back_and_replace_what_they_overlap(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"), entry("y"))))
    store.write(messages.Write(2, "", 2, (entry("z", 2),)))
    stored = loaded(tmp_path)
    assert (stored.term, stored.voted_for) == (2, "")
    assert stored.entries == (entry("x"), entry("z", 2))


def test_a_new_generation_replaces_the_old_one(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    kept = messages.Stored(3, "b", messages.Snapshot(1, 1, MEMBERS, "state"), (entry("y", 3),))
    store.rewrite(kept)
    store.write(messages.Write(3, "b", 3, (entry("z", 3),)))
    assert loaded(tmp_path).entries == (entry("y", 3), entry("z", 3))
    assert [path.name for path in tmp_path.glob("log-*")] == ["log-00000002"]


def state_of(size_bytes):
    return messages.Stored(1, "a", messages.Snapshot(1, 1, MEMBERS, "x" * size_bytes))


def test_what_was_added_counts_from_the_beginning_of_the_generation(store):
    assert store.added_bytes == 0
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    assert 0 < store.added_bytes < store.size_bytes
    store.rewrite(state_of(1000))
    assert store.added_bytes == 0


def test_what_was_added_is_known_when_a_generation_is_loaded(store, tmp_path):
    store.rewrite(state_of(1000))
    store.write(messages.Write(1, "a", 2, (entry("x"),)))
    again = replica_store.ReplicaStore(tmp_path)
    again.load(messages.Stored())
    assert again.added_bytes == store.added_bytes > 0
    assert again.size_bytes == store.size_bytes
    again.close()


@pytest.mark.parametrize(
    ("base_bytes", "added_bytes", "outgrown"),
    [
        (100, 1500, False),  # less than the least
        (100, 2500, True),
        (4000, 2500, False),  # less than the base
        (4000, 4500, True),
        (12_000_000, 8_000_000, False),
        (
            12_000_000,
            9_000_000,
            True,
        ),  # less than the base, but more than a small disk has room for
    ],
)
def test_a_generation_is_outgrown_by_as_much_as_it_began_with_within_bounds(
    store, tmp_path, base_bytes, added_bytes, outgrown
):
    store.rewrite(state_of(base_bytes))
    store.write(messages.Write(1, "a", 2, (entry("x" * added_bytes),)))
    assert store.has_outgrown(least_bytes=2000) is outgrown
    again = replica_store.ReplicaStore(tmp_path)
    again.load(messages.Stored())
    assert again.has_outgrown(least_bytes=2000) is outgrown
    again.close()


def test_an_old_generation_that_came_back_does_not_count(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    old = (tmp_path / "log-00000001").read_bytes()
    store.rewrite(messages.Stored(term=9))
    (tmp_path / "log-00000001").write_bytes(old)
    assert loaded(tmp_path).term == 9


def test_a_write_torn_with_a_hole_at_its_beginning_is_cut(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    path = tmp_path / "log-00000001"
    whole = path.read_bytes()
    path.write_bytes(whole + bytes(40) + b"the rest of a record whose beginning was lost")
    assert loaded(tmp_path).entries == (entry("x"),)
    assert path.read_bytes() == whole


def test_a_full_disk_loses_nothing_and_takes_writes_after_it_is_loaded_anew(tmp_path):
    class FullDisk(files.DiskFile):
        full = False

        def append(self, data):
            if FullDisk.full:
                super().append(data[: len(data) // 2])
                raise OSError(errno.ENOSPC, "no space left on device")
            super().append(data)

    store = replica_store.ReplicaStore(tmp_path, FullDisk)
    store.load(FRESH)
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    FullDisk.full = True
    with pytest.raises(OSError, match="no space"):
        store.write(messages.Write(1, "a", 2, (entry("y"),)))
    with pytest.raises(OSError, match="failed before"):
        store.write(messages.Write(1, "a", 2, (entry("y"),)))
    FullDisk.full = False
    assert store.load(messages.Stored()).entries == (entry("x"),)
    store.write(messages.Write(1, "a", 2, (entry("z"),)))
    store.close()
    assert loaded(tmp_path).entries == (entry("x"), entry("z"))


def test_an_identity_is_kept(tmp_path):
    assert replica_store.read_identity(tmp_path) == ""
    replica_store.write_identity(tmp_path, "replica-1")
    assert replica_store.read_identity(tmp_path) == "replica-1"
