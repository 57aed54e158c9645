"""Short runs of the soak, and the seeds that ever broke a promise."""

from __future__ import annotations

import pytest

from soak import run

SECONDS_S = 6.0
SEEDS = (3, 7)
"""One with planned work only, one with all troubles."""


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_in_a_short_soak(seed, tmp_path):
    assert run.run_seed(seed, SECONDS_S, tmp_path).broken == []
