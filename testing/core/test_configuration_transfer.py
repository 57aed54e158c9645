"""Downloading configurations in parts: which data is kept, and that the text is complete."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley import codes, errors
from croftpulley.core import configuration_transfer

SIZE_BYTES = 2 * configuration_transfer.PART_SIZE_BYTES + 100
"""Three parts, the last one shorter."""


def packed(version, size_bytes=SIZE_BYTES):
    return configuration_transfer.PackedConfiguration.from_text(
        version, random.Random(version).randbytes(size_bytes)
    )


def download_all(download, text):
    """Request parts from one control box until none is missing, and return the complete text."""
    while (request := download.request()) is not None:
        whole = download.add_part(text.part_for(request))
        if whole is not None:
            return whole
    return None


def download_with_parts(text, part_count=1):
    """Return a download of ``text`` that has received ``part_count`` parts."""
    download = configuration_transfer.ConfigurationDownload()
    download.set_target(text.version)
    for _ in range(part_count):
        assert download.add_part(text.part_for(download.request())) is None
    return download


def assert_rejected(download, part):
    with pytest.raises(errors.CroftpulleyError) as raised:
        download.add_part(part)
    assert raised.value.code is codes.ResultCode.BAD_REQUEST


@pytest.mark.parametrize("size_bytes", [1, configuration_transfer.PART_SIZE_BYTES, SIZE_BYTES])
def test_all_parts_in_order_give_the_text(size_bytes):
    text = packed(3, size_bytes)
    download = download_with_parts(text, 0)
    assert download_all(download, text) == text.text
    assert download.request() is None


def test_nothing_is_requested_before_a_version_is_known_or_after_it_is_complete():
    download = configuration_transfer.ConfigurationDownload()
    assert download.request() is None
    download.set_target(0)
    assert download.request() is None
    download.set_target(3)
    download_all(download, packed(3))
    download.set_target(3)
    download.set_target(2)
    assert download.request() is None
    assert (
        download.add_part(
            packed(3).part_for(configuration_transfer.ConfigurationRequest(version=3, offset=0))
        )
        is None
    )


def test_received_data_is_kept_when_a_part_fails():
    text = packed(3)
    download = download_with_parts(text, 2)
    wanted = configuration_transfer.ConfigurationRequest(
        version=3, offset=2 * configuration_transfer.PART_SIZE_BYTES
    )
    assert download.request() == wanted
    assert download.add_part(packed(2).part_for(wanted)) is None
    assert download.request() == wanted


def test_a_repeated_part_changes_nothing():
    text = packed(3)
    download = download_with_parts(text, 2)
    wanted = download.request()
    assert download.add_part(text.part_for(attrs.evolve(wanted, offset=0))) is None
    assert download.request() == wanted
    assert download_all(download, text) == text.text


def test_a_newer_version_starts_over_and_an_older_one_changes_nothing():
    download = download_with_parts(packed(3), 2)
    download.set_target(2)
    assert download.request().offset == 2 * configuration_transfer.PART_SIZE_BYTES
    newer = packed(4)
    assert download.add_part(newer.part_for(download.request())) is None
    wanted = configuration_transfer.ConfigurationRequest(
        version=4, offset=configuration_transfer.PART_SIZE_BYTES
    )
    assert download.request() == wanted
    assert download_all(download, newer) == newer.text


def test_a_box_without_the_version_answers_with_its_own_and_no_data():
    request = configuration_transfer.ConfigurationRequest(version=4, offset=0)
    assert packed(3).part_for(request) == configuration_transfer.ConfigurationPart(version=3)


@pytest.mark.parametrize("offset", [-1, SIZE_BYTES, 1 << 40])
def test_a_request_with_an_offset_outside_the_text_is_rejected(offset):
    with pytest.raises(errors.CroftpulleyError, match="offset"):
        packed(3).part_for(configuration_transfer.ConfigurationRequest(version=3, offset=offset))


@pytest.mark.parametrize(
    "damage",
    [
        {"data": b""},
        {"data": bytes(configuration_transfer.PART_SIZE_BYTES + 1)},
        {"size_bytes": 0},
        {"size_bytes": configuration_transfer.MAX_TEXT_SIZE_BYTES + 1},
        {"offset": -1},
        {"offset": SIZE_BYTES},
        {"checksum": 1},
        {"size_bytes": SIZE_BYTES + 1},
    ],
)
def test_a_damaged_part_is_rejected_and_received_data_is_kept(damage):
    text = packed(3)
    download = download_with_parts(text)
    wanted = download.request()
    assert_rejected(download, attrs.evolve(text.part_for(wanted), **damage))
    assert download.request() == wanted
    assert download_all(download, text) == text.text


def test_received_data_is_discarded_after_two_mismatching_parts_in_a_row():
    text = packed(3)
    wrong = configuration_transfer.PackedConfiguration.from_text(3, packed(3).text[::-1])
    download = download_with_parts(wrong)
    assert_rejected(download, text.part_for(download.request()))
    assert download.request().offset > 0
    assert_rejected(download, text.part_for(download.request()))
    assert download.request().offset == 0
    assert download_all(download, text) == text.text


def test_parts_with_a_wrong_total_checksum_are_rejected_and_requested_again():
    text = packed(3)
    download = download_with_parts(text, 2)
    last = text.part_for(download.request())
    assert_rejected(download, attrs.evolve(last, data=bytes(len(last.data))))
    assert download.request() == configuration_transfer.ConfigurationRequest(version=3, offset=0)
    assert download_all(download, text) == text.text


TEXTS = {version: packed(version) for version in range(1, 5)}
DAMAGE = st.sampled_from(
    [
        lambda part: attrs.evolve(part, data=part.data[:-1]),
        lambda part: attrs.evolve(part, data=part.data[::-1]),
        lambda part: attrs.evolve(part, offset=part.offset + 1),
        lambda part: attrs.evolve(part, checksum=part.checksum ^ 1),
        lambda part: attrs.evolve(part, size_bytes=part.size_bytes + 1),
    ]
)
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("aim"), st.sampled_from(sorted(TEXTS))),
        st.tuples(st.just("answer"), st.sampled_from(sorted(TEXTS))),
        st.tuples(st.just("fail"), st.none()),
        st.tuples(st.just("again"), st.integers(0, 30)),
        st.tuples(st.just("damaged"), DAMAGE),
    ),
    max_size=30,
)


@given(EVENTS)
def test_any_order_of_failures_versions_and_repeats_ends_in_the_text_of_the_newest_version(events):
    download = configuration_transfer.ConfigurationDownload()
    download.set_target(1)
    sent = []
    completed = []
    for kind, value in events:
        request = download.request()
        newest = max([download.version, *(whole[0] for whole in completed)])
        assert download.version == newest, "a version is never followed by an older one"
        if kind == "aim":
            download.set_target(value)
        elif kind == "again" and sent:
            part = sent[value % len(sent)]
            add_part(download, part, completed)
        elif kind == "answer" and request is not None:
            sent.append(TEXTS[value].part_for(request))
            add_part(download, sent[-1], completed)
        elif kind == "damaged" and request is not None:
            part = TEXTS[download.version].part_for(request)
            add_part(download, value(part), completed)
    whole = finish_download(download)
    if whole is not None:
        completed.append((download.version, whole))
    assert completed[-1][0] == download.version
    assert all(text == TEXTS[version].text for version, text in completed)
    versions = [version for version, _ in completed]
    assert versions == sorted(set(versions)), "each version comes once, and only newer ones"


def add_part(download, part, completed):
    try:
        whole = download.add_part(part)
    except errors.CroftpulleyError:
        return
    if whole is not None:
        completed.append((download.version, whole))


def finish_download(download):
    """Request parts of the current version until the text is complete.

    12 requests are enough for its parts and for those that are rejected before.
    """
    for _ in range(12):
        request = download.request()
        if request is None:
            return None
        completed = []
        add_part(download, TEXTS[download.version].part_for(request), completed)
        if completed:
            return completed[0][1]
    pytest.fail("the download never completes")


@given(
    st.sets(st.sampled_from("abcdefgh"), min_size=1), st.sampled_from("abcdefgh "), st.integers()
)
def test_every_control_box_is_tried_once_and_the_leader_last(addresses, leader, seed):
    leader = leader.strip()
    order = configuration_transfer.fetch_order(tuple(addresses), leader, random.Random(seed))
    assert sorted(order) == sorted(addresses | ({leader} - {""}))
    assert not leader or order[-1] == leader


def test_routers_spread_over_the_control_boxes_other_than_the_leader():
    addresses = tuple("abcdefgh")
    first = [
        configuration_transfer.fetch_order(addresses, "a", random.Random(seed))[0]
        for seed in range(790)
    ]
    assert set(first) == set(addresses) - {"a"}
    # 790 routers over seven boxes: 113 each on average.
    assert max(first.count(each) for each in addresses) < 170
