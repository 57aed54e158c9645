from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from croftpulley import codes
from croftpulley.controllers import streams
from croftpulley.core import admission, membership

CAP = 1.25


@given(st.integers(2, 8), st.lists(st.integers(0, 10_000), max_size=200))
def test_no_interleaving_takes_an_engine_above_the_cap_and_one(engines, steps):
    """With the exact mean at hand, every admission leaves its engine within cap x mean + 1."""
    counts = [admission.EngineCount() for _ in range(engines)]
    for step in steps:
        count = counts[step % engines]
        if step % 3 == 0 and count.outstanding:
            count.outstanding -= 1
            continue
        mean = sum(each.load for each in counts) / engines
        limits = admission.Limits(cap_multiple=CAP, mean=mean)
        if admission.refusal(count, limits, leaving=False) is None:
            count.outstanding += 1
            assert count.outstanding <= CAP * mean + 1


@given(st.lists(st.integers(0, 50), min_size=1, max_size=20))
def test_the_least_loaded_engine_is_always_admitted_on_fresh_evidence(loads):
    least = admission.EngineCount(outstanding=min(loads))
    evidence = sum(loads) / len(loads)
    limits = admission.Limits(cap_multiple=CAP, mean=0.0, mean_evidence=evidence)
    assert admission.refusal(least, limits, leaving=False) is None


def test_a_leaving_engine_admits_nothing():
    limits = admission.Limits(cap_multiple=CAP, mean=100.0)
    code = admission.refusal(admission.EngineCount(), limits, leaving=True)
    assert code is codes.ResultCode.ENGINE_LEAVING


def test_streams_left_by_an_earlier_owner_count():
    count = admission.EngineCount(outstanding=1)
    count.ask()
    count.report(running=6)
    assert count.load == 6
    count.ask()
    count.report(running=0)
    assert count.load == 1


def test_a_request_that_ended_while_the_report_came_is_not_foreign():
    # Counted once more, it sent the next turn of its chat to a cold engine.
    count = admission.EngineCount()
    count.enter()
    count.ask()
    count.leave()
    count.report(running=1)
    assert count.load == 0


def test_slots_bound_an_engine_below_the_cap():
    limits = admission.Limits(cap_multiple=CAP, mean=100.0, slots=2)
    assert admission.refusal(admission.EngineCount(2), limits, leaving=False) is not None


def test_the_mean_counts_this_box_as_it_is_now():
    # A surge of 10 at one box was refused against the mean of half a second before.
    heard = membership.PoolLoad("llm", 0, 4)
    reported = membership.PoolLoad("llm", 0, 2)
    assert admission.fresh_mean(heard, reported, membership.PoolLoad("llm", 10, 2)) == 2.5


def test_the_mean_counts_engines_whose_owner_has_not_reported_yet():
    # Two of three engines had reported, and 12 to 14 requests went where 11 were allowed.
    nothing = membership.PoolLoad("llm", 0, 0)
    mine = membership.PoolLoad("llm", 18, 2)
    assert admission.fresh_mean(nothing, nothing, mine, listed_engines=3) == 6.0


def test_a_workspace_at_its_limit_does_not_keep_others_out():
    in_flight = streams.InFlight(streams_limit=3)
    assert in_flight.enter("large", 1) is None
    assert in_flight.enter("large", 1) is codes.ResultCode.WORKSPACE_LIMIT
    assert in_flight.enter("small", 1) is None
    in_flight.leave("large")
    assert in_flight.enter("large", 1) is None


def test_a_full_box_refuses_everyone():
    in_flight = streams.InFlight(streams_limit=1)
    in_flight.enter("large", 5)
    assert in_flight.enter("small", 5) is codes.ResultCode.TOO_MANY_STREAMS
