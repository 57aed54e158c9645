from __future__ import annotations

import json

import pytest

from croftpulley.core import agreed, submissions
from croftpulley.storage import commands, packed_text, record_log, state_codec


def configuration(routes):
    made = [
        {"name": f"route-{n:06}", "prefix": f"/path-{n:06}/", "kind": "x"} for n in range(routes)
    ]
    return json.dumps({"routes": made})


@pytest.fixture
def submitted():
    document = configuration(3000) + "é"
    return agreed.SubmitConfiguration(submissions.Submission("aigerim", 7, document))


def test_a_long_command_is_written_short_and_read_back(submitted):
    record = commands.encode(submitted)
    assert commands.decode(record) == submitted
    assert len(record) < len(submitted.submission.document_json) / 4
    # A message holds it with hardly a character that JSON would escape.
    assert len(json.dumps(record.decode())) < len(record) + 10


def test_a_long_state_is_written_short_and_read_back(submitted):
    state = agreed.AgreedState(submissions=submissions.HighestNumber())
    state.apply(submitted)
    text = state_codec.encode(state)
    again = agreed.AgreedState()
    state_codec.restore(text, again)
    assert again == state
    assert len(text) < len(submitted.submission.document_json) / 4


def test_a_long_command_of_a_disk_written_before_is_read(submitted):
    before = packed_text.unpack(commands.encode(submitted).decode())
    assert before.startswith("{")
    assert commands.decode(before.encode()) == submitted


@pytest.mark.parametrize("damage", ["!", "=", "AAAA"])
def test_a_damaged_text_is_refused(damage):
    packed = packed_text.pack(configuration(300))
    with pytest.raises(ValueError, match="cannot be unpacked"):
        packed_text.unpack(packed[: len(packed_text.PREFIX)] + damage + packed[60:])


def test_a_long_command_is_kept_by_a_log_of_records(submitted, tmp_path):
    path = tmp_path / "commands.log"
    log, _ = record_log.open_log(path)
    log.append([commands.encode(submitted)])
    log.close()
    again, replay = record_log.open_log(path)
    again.close()
    assert [commands.decode(each) for each in replay.payloads] == [submitted]
