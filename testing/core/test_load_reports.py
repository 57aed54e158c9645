"""Which load reports of endpoints are accepted."""

from __future__ import annotations

import pytest

from croftpulley.core import load_reports


@pytest.mark.parametrize(
    ("text", "figures"),
    [
        ("3,0,8", (3, 0, 8, None)),
        ("3,0,8,100", (3, 0, 8, 100)),
        (" 16, 4, 16, 250 ", (16, 4, 16, 250)),
        ("0,0,1,1", (0, 0, 1, 1)),
        ("1000000,0,8", (1_000_000, 0, 8, None)),
    ],
)
def test_a_valid_report_is_parsed(text, figures):
    report = load_reports.parse(text)
    assert (report.running, report.waiting, report.slots, report.time_percent) == figures


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,0",
        "3,0,8,100,7",
        "3,0,8,",
        ",0,8",
        "-1,0,8",
        "+1,0,8",
        "1.5,0,8",
        "1e3,0,8",
        "nan,0,8",
        "3,0,0",
        "3,0,8,0",
        "3,0,1000000001",
        "3,0,8,1000000001",
        "9" * 400 + ",0,8",
        "\uff13,0,8",
        "3;0;8",
        "running=3",
    ],
)
def test_an_invalid_report_is_ignored(text):
    assert load_reports.parse(text) is None


def test_an_implausibly_high_load_counts_as_twice_the_slots():
    report = load_reports.parse("900000,900000,16")
    assert report.is_full
    assert report.request_count == 32
