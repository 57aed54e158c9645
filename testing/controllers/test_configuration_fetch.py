"""Downloading a configuration in parts: the choice of control boxes, and failures."""

from __future__ import annotations

import logging
import random
import threading

import attrs
import pykka
import pytest

from croftpulley import clock as clocks
from croftpulley.controllers import agreement, configuration_fetch, configuration_parts
from croftpulley.core import configuration_transfer, replicated_state, submissions
from croftpulley.transport import box_messages, json_codec, links

VERSION = 7
TEXT = random.Random(1).randbytes(50_000).hex()
"""Four parts when compressed."""
FOLLOWERS = ("b:1", "c:1", "d:1")
LEADER = "a:1"


class AppliedLog(agreement.CommandLog):
    """A command log with one configuration applied."""

    def __init__(self, version, text=TEXT):
        self.state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
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
class FakeLinks:
    """Replaces the links: control boxes by address, some of which are unreachable."""

    logs: dict[str, AppliedLog]
    unreachable: set[str] = attrs.field(factory=set)
    requested_from: list[str] = attrs.field(factory=list)
    address: str = ""
    servers: dict[str, configuration_parts.ConfigurationParts] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.servers = {
            address: configuration_parts.ConfigurationParts(log)
            for address, log in self.logs.items()
        }

    def to(self, address):
        self.address = address
        return self

    def post(self, path, body):
        assert path == box_messages.CONFIGURATION_PARTS_PATH
        self.requested_from.append(self.address)
        if self.address in self.unreachable:
            raise links.unreachable_error(self.address, "connection lost")
        request = json_codec.decode(body, configuration_transfer.ConfigurationRequest)
        return json_codec.encode(self.servers[self.address].answer(request))


@pytest.fixture
def boxes():
    return FakeLinks({each: AppliedLog(VERSION) for each in (LEADER, *FOLLOWERS)})


def make_fetch(boxes, seed=1):
    made = configuration_fetch.ConfigurationFetch(boxes, clocks.ManualClock(), random.Random(seed))
    made.set_target_version(VERSION)
    made.begin_round((LEADER, *FOLLOWERS), LEADER)
    return made


def run_round(fetch):
    """Step until the configuration is complete or no box is left in this round."""
    while fetch.may_step:
        fetched = fetch.step()
        if fetched is not None:
            return fetched
    return None


def test_whole_configuration_is_fetched_from_a_single_follower(boxes):
    fetched = run_round(make_fetch(boxes))
    assert (fetched.version, fetched.document) == (VERSION, TEXT)
    assert fetched.size_bytes == len(configuration_transfer.pack(TEXT))
    assert (
        len(boxes.requested_from)
        == -(-fetched.size_bytes // configuration_transfer.PART_SIZE_BYTES)
        == 4
    )
    assert len(set(boxes.requested_from)) == 1
    assert LEADER not in boxes.requested_from


def test_after_a_failure_another_box_sends_the_remaining_parts(boxes):
    fetch = make_fetch(boxes)
    fetch.step()
    boxes.unreachable.add(boxes.requested_from[0])
    assert run_round(fetch).document == TEXT
    # One request more than there are parts: no part was sent twice.
    assert len(boxes.requested_from) == 5
    assert len(set(boxes.requested_from)) == 2


def test_leader_is_asked_after_all_followers_lack_the_version(boxes):
    for each in FOLLOWERS:
        boxes.servers[each] = configuration_parts.ConfigurationParts(
            AppliedLog(VERSION - 1, "older")
        )
    fetch = make_fetch(boxes)
    for _ in range(4):
        assert fetch.step() is None
    assert boxes.requested_from[3:] == [LEADER]
    assert set(boxes.requested_from[:3]) == set(FOLLOWERS)


def test_followers_are_asked_again_after_a_part_from_the_leader(boxes):
    outdated = configuration_parts.ConfigurationParts(AppliedLog(VERSION - 1, "older"))
    up_to_date = dict(boxes.servers)
    boxes.servers.update(dict.fromkeys(FOLLOWERS, outdated))
    fetch = make_fetch(boxes)
    for _ in range(4):
        fetch.step()
    boxes.servers.update(up_to_date)
    assert run_round(fetch).document == TEXT
    assert boxes.requested_from.count(LEADER) == 1


def test_leader_sends_one_part_per_round_while_followers_lag(boxes):
    outdated = configuration_parts.ConfigurationParts(AppliedLog(VERSION - 1, "older"))
    boxes.servers.update(dict.fromkeys(FOLLOWERS, outdated))
    fetch = make_fetch(boxes)
    for sent in range(1, 4):
        assert run_round(fetch) is None
        assert boxes.requested_from.count(LEADER) == sent
        fetch.begin_round((LEADER, *FOLLOWERS), LEADER)
    assert run_round(fetch).document == TEXT


def test_leader_sends_all_parts_in_one_round_if_no_follower_answers(boxes):
    boxes.unreachable.update(FOLLOWERS)
    assert run_round(make_fetch(boxes)).document == TEXT
    assert boxes.requested_from.count(LEADER) == 4


def test_received_parts_are_kept_while_no_box_answers(boxes, caplog):
    fetch = make_fetch(boxes)
    fetch.step()
    boxes.unreachable.update((LEADER, *FOLLOWERS))
    with caplog.at_level(logging.WARNING):
        assert run_round(fetch) is None
    assert fetch.is_incomplete
    assert len(caplog.records) == 1, "one log line for consecutive failures"
    asked = len(boxes.requested_from)
    assert asked == 5, "each box is asked once per round"
    boxes.unreachable.clear()
    fetch.begin_round((LEADER, *FOLLOWERS), LEADER)
    assert run_round(fetch).document == TEXT
    assert len(boxes.requested_from) - asked == 3


def test_newer_version_replaces_an_unfinished_one(boxes):
    fetch = make_fetch(boxes)
    fetch.step()
    for log in boxes.logs.values():
        log.submit(VERSION + 1, "newer" + TEXT)
    fetched = run_round(fetch)
    assert (fetched.version, fetched.document) == (VERSION + 1, "newer" + TEXT)
    fetch.set_target_version(VERSION + 1)
    assert not fetch.is_incomplete


def test_invalid_part_is_rejected_and_its_sender_not_asked_again(boxes, monkeypatch):
    fetch = make_fetch(boxes)
    first = fetch._sources[0]
    monkeypatch.setattr(
        boxes.servers[first],
        "answer",
        lambda _request: configuration_transfer.ConfigurationPart(version=VERSION),
    )
    assert run_round(fetch).document == TEXT
    assert boxes.requested_from.count(first) == 1


def test_concurrent_requests_compress_a_version_once(monkeypatch):
    packs = []
    pack = configuration_transfer.pack
    monkeypatch.setattr(configuration_transfer, "pack", lambda text: packs.append(1) or pack(text))
    server = configuration_parts.ConfigurationParts(AppliedLog(VERSION))
    answers = []

    def ask():
        request = configuration_transfer.ConfigurationRequest(version=VERSION, offset=0)
        answers.append(server.answer(request))

    threads = [threading.Thread(target=ask) for _ in range(16)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    assert len(answers) == 16
    assert len(set(answers)) == 1
    assert len(packs) == 1
