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
