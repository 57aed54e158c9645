"""What is believed of the load that an endpoint tells."""

from __future__ import annotations

import pytest

from croftpulley.core import told_load


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
def test_a_sound_load_is_read(text, figures):
    told = told_load.parse(text)
    assert (told.running, told.waiting, told.slots, told.time_percent) == figures


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
def test_what_is_no_load_says_nothing(text):
    assert told_load.parse(text) is None


def test_an_endpoint_that_claims_a_crowd_counts_as_full_and_no_more():
    told = told_load.parse("900000,900000,16")
    assert told.is_full
    assert told.present == 32
