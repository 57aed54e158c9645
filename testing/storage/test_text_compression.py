from __future__ import annotations

import json

import pytest

from croftpulley.core import replicated_state, submissions
from croftpulley.storage import commands, record_log, state_codec, text_compression


def configuration(routes):
    entries = [
        {"name": f"route-{n:06}", "prefix": f"/path-{n:06}/", "kind": "x"} for n in range(routes)
    ]
    return json.dumps({"routes": entries})


@pytest.fixture
def submitted():
    document = configuration(3000) + "é"
    return replicated_state.SubmitConfiguration(submissions.Submission("aigerim", 7, document))


def test_a_long_command_is_compressed_and_read_back(submitted):
    record = commands.encode(submitted)
    assert commands.decode(record) == submitted
    assert len(record) < len(submitted.submission.document_json) / 4
    # Within a JSON message, hardly a character of it needs an escape.
    assert len(json.dumps(record.decode())) < len(record) + 10


def test_a_long_state_is_compressed_and_read_back(submitted):
    state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
    state.apply(submitted)
    text = state_codec.encode(state)
    restored = replicated_state.ReplicatedState()
    state_codec.restore(text, restored)
    assert restored == state
    assert len(text) < len(submitted.submission.document_json) / 4


def test_a_long_command_stored_uncompressed_by_an_older_version_is_read(submitted):
    uncompressed = text_compression.unpack(commands.encode(submitted).decode())
    assert uncompressed.startswith("{")
    assert commands.decode(uncompressed.encode()) == submitted


@pytest.mark.parametrize("damage", ["!", "=", "AAAA"])
def test_a_corrupt_text_is_refused(damage):
    packed = text_compression.pack(configuration(300))
    with pytest.raises(ValueError, match="cannot be unpacked"):
        text_compression.unpack(packed[: len(text_compression.PREFIX)] + damage + packed[60:])


def test_a_compressed_command_is_a_valid_payload_of_a_record_log(submitted, tmp_path):
    path = tmp_path / "commands.log"
    log, _ = record_log.open_log(path)
    log.append([commands.encode(submitted)])
    log.close()
    reopened, replay = record_log.open_log(path)
    reopened.close()
    assert [commands.decode(each) for each in replay.payloads] == [submitted]
