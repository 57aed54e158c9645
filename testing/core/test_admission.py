from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from croftpulley import codes
from croftpulley.controllers import streams
from croftpulley.core import admission, membership

CAP = 1.25


@given(st.integers(2, 8), st.lists(st.integers(0, 10_000), max_size=200))
def test_no_sequence_of_admissions_exceeds_cap_times_mean_plus_one(engines, steps):
    """Holds for any order of starts and ends, as long as the mean is exact."""
    counts = [admission.EngineCount() for _ in range(engines)]
    for step in steps:
        count = counts[step % engines]
        if step % 3 == 0 and count.outstanding:
            count.outstanding -= 1
            continue
        mean = sum(each.load for each in counts) / engines
        limits = admission.Limits(cap_multiple=CAP, mean=mean)
        if admission.refusal_reason(count, limits, leaving=False) is None:
            count.outstanding += 1
            assert count.outstanding <= CAP * mean + 1


@given(st.lists(st.integers(0, 50), min_size=1, max_size=20))
def test_least_loaded_engine_accepts_a_request_if_mean_evidence_is_current(loads):
    least = admission.EngineCount(outstanding=min(loads))
    evidence = sum(loads) / len(loads)
    limits = admission.Limits(cap_multiple=CAP, mean=0.0, mean_evidence=evidence)
    assert admission.refusal_reason(least, limits, leaving=False) is None


def test_leaving_engine_accepts_nothing():
    limits = admission.Limits(cap_multiple=CAP, mean=100.0)
    code = admission.refusal_reason(admission.EngineCount(), limits, leaving=True)
    assert code is codes.ResultCode.ENGINE_LEAVING


def test_streams_of_an_earlier_owner_count_as_load():
    count = admission.EngineCount(outstanding=1)
    count.begin_load_query()
    count.report(running=6)
    assert count.load == 6
    count.begin_load_query()
    count.report(running=0)
    assert count.load == 1


def test_request_that_ends_while_the_report_is_fetched_is_not_untracked():
    # Counting it a second time sent the next turn of its chat to a cold engine.
    count = admission.EngineCount()
    count.add_request()
    count.begin_load_query()
    count.remove_request()
    count.report(running=1)
    assert count.load == 0


def test_slots_limit_an_engine_below_the_cap():
    limits = admission.Limits(cap_multiple=CAP, mean=100.0, slots=2)
    assert admission.refusal_reason(admission.EngineCount(2), limits, leaving=False) is not None


def test_mean_uses_the_current_load_of_this_box():
    # A surge of 10 requests at one box was refused against a mean that was half a second old.
    heard = membership.PoolLoad("llm", 0, 4)
    reported = membership.PoolLoad("llm", 0, 2)
    assert admission.current_mean_load(heard, reported, membership.PoolLoad("llm", 10, 2)) == 2.5


def test_mean_includes_engines_whose_owner_has_not_reported_yet():
    # With two of three engines reported, 12 to 14 requests were admitted where 11 were allowed.
    nothing = membership.PoolLoad("llm", 0, 0)
    mine = membership.PoolLoad("llm", 18, 2)
    assert admission.current_mean_load(nothing, nothing, mine, listed_engines=3) == 6.0


def test_workspace_at_its_limit_does_not_block_other_workspaces():
    in_flight = streams.InFlight(streams_limit=3)
    assert in_flight.enter("large", 1) is None
    assert in_flight.enter("large", 1) is codes.ResultCode.WORKSPACE_LIMIT
    assert in_flight.enter("small", 1) is None
    in_flight.leave("large")
    assert in_flight.enter("large", 1) is None


def test_box_at_its_stream_limit_refuses_every_workspace():
    in_flight = streams.InFlight(streams_limit=1)
    in_flight.enter("large", 5)
    assert in_flight.enter("small", 5) is codes.ResultCode.TOO_MANY_STREAMS
