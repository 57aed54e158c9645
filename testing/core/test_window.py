"""The congestion window after a rejection, and when rejected callers retry."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import retry_times, window


@given(st.integers(1, 500), st.integers(0, 2000))
def test_one_request_is_always_admitted_and_accepted_ones_widen_the_window(in_flight, accepted):
    congestion_window = window.CongestionWindow()
    congestion_window.turned_away(in_flight, 0.0)
    assert congestion_window.admits(0)
    assert not congestion_window.admits(in_flight)
    before = congestion_window.size
    for _ in range(accepted):
        congestion_window.accepted()
    assert congestion_window.size >= before
    assert congestion_window.size <= before + accepted


def test_the_limit_is_lifted_after_a_while():
    congestion_window = window.CongestionWindow()
    congestion_window.turned_away(3, 5.0)
    congestion_window.forget(5.0 + window.WINDOW_TTL_S - 0.1)
    assert not congestion_window.admits(3)
    congestion_window.forget(5.0 + window.WINDOW_TTL_S)
    assert congestion_window.admits(1000)
    assert congestion_window.is_blank


@given(st.floats(0, 3600), st.floats(0, 60), st.floats(0, 1), st.integers(0, 9))
def test_no_caller_retries_before_there_is_room_or_too_late(opens_in_s, left_s, chance, urgency):
    position = retry_times.queue_position(urgency, chance)
    retry_in_s = retry_times.wait_s(opens_in_s, left_s, retry_times.JITTER_SHARE, position)
    assert retry_in_s >= round(opens_in_s, 3)
    assert retry_in_s <= round(
        max(opens_in_s, retry_times.MIN_WAIT_S) * (1 + retry_times.JITTER_SHARE), 3
    )
    assert retry_in_s <= round(max(opens_in_s, retry_times.MIN_WAIT_S, left_s / 3), 3)


def test_the_most_urgent_callers_retry_first():
    waits_s = [
        retry_times.wait_s(2.0, 60.0, 0.2, retry_times.queue_position(rank, 0.5))
        for rank in range(10)
    ]
    assert waits_s == sorted(waits_s)
    assert len(set(waits_s)) == 10
