"""The comparison of ways of keeping a cold endpoint within what it takes."""

from __future__ import annotations

import pytest

from croftpulley.bench import cold_starts


@pytest.mark.parametrize("routers", [12, 92])
def test_allotments_keep_what_an_endpoint_takes_with_routers_that_start_anew(routers):
    sent_s = cold_starts.play(cold_starts.Allotted(), routers)
    assert 0 < cold_starts.most_in_a_second(sent_s) <= cold_starts.TAKES_PER_S


def test_an_even_division_does_not_among_many():
    sent_s = cold_starts.play(cold_starts.EvenDivision(), 92)
    assert cold_starts.most_in_a_second(sent_s) > 2 * cold_starts.TAKES_PER_S
