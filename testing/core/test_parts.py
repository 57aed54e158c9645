"""Configurations in parts: what is kept, and that one whole text comes of any parts."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley import codes, errors
from croftpulley.core import parts

SIZE_BYTES = 2 * parts.PART_SIZE_BYTES + 100
"""Three parts, the last of them short."""


def packed(version, size_bytes=SIZE_BYTES):
    return parts.Packed.of(version, random.Random(version).randbytes(size_bytes))


def gather(gathering, text):
    """Ask one control box until nothing is missing, and return what came of it."""
    while (request := gathering.request()) is not None:
        whole = gathering.take(text.part(request))
        if whole is not None:
            return whole
    return None


def gathering_of(text, taken=1):
    """Return a gathering that took so many parts."""
    made = parts.Gathering()
    made.aim(text.version)
    for _ in range(taken):
        assert made.take(text.part(made.request())) is None
    return made


def refused(gathering, part):
    with pytest.raises(errors.CroftpulleyError) as raised:
        gathering.take(part)
    assert raised.value.code is codes.ResultCode.BAD_REQUEST


@pytest.mark.parametrize("size_bytes", [1, parts.PART_SIZE_BYTES, SIZE_BYTES])
def test_all_parts_in_their_order_are_the_text(size_bytes):
    text = packed(3, size_bytes)
    gathering = gathering_of(text, 0)
    assert gather(gathering, text) == text.text
    assert gathering.request() is None


def test_nothing_is_asked_for_before_a_version_is_known_or_after_it_is_whole():
    gathering = parts.Gathering()
    assert gathering.request() is None
    gathering.aim(0)
    assert gathering.request() is None
    gathering.aim(3)
    gather(gathering, packed(3))
    gathering.aim(3)
    gathering.aim(2)
    assert gathering.request() is None
    assert gathering.take(packed(3).part(parts.ConfigurationRequest(version=3, offset=0))) is None


def test_what_was_received_is_kept_when_a_part_fails():
    text = packed(3)
    gathering = gathering_of(text, 2)
    wanted = parts.ConfigurationRequest(version=3, offset=2 * parts.PART_SIZE_BYTES)
    assert gathering.request() == wanted
    assert gathering.take(packed(2).part(wanted)) is None
    assert gathering.request() == wanted


def test_a_part_that_comes_again_changes_nothing():
    text = packed(3)
    gathering = gathering_of(text, 2)
    wanted = gathering.request()
    assert gathering.take(text.part(attrs.evolve(wanted, offset=0))) is None
    assert gathering.request() == wanted
    assert gather(gathering, text) == text.text


def test_a_newer_version_begins_anew_and_an_older_one_changes_nothing():
    gathering = gathering_of(packed(3), 2)
    gathering.aim(2)
    assert gathering.request().offset == 2 * parts.PART_SIZE_BYTES
    newer = packed(4)
    assert gathering.take(newer.part(gathering.request())) is None
    wanted = parts.ConfigurationRequest(version=4, offset=parts.PART_SIZE_BYTES)
    assert gathering.request() == wanted
    assert gather(gathering, newer) == newer.text


def test_a_box_that_lacks_the_version_says_so():
    request = parts.ConfigurationRequest(version=4, offset=0)
    assert packed(3).part(request) == parts.ConfigurationPart(version=3)


@pytest.mark.parametrize("offset", [-1, SIZE_BYTES, 1 << 40])
def test_a_request_for_what_there_is_not_is_refused(offset):
    with pytest.raises(errors.CroftpulleyError, match="offset"):
        packed(3).part(parts.ConfigurationRequest(version=3, offset=offset))


@pytest.mark.parametrize(
    "damage",
    [
        {"data": b""},
        {"data": bytes(parts.PART_SIZE_BYTES + 1)},
        {"size_bytes": 0},
        {"size_bytes": parts.LONGEST_BYTES + 1},
        {"offset": -1},
        {"offset": SIZE_BYTES},
        {"checksum": 1},
        {"size_bytes": SIZE_BYTES + 1},
    ],
)
def test_a_damaged_part_is_refused_and_what_is_held_stays(damage):
    text = packed(3)
    gathering = gathering_of(text)
    wanted = gathering.request()
    refused(gathering, attrs.evolve(text.part(wanted), **damage))
    assert gathering.request() == wanted
    assert gather(gathering, text) == text.text


def test_what_is_held_goes_once_two_parts_in_a_row_contradict_it():
    text = packed(3)
    wrong = parts.Packed.of(3, packed(3).text[::-1])
    gathering = gathering_of(wrong)
    refused(gathering, text.part(gathering.request()))
    assert gathering.request().offset > 0
    refused(gathering, text.part(gathering.request()))
    assert gathering.request().offset == 0
    assert gather(gathering, text) == text.text


def test_parts_that_make_no_whole_are_refused_and_asked_for_again():
    text = packed(3)
    gathering = gathering_of(text, 2)
    last = text.part(gathering.request())
    refused(gathering, attrs.evolve(last, data=bytes(len(last.data))))
    assert gathering.request() == parts.ConfigurationRequest(version=3, offset=0)
    assert gather(gathering, text) == text.text


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
def test_any_order_of_failures_versions_and_repeats_ends_in_the_text_of_one_version(happened):
    gathering = parts.Gathering()
    gathering.aim(1)
    sent = []
    wholes = []
    for kind, value in happened:
        request = gathering.request()
        newest = max([gathering.version, *(whole[0] for whole in wholes)])
        assert gathering.version == newest, "a version is never followed by an older one"
        if kind == "aim":
            gathering.aim(value)
        elif kind == "again" and sent:
            part = sent[value % len(sent)]
            take(gathering, part, wholes)
        elif kind == "answer" and request is not None:
            sent.append(TEXTS[value].part(request))
            take(gathering, sent[-1], wholes)
        elif kind == "damaged" and request is not None:
            part = TEXTS[gathering.version].part(request)
            take(gathering, value(part), wholes)
    whole = gather_from_all(gathering)
    if whole is not None:
        wholes.append((gathering.version, whole))
    assert wholes[-1][0] == gathering.version
    assert all(text == TEXTS[version].text for version, text in wholes)
    versions = [version for version, _ in wholes]
    assert versions == sorted(set(versions)), "each version comes once, and only newer ones"


def take(gathering, part, wholes):
    try:
        whole = gathering.take(part)
    except errors.CroftpulleyError:
        return
    if whole is not None:
        wholes.append((gathering.version, whole))


def gather_from_all(gathering):
    """Ask a box that holds the version, for as often as the parts and what is refused allow."""
    for _ in range(12):
        request = gathering.request()
        if request is None:
            return None
        wholes = []
        take(gathering, TEXTS[gathering.version].part(request), wholes)
        if wholes:
            return wholes[0][1]
    pytest.fail("it never becomes whole")


@given(
    st.sets(st.sampled_from("abcdefgh"), min_size=1), st.sampled_from("abcdefgh "), st.integers()
)
def test_every_box_is_asked_once_and_the_leader_last(addresses, leader, seed):
    leader = leader.strip()
    order = parts.sources(tuple(addresses), leader, random.Random(seed))
    assert sorted(order) == sorted(addresses | ({leader} - {""}))
    assert not leader or order[-1] == leader


def test_routers_spread_over_the_boxes_that_do_not_lead():
    addresses = tuple("abcdefgh")
    first = [parts.sources(addresses, "a", random.Random(seed))[0] for seed in range(790)]
    assert set(first) == set(addresses) - {"a"}
    # 790 routers over seven boxes are 113 each in the mean.
    assert max(first.count(each) for each in addresses) < 170
