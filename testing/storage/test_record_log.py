from __future__ import annotations

import collections
import contextlib
import errno
import itertools
import json
import pathlib
import random
import sys
import tempfile
import zlib

import hypothesis
import orjson
import pytest
from hypothesis import strategies as st

from croftpulley import codes, errors
from croftpulley.controllers import agreement
from croftpulley.core import claims, membership, replicated_state, submissions
from croftpulley.storage import commands, files, record_log

ONE = b'{"n":"one"}'
TWO = b'{"n":"two"}'
THREE = b'{"n":"three"}'


@pytest.fixture
def path(tmp_path):
    return tmp_path / "commands.log"


def write(path, *payloads):
    log, _ = record_log.open_log(path)
    log.append(list(payloads))
    log.close()


def read(path):
    log, replay = record_log.open_log(path)
    log.close()
    return replay


def test_what_was_appended_is_read_back(path):
    write(path, ONE, TWO)
    write(path, THREE)
    assert read(path).payloads == (ONE, TWO, THREE)


# What a process wrote and did not sync was taken for durable by the next one, and acknowledged.
def test_what_is_read_back_is_synced_before_it_counts(path):
    happened = []

    class WatchedFile(files.DiskFile):
        def sync(self):
            happened.append("synced")
            super().sync()

    write(path, ONE)
    log, replay = record_log.open_log(path, WatchedFile)
    log.close()
    assert replay.payloads == (ONE,)
    assert happened == ["synced"]


def test_a_log_that_cannot_be_synced_is_not_opened(path):
    class FailingFile(files.DiskFile):
        def sync(self):
            raise OSError(errno.EIO, "input/output error")

    write(path, ONE)
    with pytest.raises(OSError, match="input/output error"):
        record_log.open_log(path, FailingFile)


def test_an_incomplete_last_record_of_any_length_is_truncated(path):
    write(path, ONE, TWO)
    content = path.read_bytes()
    first_record_bytes = len(content) // 2
    for size in range(first_record_bytes, len(content)):
        path.write_bytes(content[:size])
        replay = read(path)
        assert replay.payloads == (ONE,)
        assert replay.cut_bytes == size - first_record_bytes
        assert path.stat().st_size == first_record_bytes


@pytest.mark.parametrize("offset", [0, 5, 9])
def test_corruption_before_the_end_is_refused_with_file_and_offset(path, offset):
    """A corrupt length (0), checksum (5) or payload (9) of the first of two records."""
    write(path, ONE, TWO)
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(errors.CroftpulleyError) as caught:
        record_log.open_log(path)
    assert caught.value.code is codes.ResultCode.LOG_CORRUPT
    assert "commands.log" in caught.value.detail
    assert "offset 0" in caught.value.detail


def test_corruption_in_every_record_does_not_count_as_an_incomplete_end(path):
    write(path, ONE, TWO)
    data = bytearray(path.read_bytes())
    data[9] ^= 0x40
    data[-1] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(errors.CroftpulleyError, match="offset 0"):
        record_log.open_log(path)


def test_corruption_is_detected_by_a_valid_record_of_any_size_after_it(path):
    """The corrupt length points past the end; only the large record shows that it isn't the end."""
    large = orjson.dumps({"n": "x" * (17 * 1024 * 1024)})
    write(path, ONE, large)
    assert read(path).payloads == (ONE, large)
    data = bytearray(path.read_bytes())
    data[3] = 0x7F
    path.write_bytes(data)
    with pytest.raises(errors.CroftpulleyError, match="offset 0"):
        record_log.open_log(path)


def test_a_payload_that_is_not_a_json_object_is_refused_before_anything_is_written(path):
    log, _ = record_log.open_log(path)
    with pytest.raises(ValueError, match="JSON object"):
        log.append([ONE, b"[1]"])
    log.append([TWO])
    log.close()
    assert read(path).payloads == (TWO,)


TEXTS = st.text(max_size=40)
PAYLOADS = st.lists(st.dictionaries(TEXTS, TEXTS, max_size=3).map(orjson.dumps), min_size=2)
SINGLE_RECORD_APPENDS = st.booleans()


def write_records(folder, payloads):
    """Write a new log file; return its path and the offset at which each record ends."""
    path = pathlib.Path(tempfile.mkdtemp(dir=folder)) / "commands.log"
    write(path, *payloads)
    return path, list(itertools.accumulate(record_log.size_bytes(each) for each in payloads))


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("properties")


@hypothesis.given(PAYLOADS, SINGLE_RECORD_APPENDS, st.data())
def test_a_last_record_cut_at_any_byte_is_truncated(folder, payloads, single_record_appends, data):
    path, ends = write_records(folder, payloads)
    size_bytes = data.draw(st.integers(ends[-2], ends[-1] - 1))
    path.write_bytes(path.read_bytes()[:size_bytes])
    log, replay = record_log.open_log(path, single_record_appends=single_record_appends)
    log.close()
    assert replay.payloads == tuple(payloads[:-1])
    assert path.stat().st_size == ends[-2]


@hypothesis.given(PAYLOADS, st.data())
def test_a_last_record_with_any_range_overwritten_is_truncated(folder, payloads, data):
    path, ends = write_records(folder, payloads)
    content = path.read_bytes()
    first = data.draw(st.integers(ends[-2], ends[-1] - 1))
    last = data.draw(st.integers(first + 1, ends[-1]))
    replacement = data.draw(st.sampled_from([bytes(last - first), b"\xff" * (last - first)]))
    hypothesis.assume(content[first:last] != replacement)
    path.write_bytes(content[:first] + replacement + content[last:])
    log, replay = record_log.open_log(path, single_record_appends=True)
    log.close()
    assert replay.payloads == tuple(payloads[:-1])


@hypothesis.given(PAYLOADS, SINGLE_RECORD_APPENDS, st.integers(1, 255), st.data())
def test_any_flipped_byte_before_a_valid_record_is_refused(
    folder, payloads, single_record_appends, flip, data
):
    path, ends = write_records(folder, payloads)
    content = bytearray(path.read_bytes())
    content[data.draw(st.integers(0, ends[-2] - 1))] ^= flip
    path.write_bytes(content)
    with pytest.raises(errors.CroftpulleyError) as caught:
        record_log.open_log(path, single_record_appends=single_record_appends)
    assert caught.value.code is codes.ResultCode.LOG_CORRUPT
    assert path.read_bytes() == content


@contextlib.contextmanager
def counted_calls():
    """Count function calls, including those of C functions, and the bytes given to CRC-32."""
    counts = collections.Counter()

    def crc32(data, value=0):
        counts["checked_bytes"] += len(data)
        return zlib_crc32(data, value)

    def count(_frame, event, _argument):
        counts["calls"] += event in ("call", "c_call")

    zlib_crc32 = zlib.crc32
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(zlib, "crc32", crc32)
        sys.setprofile(count)
        try:
            yield counts
        finally:
            sys.setprofile(None)


def json_record(size_bytes):
    return orjson.dumps({"payload": json.dumps({"document": 'a "text" {} ' * (size_bytes // 12)})})


TORN_BYTES = 512 * 1024


@pytest.mark.parametrize(
    "torn",
    [
        (TORN_BYTES * 2).to_bytes(4, "little") + b"sums" + json_record(TORN_BYTES),
        bytes(TORN_BYTES),
        bytes(TORN_BYTES // 2) + json_record(TORN_BYTES // 2),
        random.Random(1).randbytes(TORN_BYTES),
    ],
    ids=["text", "hole", "hole-then-text", "noise"],
)
def test_a_large_incomplete_record_is_truncated_without_work_for_each_byte(path, torn):
    write(path, ONE)
    path.write_bytes(path.read_bytes() + torn)
    with counted_calls() as counts:
        log, replay = record_log.open_log(path, single_record_appends=True)
    log.close()
    assert replay.payloads == (ONE,)
    assert counts["calls"] < 1000
    assert counts["checked_bytes"] < TORN_BYTES


class FullDisk(files.DiskFile):
    """A disk that writes only half of the data and fails while ``full`` is set."""

    full = False

    def append(self, data):
        if FullDisk.full:
            super().append(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left on device")
        super().append(data)


def test_a_command_that_fails_on_a_full_disk_has_no_effect(tmp_path, monkeypatch):
    monkeypatch.setattr(FullDisk, "full", False)
    log = agreement.SingleNodeLog(tmp_path, FullDisk)
    log.propose(replicated_state.GrantOwnership("e", "a")).get()
    FullDisk.full = True
    with pytest.raises(OSError, match="no space"):
        log.propose(replicated_state.GrantOwnership("e", "b")).get()
    FullDisk.full = False
    # The disk's content is unknown now, so the log must refuse further writes.
    with pytest.raises(OSError, match="failed before"):
        log.propose(replicated_state.GrantOwnership("e", "c")).get()
    assert log.read().owners["e"].box == "a"
    log.stop()
    reopened = agreement.SingleNodeLog(tmp_path)
    assert reopened.read().owners["e"] == membership.Ownership("e", "a", 1)
    reopened.stop()


def test_a_command_completes_only_after_the_sync(tmp_path):
    class Watched(files.DiskFile):
        synced_after_last_append = False

        def append(self, data):
            Watched.synced_after_last_append = False
            super().append(data)

        def sync(self):
            super().sync()
            Watched.synced_after_last_append = True

    log = agreement.SingleNodeLog(tmp_path, Watched)
    for number in range(20):
        log.propose(replicated_state.GrantOwnership(f"e-{number}", "a")).get()
        assert Watched.synced_after_last_append
    log.stop()


@pytest.mark.parametrize(
    "command",
    [
        replicated_state.SubmitConfiguration(
            submissions.Submission("aigerim", 1, '{"models": []}')
        ),
        replicated_state.RegisterBox(membership.Box("a", "h", "127.0.0.1:1", "127.0.0.1:2", True)),
        replicated_state.ForgetBox("a"),
        replicated_state.GrantOwnership("e", "a"),
        replicated_state.ClaimCall("clinic", "k", "digest", "c-1", 12.5),
        replicated_state.RecordOutcome(
            "clinic", "k", claims.Outcome(codes.RunState.RAN, 200, "x/y", b"\xff\x00")
        ),
        replicated_state.DropClaims(1.5),
    ],
)
def test_every_command_survives_encoding(command):
    assert commands.decode(commands.encode(command)) == command


def test_a_record_of_no_known_command_is_refused():
    with pytest.raises(ValueError, match="no known command"):
        commands.decode(b'{"command": "Nonsense"}')
