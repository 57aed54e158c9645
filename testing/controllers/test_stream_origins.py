"""When a stream may begin before other boxes know it, and when streams are announced."""

from __future__ import annotations

import attrs
import pytest

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, stream_origins
from croftpulley.core import membership, origins
from croftpulley.observe import metrics

ENDPOINT = membership.Endpoint(
    "e", membership.EndpointKind.ENGINE, "llm", "127.0.0.1:1", "hall-a", "e", version="v2"
)
NOBODY_LISTENS = tuple(
    membership.Box(name, "hall-a", "", "127.0.0.1:1") for name in ("box-0", "box-1", "box-2")
)
ANNOUNCEMENT = origins.OriginAnnouncement(
    origins.StreamId("clinic", "r-1"), origins.Origin("llm", "v2"), 60.0
)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def view(clock):
    state = router_state.RouterState(
        boxes=NOBODY_LISTENS, settled={}, heard_at_s=clock.monotonic_s()
    )
    return actors.View(state)


@pytest.fixture
def known(view, clock):
    made = stream_origins.StreamOrigins("box-0", view, metrics.Metrics(), clock)
    made.update_listed([ENDPOINT])
    return made


def test_a_stream_of_a_new_version_is_refused_if_no_other_box_takes_the_announcement(known):
    with pytest.raises(errors.CroftpulleyError) as caught:
        known.remember_begun(ANNOUNCEMENT, always_announced=False)
    assert caught.value.code is codes.ResultCode.ORIGIN_UNTOLD


def test_a_stream_of_a_new_version_begins_if_there_is_no_other_box(known, view):
    view.publish(attrs.evolve(view.get(), boxes=NOBODY_LISTENS[:1]))
    known.remember_begun(ANNOUNCEMENT, always_announced=False)
    assert known.remembered(ANNOUNCEMENT.stream) is not None


def test_a_stream_of_a_version_that_all_boxes_know_waits_for_no_box(known, view, clock):
    clock.advance(stream_origins.NEW_VERSION_S)
    view.publish(attrs.evolve(view.get(), heard_at_s=clock.monotonic_s()))
    known.remember_begun(ANNOUNCEMENT, always_announced=False)
    assert [each.stream for each in known.take_unannounced(frozenset())] == [ANNOUNCEMENT.stream]


def test_a_stream_of_a_settled_pool_is_announced_once_its_pool_is_mixed(known, view):
    view.publish(attrs.evolve(view.get(), settled={"llm": "v2"}))
    known.remember_begun(ANNOUNCEMENT, always_announced=False)
    assert known.take_unannounced(frozenset()) == []
    view.publish(attrs.evolve(view.get(), settled={}))
    assert [each.stream for each in known.take_unannounced(frozenset())] == [ANNOUNCEMENT.stream]


def test_streams_of_split_pools_are_always_announced(known, view):
    view.publish(attrs.evolve(view.get(), settled={"llm": "v2"}))
    known.remember_begun(ANNOUNCEMENT, always_announced=True)
    assert [each.stream for each in known.take_unannounced(frozenset({"llm"}))] == [
        ANNOUNCEMENT.stream
    ]


@pytest.mark.parametrize(("age_s", "is_settled"), [(1.9, True), (2.1, False)])
def test_a_pool_counts_as_settled_only_while_the_leaders_answer_is_recent(
    view, clock, age_s, is_settled
):
    state = attrs.evolve(view.get(), settled={"llm": "v2"})
    clock.advance(age_s)
    assert (state.settled_version("llm", clock.monotonic_s()) == "v2") is is_settled


def test_no_pool_counts_as_settled_while_the_leader_cannot_tell(view, clock):
    state = attrs.evolve(view.get(), settled=None)
    assert state.settled_version("llm", clock.monotonic_s()) is None


def test_a_stream_of_another_version_than_the_settled_one_is_announced(known, view):
    view.publish(attrs.evolve(view.get(), settled={"llm": "v1"}))
    with pytest.raises(errors.CroftpulleyError) as caught:
        known.remember_begun(ANNOUNCEMENT, always_announced=False)
    assert caught.value.code is codes.ResultCode.ORIGIN_UNTOLD
