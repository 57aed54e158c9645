from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley import clock as clocks
from croftpulley.controllers import router_state, traffic
from croftpulley.core import (
    calls,
    listed_counts,
    membership,
    records,
    retry_budget,
    selection,
    window,
    withdrawal,
)


@pytest.fixture
def made():
    return traffic.Traffic(retry_budget.Allowance(), selection.CostRates(), clocks.ManualClock())


def asks(*shared):
    """Return a request whose prompt begins with ``shared`` parts."""
    parts = (*shared, "own")
    return calls.CallFacts(request_id="r", prompt=tuple(calls.PromptPart(p, 10) for p in parts))


def test_an_endpoint_without_anything_to_read_leaves_no_entry(made):
    # Endpoints have a new name with every start, and every renewal carries the entries.
    made.enter("worker-1")
    made.begin_reading(calls.CallFacts(request_id="r"), "worker-1", 0)
    made.leave("worker-1")
    assert made.load() == listed_counts.EndpointLoads()


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
    assert made.load() == listed_counts.EndpointLoads()
    assert made.take_notes() == {}
    assert made.take_outcomes() == {}
    assert made.held_tokens(asks("p")) == {}
    assert made.candidates({after.key: after}, router_state.RouterState(), {})[
        0
    ].avoid_until_s == float("-inf")


def life(born_ms):
    kind = membership.EndpointKind.ENGINE
    return membership.Endpoint("e", kind, "llm", "127.0.0.1:1", "hall-a", "e", born_ms=born_ms)


KEYS = ("e-0", "e-1", "e-2", "e-3")
COUNTS = st.dictionaries(st.sampled_from(KEYS), st.integers(0, 9))


@given(
    COUNTS,
    COUNTS,
    COUNTS,
    COUNTS,
    st.frozensets(st.sampled_from(KEYS)),
    COUNTS,
    st.lists(st.tuples(st.sampled_from(KEYS), st.sampled_from(("enter", "leave", "failed")))),
)
def test_candidates_are_what_they_would_be_if_each_were_made_anew(
    loads, own_loads, reading, own_reading, held_off, held, events
):
    """Most candidates are kept from one request to the next."""
    clock = clocks.ManualClock()
    rates = selection.CostRates(prefill_tokens_per_ms=0.002)
    made = traffic.Traffic(retry_budget.Allowance(), rates, clock)
    members = {
        key: membership.Endpoint(key, membership.EndpointKind.ENGINE, "llm", "a:1", "h", key)
        for key in KEYS
    }
    state = router_state.RouterState(
        loads=loads,
        own_loads=own_loads,
        reading_tokens=reading,
        own_reading_tokens=own_reading,
        loads_at_s=clock.monotonic_s(),
        held_off=held_off,
    )
    for key, event in (("e-0", "enter"), *events):
        getattr(made, event)(key)
        clock.advance(0.3)
        read_s = clock.monotonic_s() - state.loads_at_s
        for each in made.candidates(members, state, held):
            own = made._records.get(each.name) or records.Record()
            others = max(0, loads.get(each.name, 0) - own_loads.get(each.name, 0))
            to_read = reading.get(each.name, 0) - own_reading.get(each.name, 0)
            assert each.load == others + own.in_flight
            assert each.reading_tokens == pytest.approx(max(0.0, to_read - 2 * read_s))
            assert each.held_tokens == held.get(each.name, 0)
            avoided = float("inf") if each.name in held_off else own.backoff.avoid_until_s
            assert each.avoid_until_s == avoided


def test_an_endpoint_that_asked_for_rest_is_full_with_less_than_it_had_then():
    clock = clocks.ManualClock()
    made = traffic.Traffic(retry_budget.Allowance(), selection.CostRates(), clock)
    for _ in range(10):
        made.enter("e")
    # Requests that were under way together are turned away together: they count once.
    for _ in range(3):
        made.hear("e", withdrawal.Notice(rest_s=1.0))
        made.leave("e")
    clock.advance(1.0)
    assert is_full(made)
    made.leave("e")
    assert not is_full(made)
    clock.advance(window.WINDOW_TTL_S)
    for _ in range(100):
        made.enter("e")
    made.end_rests()
    assert not is_full(made)


def is_full(made):
    kind = membership.EndpointKind.WORKER
    endpoint = membership.Endpoint("e", kind, "desk", "127.0.0.1:1", "a", "e")
    (candidate,) = made.candidates({"e": endpoint}, router_state.RouterState(), {})
    return candidate.is_full
