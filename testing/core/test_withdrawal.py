"""Announcements in response headers, valid or not, and how they apply."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from croftpulley.core import withdrawal

NOW_S = 1_000_000_000.0
"""Sun, 09 Sep 2001 01:46:40 GMT"""


def rest_s(*values, status=503, date=""):
    return withdrawal.parse_notice(status, values, [], date, NOW_S).rest_s


@pytest.mark.parametrize(
    ("value", "asked_s"),
    [
        ("3", 3.0),
        (" 3 ", 3.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("00003", 3.0),
        ("3600", 3600.0),
        ("3601", withdrawal.MAX_REST_S),
        ("9" * 400, withdrawal.MAX_REST_S),
        ("Sun, 09 Sep 2001 01:46:45 GMT", 5.0),
        ("Sunday, 09-Sep-01 01:46:45 GMT", 5.0),
        ("Sun Sep  9 01:46:45 2001", 5.0),
        ("Sun, 09 Sep 2001 01:46:35 GMT", 0.0),
        ("Sun, 09 Sep 2035 01:46:45 GMT", withdrawal.MAX_REST_S),
    ],
)
def test_a_rest_is_parsed_from_seconds_and_from_a_point_in_time(value, asked_s):
    assert rest_s(value) == asked_s
    assert withdrawal.parse_notice(503, [value], [], "", NOW_S).unusable == ()


@pytest.mark.parametrize(
    "value",
    [
        *("", " ", "-1", "+1", "nan", "inf", "1e400", "1e3", "3s", "0x3", "3,5", "soon"),
        *(".", "1.", ".5", "1_0", "\u0663", "9" * 401),
        *("Sun, 99 Sep 2001 01:46:45 GMT", "Sun, 09 Sep 99999 1:1:1 GMT"),
    ],
)
def test_an_invalid_retry_after_asks_for_nothing_and_is_reported(value):
    notice = withdrawal.parse_notice(503, [value], [], "", NOW_S)
    assert (notice.rest_s, notice.unusable) == (0.0, (value,))


@pytest.mark.parametrize("status", [200, 204, 400, 408, 421, 429, 500, 502, 504])
def test_only_a_503_asks_for_rest(status):
    assert rest_s("3", status=status) == 0.0


def test_the_longest_of_several_values_applies_and_invalid_ones_hide_none():
    assert rest_s("1", "4", "2") == 4.0
    notice = withdrawal.parse_notice(503, ["nan", "4"], [], "", NOW_S)
    assert (notice.rest_s, notice.unusable) == (4.0, ("nan",))


def test_a_point_in_time_is_relative_to_the_date_header():
    made = "Sun, 09 Sep 2001 03:00:00 GMT"
    until = "Sun, 09 Sep 2001 03:00:07 GMT"
    assert rest_s(until, date=made) == 7.0
    assert rest_s("Sun, 09 Sep 2001 01:46:45 GMT", date="no date") == 5.0


@pytest.mark.parametrize("value", ["1", " 1 "])
def test_a_shutdown_is_accepted_with_any_status_of_the_endpoint(value):
    for status in (200, 404, 429, 500, 503):
        assert withdrawal.parse_notice(status, [], [value], "", NOW_S).leaves


@pytest.mark.parametrize("value", ["", "0", "true", "2", "1, 1", "11"])
def test_an_invalid_shutdown_value_is_ignored_and_reported(value):
    notice = withdrawal.parse_notice(200, [], [value], "", NOW_S)
    assert (notice.leaves, notice.unusable) == (False, (value,))


def test_a_misdirected_response_announces_nothing():
    assert withdrawal.parse_notice(421, ["3"], ["1"], "", NOW_S) is withdrawal.EMPTY_NOTICE


@hypothesis.given(
    strategies.lists(strategies.text(), max_size=3),
    strategies.lists(strategies.text(), max_size=3),
    strategies.text(),
)
def test_any_header_value_is_handled_and_no_rest_exceeds_the_longest(values, words, date):
    notice = withdrawal.parse_notice(503, values, words, date, NOW_S)
    assert 0.0 <= notice.rest_s <= withdrawal.MAX_REST_S
    assert notice.leaves == any(word.strip() == "1" for word in words)


class TestWithdrawal:
    """Announcements of one incarnation over time."""

    def test_the_latest_end_of_overlapping_rests_applies(self):
        announced = withdrawal.Withdrawal()
        for asked_s, at_s in ((5.0, 0.0), (1.0, 1.0), (4.5, 1.0), (0.5, 5.2)):
            announced.apply(withdrawal.Notice(rest_s=asked_s), at_s)
        assert announced.until_s == 5.7
        assert announced.rest_from_s == 0.0

    def test_an_expired_rest_is_returned_once_with_the_requests_sent_meanwhile(self):
        announced = withdrawal.Withdrawal()
        announced.apply(withdrawal.Notice(rest_s=2.0), 1.0)
        announced.sent_since += 3
        assert announced.end_rest(2.9) is None
        assert announced.end_rest(3.0) == (2.0, 3)
        assert announced.end_rest(9.0) is None
        assert announced.is_blank

    def test_a_shutdown_outlasts_every_rest(self):
        announced = withdrawal.Withdrawal()
        announced.apply(withdrawal.Notice(rest_s=2.0, leaves=True), 1.0)
        announced.end_rest(3.0)
        assert announced.is_in_effect(1e9)
        assert not announced.is_blank
