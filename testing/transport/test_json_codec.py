"""Messages between boxes: what is no message is refused, whatever it holds."""

from __future__ import annotations

import tracemalloc

import orjson
import pytest

from croftpulley import codes, errors
from croftpulley.core import configuration_transfer, control_announcements, origins
from croftpulley.core.replication import messages
from croftpulley.transport import box_messages, json_codec, replica_codec

KINDS = (
    box_messages.BoxReport,
    box_messages.BoxReportAnswer,
    box_messages.LeaderAnswer,
    box_messages.OriginAnnouncements,
    box_messages.OriginAnswer,
    box_messages.OriginQuery,
    box_messages.SuspectReport,
    box_messages.TrialRequest,
    box_messages.TrialRequestAnswer,
    configuration_transfer.ConfigurationPart,
    configuration_transfer.ConfigurationRequest,
    control_announcements.ControlAnnouncement,
    messages.JoinReply,
    replica_codec.REPLY,
    replica_codec.REQUEST,
)
VALUES = (None, True, 1, 1.5, "a", [], {}, [1], ["a"], [[]], [{}], {"a": 1}, {"kind": 1})


def documents(kind):
    """Yield bodies that hold no message of a kind, or hardly one."""
    yield from VALUES
    members = getattr(kind, "__args__", (kind,))
    for member in members:
        names = [field.name for field in member.__attrs_attrs__]
        tag = {"kind": member.__name__} if len(members) > 1 else {}
        for value in VALUES:
            yield tag | dict.fromkeys(names, value)
            for name in names:
                yield tag | {name: value}


@pytest.mark.parametrize("kind", KINDS, ids=str)
def test_what_is_no_message_is_refused_as_a_bad_request(kind):
    failures = []
    for document in documents(kind):
        try:
            json_codec.decode(orjson.dumps(document), kind)
        except errors.CroftpulleyError as failure:
            failures.append(failure)
    assert {failure.code for failure in failures} == {codes.ResultCode.BAD_REQUEST}
    assert max(len(failure.detail) for failure in failures) < 2000


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b"[" * 5000], ids=str)
def test_what_is_no_json_is_refused_as_a_bad_request(body):
    with pytest.raises(errors.CroftpulleyError) as caught:
        json_codec.decode(body, box_messages.BoxReport)
    assert caught.value.code is codes.ResultCode.BAD_REQUEST


# An error was kept for each element: 150 kB took 300 MB.
@pytest.mark.parametrize(
    ("kind", "begin"),
    [
        (box_messages.OriginAnnouncements, b'{"streams": ['),
        (replica_codec.REQUEST, b'{"kind": "AppendRequest", "entries": ['),
    ],
    ids=["streams", "entries"],
)
def test_a_list_of_what_is_no_message_costs_little_more_than_its_text(kind, begin):
    body = begin + b"{}," * 20_000 + b"{}]}"
    tracemalloc.start()
    try:
        with pytest.raises(errors.CroftpulleyError):
            json_codec.decode(body, kind)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes <= 40 * len(body)


def test_a_refusal_names_what_is_wrong():
    with pytest.raises(errors.CroftpulleyError, match=r"OriginQuery.*stream"):
        json_codec.decode(b"{}", box_messages.OriginQuery)


def test_a_message_is_read_as_it_was_written():
    query = box_messages.OriginQuery(stream=origins.StreamId(workspace="clinic", request_id="r"))
    assert json_codec.decode(json_codec.encode(query), box_messages.OriginQuery) == query
