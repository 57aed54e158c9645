"""The experiment on what decoding the list costs."""

from __future__ import annotations

import random

import pytest

from croftpulley.platform import list_bench


@pytest.mark.parametrize(("share", "in_use"), [(0.0, 200), (0.1, 180)])
def test_all_entries_that_are_sound_are_in_use(share, in_use):
    rows = {row.key: row.value for row in list_bench.measure(200, share, rounds=1)}
    (used,) = (value for key, value in rows.items() if key.endswith("in_use"))
    assert used == in_use


def test_a_list_is_the_same_for_the_same_chance():
    first, again = (list_bench.pages(120, 0.1, random.Random(1)) for _ in range(2))
    assert first == again
    assert len(first) == 3
