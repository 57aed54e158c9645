"""Where the platform places programs."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

ROLES = tomllib.loads(
    (pathlib.Path(__file__).parents[2] / "deploy" / "system.toml").read_text(encoding="utf-8")
)["roles"]


@pytest.mark.parametrize(
    ("zones", "disks_a_zone", "lost_at_once"), [(3, 1, 1), (4, 1, 1), (3, 2, 2), (4, 2, 2)]
)
def test_a_majority_of_the_voters_is_left_after_what_must_be_borne(
    zones, disks_a_zone, lost_at_once
):
    """With one control box in each of three zones two lost disks end the fleet for good.

    A small fleet whose zones have two disks, where 6 in 100 of a zone's machines ran control: a
    configuration that was acknowledged was not read back, and nothing was served again.
    """
    candidates = zones * min(disks_a_zone, ROLES["control"]["count"])
    voters = candidates if candidates % 2 else candidates - 1
    assert voters >= 2 * lost_at_once + 1
