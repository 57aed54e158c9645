"""What goes wrong is drawn from the seed alone."""

from __future__ import annotations

import pytest

from soak import fleet, records, troubles

SECONDS_S = 20.0
SEEDS = (2, 7)


@pytest.fixture
def drawn(tmp_path):
    """Return what draws troubles for a seed and a rate of links, as times and kinds."""
    sites = []

    def draw(seed, link_bytes_per_s=float("inf")):
        sites.append(fleet.Fleet(tmp_path, link_bytes_per_s))
        draw = troubles.Draw(seed, sites[-1], records.Book(), planned_only=False)
        return [(each.at_s, each.for_s, type(each.trouble)) for each in draw.all(SECONDS_S)]

    yield draw
    for each in sites:
        each.stop()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seed_gives_the_same_troubles_each_time(seed, drawn):
    rate = fleet.LINK_BYTES_PER_S
    assert drawn(seed, rate) == drawn(seed, rate)


@pytest.mark.parametrize("seed", SEEDS)
def test_narrow_links_come_beside_the_other_troubles_of_a_seed(seed, drawn):
    with_rate = drawn(seed, fleet.LINK_BYTES_PER_S)
    narrow = [each for each in with_rate if each[2] is troubles.Narrow]
    assert narrow
    assert [each for each in with_rate if each not in narrow] == drawn(seed)
