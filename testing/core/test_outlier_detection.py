"""Outlier detection holds off endpoints that fail more than their peers, and only those."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import outlier_detection

POOL = ("a", "b", "c")


def new_holds(detector, now_s, pool=POOL):
    return [each.endpoint for each in detector.hold_off_outliers([pool], now_s)]


def traffic(detector, rng, now_s, shares, requests=9):
    """Report one second of requests to each endpoint, with failure rates ``shares``."""
    for name, share in shares.items():
        failed = sum(rng.random() < share for _ in range(requests))
        detector.add({name: (requests - failed, failed)}, now_s)


def test_an_endpoint_that_fails_two_of_five_is_held_off_within_two_seconds():
    detected = 0
    for seed in range(50):
        detector, rng = outlier_detection.OutlierDetector(), random.Random(seed)
        for second in range(2):
            traffic(detector, rng, float(second), {"a": 0.4, "b": 0.05, "c": 0.05})
            detected += "a" in new_holds(detector, float(second))
    assert detected >= 40, f"got {detected} of 50"


def test_endpoints_that_fail_equally_often_are_not_held_off():
    held = []
    for seed in range(50):
        detector, rng = outlier_detection.OutlierDetector(), random.Random(seed)
        for second in range(30):
            traffic(detector, rng, float(second), dict.fromkeys(POOL, 0.05))
            held += new_holds(detector, float(second))
    # A few false positives are acceptable: each costs one endpoint of three for three seconds.
    assert len(held) <= 2, f"got {held}"


def test_no_endpoint_is_held_off_if_the_whole_pool_fails():
    detector, rng = outlier_detection.OutlierDetector(), random.Random(1)
    for second in range(20):
        traffic(detector, rng, float(second), dict.fromkeys(POOL, 0.5))
        assert new_holds(detector, float(second)) == []


def test_after_a_hold_only_new_requests_count_and_the_next_hold_is_longer():
    detector = outlier_detection.OutlierDetector()
    detector.add({"a": (0, 5), "b": (9, 0)}, 0.0)
    (first,) = detector.hold_off_outliers([POOL], 0.0)
    after_s = first.hold_s + 0.1
    assert new_holds(detector, after_s) == []
    assert detector.held(after_s) == ()
    detector.add({"a": (0, 5), "b": (9, 0)}, after_s)
    (second,) = detector.hold_off_outliers([POOL], after_s)
    assert second.hold_s == 2 * first.hold_s


def test_the_hold_is_short_again_after_a_long_time_without_one():
    detector = outlier_detection.OutlierDetector()
    detector.add({"a": (0, 5)}, 0.0)
    (first,) = detector.hold_off_outliers([POOL], 0.0)
    later_s = first.hold_s + outlier_detection.HOLD_RESET_S + 1.0
    detector.add({"a": (0, 5)}, later_s)
    (second,) = detector.hold_off_outliers([POOL], later_s)
    assert second.hold_s == first.hold_s


def test_unlisted_endpoints_are_forgotten():
    detector = outlier_detection.OutlierDetector()
    detector.add({"a": (0, 5)}, 0.0)
    detector.hold_off_outliers([POOL], 0.0)
    detector.retain({"b"})
    assert detector.held(0.1) == ()


reports = st.lists(
    st.tuples(st.sampled_from(POOL), st.integers(0, 20), st.integers(0, 20), st.floats(0.0, 2.0)),
    max_size=40,
)


@given(reports)
def test_never_more_than_half_of_a_pool_is_held_off(reported):
    detector = outlier_detection.OutlierDetector()
    now_s = 0.0
    for endpoint, succeeded, failed, pause_s in reported:
        now_s += pause_s
        detector.add({endpoint: (succeeded, failed)}, now_s)
        detector.hold_off_outliers([POOL], now_s)
        assert len(detector.held(now_s)) <= len(POOL) / 2
