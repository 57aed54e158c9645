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


def call_facts(*shared):
    """Return the facts of a call whose prompt begins with the ``shared`` parts."""
    parts = (*shared, "own")
    return calls.CallFacts(request_id="r", prompt=tuple(calls.PromptPart(p, 10) for p in parts))


def test_an_endpoint_without_tokens_to_prefill_leaves_no_entry(made):
    # Each start of an endpoint has a new name, and each renewal carries all entries.
    made.enter("worker-1")
    made.begin_prefill(calls.CallFacts(request_id="r"), "worker-1", 0)
    made.leave("worker-1")
    assert made.load() == listed_counts.EndpointLoads()


def test_undelivered_notes_are_in_the_next_report(made):
    made.begin_prefill(call_facts("p"), "e", 0)
    taken = made.take_notes()
    made.begin_prefill(call_facts("q"), "e", 0)
    made.requeue_notes(taken)
    assert made.take_notes() == {"e": ("p", "q")}
    assert made.take_notes() == {}


def test_all_records_of_an_endpoint_end_with_its_incarnation(made):
    before, after = incarnation(1), incarnation(2)
    made.update_listed([before])
    made.enter(before.key)
    made.begin_prefill(call_facts("p"), before.key, 500)
    made.failed(before.key)
    made.update_listed([after])
    # Events of the old incarnation that arrive late.
    made.leave(before.key)
    made.end_prefill(before.key, 500)
    made.failed(before.key)
    made.apply_notes({before.key: ("p",)})
    assert made.load() == listed_counts.EndpointLoads()
    assert made.take_notes() == {}
    assert made.take_outcomes() == {}
    assert made.held_tokens(call_facts("p")) == {}
    assert made.candidates({after.key: after}, router_state.RouterState(), {})[
        0
    ].avoid_until_s == float("-inf")


def incarnation(born_ms):
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
def test_cached_candidates_equal_newly_computed_ones(
    loads, own_loads, reading, own_reading, held_off, held, events
):
    """Most candidates are cached from one request to the next."""
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


def test_after_a_rest_an_endpoint_is_full_with_fewer_requests_than_before():
    clock = clocks.ManualClock()
    made = traffic.Traffic(retry_budget.Allowance(), selection.CostRates(), clock)
    for _ in range(10):
        made.enter("e")
    # Requests in flight together are rejected together: these rejections count once.
    for _ in range(3):
        made.apply_notice("e", withdrawal.Notice(rest_s=1.0))
        made.leave("e")
    clock.advance(1.0)
    assert is_full(made)
    made.leave("e")
    assert not is_full(made)
    clock.advance(window.WINDOW_TTL_S)
    for _ in range(100):
        made.enter("e")
    made.expire_rests()
    assert not is_full(made)


def is_full(made):
    kind = membership.EndpointKind.WORKER
    endpoint = membership.Endpoint("e", kind, "desk", "127.0.0.1:1", "a", "e")
    (candidate,) = made.candidates({"e": endpoint}, router_state.RouterState(), {})
    return candidate.is_full
