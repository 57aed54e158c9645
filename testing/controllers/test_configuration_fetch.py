"""Fetching a configuration in parts: which control box is asked, and what a failure costs."""

from __future__ import annotations

import logging
import random
import threading

import attrs
import pykka
import pytest

from croftpulley import clock as clocks
from croftpulley.controllers import agreement, configuration_fetch, configuration_parts
from croftpulley.core import agreed, parts, submissions
from croftpulley.transport import box_messages, json_codec, links, packing

VERSION = 7
TEXT = random.Random(1).randbytes(50_000).hex()
"""Four parts as packed."""
FOLLOWERS = ("b:1", "c:1", "d:1")
LEADER = "a:1"


class Log(agreement.Agreement):
    """A log in which one document is applied."""

    def __init__(self, version, text=TEXT):
        self.state = agreed.AgreedState(submissions=submissions.HighestNumber())
        self.submit(version, text)

    def submit(self, version, text):
        self.state.submissions.submit(submissions.Submission("operator", version, text))

    def propose(self, command):
        result = pykka.ThreadingFuture()
        result.set(self.state.apply(command))
        return result

    def read(self):
        return self.state


@attrs.define
class Boxes:
    """Control boxes by address, in place of links; a failed one answers nothing."""

    logs: dict[str, Log]
    failed: set[str] = attrs.field(factory=set)
    asked: list[str] = attrs.field(factory=list)
    address: str = ""
    serve: dict[str, configuration_parts.ConfigurationParts] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.serve = {
            address: configuration_parts.ConfigurationParts(log)
            for address, log in self.logs.items()
        }

    def to(self, address):
        self.address = address
        return self

    def post(self, path, body):
        assert path == box_messages.CONFIGURATION_PARTS_PATH
        self.asked.append(self.address)
        if self.address in self.failed:
            raise links.unreachable(self.address, "broken off")
        request = json_codec.decode(body, parts.ConfigurationRequest)
        return json_codec.encode(self.serve[self.address].answer(request))


@pytest.fixture
def boxes():
    return Boxes({each: Log(VERSION) for each in (LEADER, *FOLLOWERS)})


def make_fetch(boxes, seed=1):
    made = configuration_fetch.ConfigurationFetch(boxes, clocks.ManualClock(), random.Random(seed))
    made.aim(VERSION)
    made.begin_round((LEADER, *FOLLOWERS), LEADER)
    return made


def run(fetch):
    """Step until there is nothing to ask for, or nobody."""
    while fetch.may_step:
        fetched = fetch.step()
        if fetched is not None:
            return fetched
    return None


def test_one_box_that_does_not_lead_serves_it_whole(boxes):
    fetched = run(make_fetch(boxes))
    assert (fetched.version, fetched.document) == (VERSION, TEXT)
    assert fetched.size_bytes == len(packing.pack(TEXT))
    assert len(boxes.asked) == -(-fetched.size_bytes // parts.PART_SIZE_BYTES) == 4
    assert len(set(boxes.asked)) == 1
    assert LEADER not in boxes.asked


def test_after_a_failure_another_box_sends_the_rest(boxes):
    fetch = make_fetch(boxes)
    fetch.step()
    boxes.failed.add(boxes.asked[0])
    assert run(fetch).document == TEXT
    # One request more than there are parts: nothing came twice.
    assert len(boxes.asked) == 5
    assert len(set(boxes.asked)) == 2


def test_the_leader_is_asked_once_no_other_holds_the_version(boxes):
    for each in FOLLOWERS:
        boxes.serve[each] = configuration_parts.ConfigurationParts(Log(VERSION - 1, "older"))
    fetch = make_fetch(boxes)
    for _ in range(4):
        assert fetch.step() is None
    assert boxes.asked[3:] == [LEADER]
    assert set(boxes.asked[:3]) == set(FOLLOWERS)


def test_the_others_are_asked_again_after_a_part_from_the_leader(boxes):
    lacking = configuration_parts.ConfigurationParts(Log(VERSION - 1, "older"))
    serving = dict(boxes.serve)
    boxes.serve.update(dict.fromkeys(FOLLOWERS, lacking))
    fetch = make_fetch(boxes)
    for _ in range(4):
        fetch.step()
    boxes.serve.update(serving)
    assert run(fetch).document == TEXT
    assert boxes.asked.count(LEADER) == 1


def test_the_leader_sends_one_part_a_round_while_the_others_lag(boxes):
    lacking = configuration_parts.ConfigurationParts(Log(VERSION - 1, "older"))
    boxes.serve.update(dict.fromkeys(FOLLOWERS, lacking))
    fetch = make_fetch(boxes)
    for sent in range(1, 4):
        assert run(fetch) is None
        assert boxes.asked.count(LEADER) == sent
        fetch.begin_round((LEADER, *FOLLOWERS), LEADER)
    assert run(fetch).document == TEXT


def test_the_leader_sends_it_all_at_once_where_no_other_answers(boxes):
    boxes.failed.update(FOLLOWERS)
    assert run(make_fetch(boxes)).document == TEXT
    assert boxes.asked.count(LEADER) == 4


def test_what_was_had_is_kept_until_a_box_answers_again(boxes, caplog):
    fetch = make_fetch(boxes)
    fetch.step()
    boxes.failed.update((LEADER, *FOLLOWERS))
    with caplog.at_level(logging.WARNING):
        assert run(fetch) is None
    assert fetch.is_incomplete
    assert len(caplog.records) == 1, "one line for a row of failures"
    asked = len(boxes.asked)
    assert asked == 5, "each is asked once a round"
    boxes.failed.clear()
    fetch.begin_round((LEADER, *FOLLOWERS), LEADER)
    assert run(fetch).document == TEXT
    assert len(boxes.asked) - asked == 3


def test_a_newer_version_on_the_way_is_fetched_in_place_of_the_older(boxes):
    fetch = make_fetch(boxes)
    fetch.step()
    for log in boxes.logs.values():
        log.submit(VERSION + 1, "newer" + TEXT)
    fetched = run(fetch)
    assert (fetched.version, fetched.document) == (VERSION + 1, "newer" + TEXT)
    fetch.aim(VERSION + 1)
    assert not fetch.is_incomplete


def test_an_answer_that_is_no_part_is_not_taken(boxes, monkeypatch):
    fetch = make_fetch(boxes)
    first = fetch._sources[0]
    monkeypatch.setattr(
        boxes.serve[first], "answer", lambda _request: parts.ConfigurationPart(version=VERSION)
    )
    assert run(fetch).document == TEXT
    assert boxes.asked.count(first) == 1


def test_a_version_is_packed_once_whoever_asks(monkeypatch):
    packs = []
    pack = packing.pack
    monkeypatch.setattr(packing, "pack", lambda text: packs.append(1) or pack(text))
    served = configuration_parts.ConfigurationParts(Log(VERSION))
    answers = []

    def ask():
        request = parts.ConfigurationRequest(version=VERSION, offset=0)
        answers.append(served.answer(request))

    threads = [threading.Thread(target=ask) for _ in range(16)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    assert len(answers) == 16
    assert len(set(answers)) == 1
    assert len(packs) == 1
