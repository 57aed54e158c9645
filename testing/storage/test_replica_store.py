from __future__ import annotations

import errno

import pytest

from croftpulley.core.replication import messages
from croftpulley.storage import files, replica_store

MEMBERS = messages.Members((messages.Member("a", "127.0.0.1:1"),))
INITIAL = messages.Stored(snapshot=messages.Snapshot(members=MEMBERS))


def entry(payload, term=1):
    return messages.Entry(term, messages.EntryKind.COMMAND, payload)


@pytest.fixture
def store(tmp_path):
    opened = replica_store.ReplicaStore(tmp_path)
    opened.load(INITIAL)
    yield opened
    opened.close()


def load_store(folder):
    reloaded = replica_store.ReplicaStore(folder)
    stored = reloaded.load(messages.Stored())
    reloaded.close()
    return stored


def test_an_empty_folder_is_initialized_with_the_given_state(store, tmp_path):
    assert load_store(tmp_path) == INITIAL


def test_writes_are_read_back_and_replace_overlapping_entries(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"), entry("y"))))
    store.write(messages.Write(2, "", 2, (entry("z", 2),)))
    stored = load_store(tmp_path)
    assert (stored.term, stored.voted_for) == (2, "")
    assert stored.entries == (entry("x"), entry("z", 2))


def test_a_new_generation_replaces_the_old_one(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    new_state = messages.Stored(3, "b", messages.Snapshot(1, 1, MEMBERS, "state"), (entry("y", 3),))
    store.rewrite(new_state)
    store.write(messages.Write(3, "b", 3, (entry("z", 3),)))
    assert load_store(tmp_path).entries == (entry("y", 3), entry("z", 3))
    assert [path.name for path in tmp_path.glob("log-*")] == ["log-00000002"]


def state_of_size(size_bytes):
    return messages.Stored(1, "a", messages.Snapshot(1, 1, MEMBERS, "x" * size_bytes))


def test_added_bytes_excludes_the_first_record_of_a_generation(store):
    assert store.added_bytes == 0
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    assert 0 < store.added_bytes < store.size_bytes
    store.rewrite(state_of_size(1000))
    assert store.added_bytes == 0


def test_added_bytes_is_restored_when_a_generation_is_loaded(store, tmp_path):
    store.rewrite(state_of_size(1000))
    store.write(messages.Write(1, "a", 2, (entry("x"),)))
    reloaded = replica_store.ReplicaStore(tmp_path)
    reloaded.load(messages.Stored())
    assert reloaded.added_bytes == store.added_bytes > 0
    assert reloaded.size_bytes == store.size_bytes
    reloaded.close()


@pytest.mark.parametrize(
    ("base_bytes", "added_bytes", "rewrite_due"),
    [
        (100, 1500, False),  # less than the minimum
        (100, 2500, True),
        (4000, 2500, False),  # less than the first record
        (4000, 4500, True),
        (12_000_000, 8_000_000, False),
        (
            12_000_000,
            9_000_000,
            True,
        ),  # less than the first record, but more than a small disk has room for
    ],
)
def test_a_rewrite_is_due_once_as_much_was_added_as_the_first_record_within_bounds(
    store, tmp_path, base_bytes, added_bytes, rewrite_due
):
    store.rewrite(state_of_size(base_bytes))
    store.write(messages.Write(1, "a", 2, (entry("x" * added_bytes),)))
    assert store.needs_rewrite(min_bytes=2000) is rewrite_due
    reloaded = replica_store.ReplicaStore(tmp_path)
    reloaded.load(messages.Stored())
    assert reloaded.needs_rewrite(min_bytes=2000) is rewrite_due
    reloaded.close()


def test_an_old_generation_that_reappears_is_ignored(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    old = (tmp_path / "log-00000001").read_bytes()
    store.rewrite(messages.Stored(term=9))
    (tmp_path / "log-00000001").write_bytes(old)
    assert load_store(tmp_path).term == 9


def test_an_incomplete_write_with_a_hole_at_its_start_is_truncated(store, tmp_path):
    store.write(messages.Write(1, "a", 1, (entry("x"),)))
    path = tmp_path / "log-00000001"
    content = path.read_bytes()
    path.write_bytes(content + bytes(40) + b"the rest of a record whose beginning was lost")
    assert load_store(tmp_path).entries == (entry("x"),)
    assert path.read_bytes() == content


def test_a_full_disk_loses_no_entry_and_accepts_writes_after_a_reload(tmp_path):
    class FullDisk(files.DiskFile):
        full = False

        def append(self, data):
            if FullDisk.full:
                super().append(data[: len(data) // 2])
                raise OSError(errno.ENOSPC, "no space left on device")
            super().append(data)

    store = replica_store.ReplicaStore(tmp_path, FullDisk)
    store.load(INITIAL)
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
    assert load_store(tmp_path).entries == (entry("x"), entry("z"))


def test_the_replica_id_is_stored(tmp_path):
    assert replica_store.read_identity(tmp_path) == ""
    replica_store.write_identity(tmp_path, "replica-1")
    assert replica_store.read_identity(tmp_path) == "replica-1"
