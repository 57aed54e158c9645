from __future__ import annotations

import pytest

from croftpulley import clock as clocks
from croftpulley.controllers import router_state, traffic
from croftpulley.core import calls, membership, retry_budget, selection, sessions


@pytest.fixture
def made():
    return traffic.Traffic(retry_budget.Allowance(), selection.Rates(), clocks.ManualClock())


def asks(*shared):
    """Return a request whose prompt begins with ``shared`` parts."""
    parts = (*shared, "own")
    return calls.CallFacts(request_id="r", prompt=tuple(calls.PromptPart(p, 10) for p in parts))


def test_an_endpoint_without_anything_to_read_leaves_no_entry(made):
    # Endpoints have a new name with every start, and every renewal carries the entries.
    made.enter("worker-1")
    made.begin_reading(calls.CallFacts(request_id="r"), "worker-1", 0)
    made.leave("worker-1")
    assert made.load() == sessions.Load()


def test_notes_that_reached_nobody_go_out_with_the_next_report(made):
    made.begin_reading(asks("p"), "e", 0)
    taken = made.take_notes()
    made.begin_reading(asks("q"), "e", 0)
    made.give_back_notes(taken)
    assert made.take_notes() == {"e": ("p", "q")}
    assert made.take_notes() == {}


def test_all_that_is_remembered_of_an_endpoint_ends_with_its_life(made):
    before, after = life(1), life(2)
    made.keep([before])
    made.enter(before.key)
    made.begin_reading(asks("p"), before.key, 500)
    made.failed(before.key)
    made.keep([after])
    # What was on its way comes late.
    made.leave(before.key)
    made.end_reading(before.key, 500)
    made.failed(before.key)
    made.learn_notes({before.key: ("p",)})
    assert made.load() == sessions.Load()
    assert made.take_notes() == {}
    assert made.take_outcomes() == {}
    assert made.held_tokens(asks("p")) == {}
    assert made.candidates([after], router_state.RouterState(), {})[0].avoid_until_s == float(
        "-inf"
    )


def life(born_ms):
    kind = membership.EndpointKind.ENGINE
    return membership.Endpoint("e", kind, "llm", "127.0.0.1:1", "hall-a", "e", born_ms=born_ms)
