from __future__ import annotations

import errno

import pytest

from croftpulley import codes, errors
from croftpulley.controllers import agreement
from croftpulley.core import agreed, claims, membership, submissions
from croftpulley.storage import commands, files, record_log


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
    write(path, b"one", b"two")
    write(path, b"three")
    assert read(path).payloads == (b"one", b"two", b"three")


def test_a_torn_end_is_cut_at_every_length(path):
    write(path, b"one", b"two")
    whole = path.read_bytes()
    first = len(whole) // 2
    for size in range(first, len(whole)):
        path.write_bytes(whole[:size])
        replay = read(path)
        assert replay.payloads == (b"one",)
        assert replay.cut_bytes == size - first
        assert path.stat().st_size == first


@pytest.mark.parametrize("offset", [0, 5, 9])
def test_damage_before_the_end_is_refused_with_file_and_offset(path, offset):
    """A damaged length (0), checksum (5) or payload (9) of the first of two records."""
    write(path, b"one", b"two")
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(errors.CroftpulleyError) as caught:
        record_log.open_log(path)
    assert caught.value.code is codes.ResultCode.LOG_CORRUPT
    assert "commands.log" in caught.value.detail
    assert "offset 0" in caught.value.detail


def test_damage_in_every_record_is_no_torn_end(path):
    write(path, b"one", b"two")
    data = bytearray(path.read_bytes())
    data[9] ^= 0x40
    data[-1] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(errors.CroftpulleyError, match="offset 0"):
        record_log.open_log(path)


class FullDisk(files.DiskFile):
    """A disk that takes no more once told so."""

    full = False

    def append(self, data):
        if FullDisk.full:
            super().append(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left on device")
        super().append(data)


def test_a_full_disk_fails_the_command_and_nothing_of_it_counts(tmp_path, monkeypatch):
    monkeypatch.setattr(FullDisk, "full", False)
    log = agreement.SingleLog(tmp_path, FullDisk)
    log.propose(agreed.GrantOwnership("e", "a")).get()
    FullDisk.full = True
    with pytest.raises(OSError, match="no space"):
        log.propose(agreed.GrantOwnership("e", "b")).get()
    FullDisk.full = False
    # What the disk holds is not known now, so the log must not go on.
    with pytest.raises(OSError, match="failed before"):
        log.propose(agreed.GrantOwnership("e", "c")).get()
    assert log.read().owners["e"].box == "a"
    log.stop()
    again = agreement.SingleLog(tmp_path)
    assert again.read().owners["e"] == membership.Ownership("e", "a", 1)
    again.stop()


def test_a_result_is_given_only_after_the_sync(tmp_path):
    class Watched(files.DiskFile):
        synced_after_last_append = False

        def append(self, data):
            Watched.synced_after_last_append = False
            super().append(data)

        def sync(self):
            super().sync()
            Watched.synced_after_last_append = True

    log = agreement.SingleLog(tmp_path, Watched)
    for number in range(20):
        log.propose(agreed.GrantOwnership(f"e-{number}", "a")).get()
        assert Watched.synced_after_last_append
    log.stop()


@pytest.mark.parametrize(
    "command",
    [
        agreed.SubmitConfiguration(submissions.Submission("aigerim", 1, '{"models": []}')),
        agreed.RegisterBox(membership.Box("a", "h", "127.0.0.1:1", "127.0.0.1:2", True)),
        agreed.ForgetBox("a"),
        agreed.GrantOwnership("e", "a"),
        agreed.ClaimCall("clinic", "k", "digest", "c-1", 12.5),
        agreed.RecordOutcome(
            "clinic", "k", claims.Outcome(codes.RunState.RAN, 200, "x/y", b"\xff\x00")
        ),
        agreed.DropClaims(1.5),
    ],
)
def test_every_command_survives_encoding(command):
    assert commands.decode(commands.encode(command)) == command


def test_a_record_of_no_known_command_is_refused():
    with pytest.raises(ValueError, match="no known command"):
        commands.decode(b'{"command": "Nonsense"}')
