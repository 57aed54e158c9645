"""Settings that name other seeds, and what is lost afterwards."""

from __future__ import annotations

import random

import attrs

from soak import fleet, records, troubles

REDIRECTORS = 3
SEEDS = 3
_DISK_GAP_S = 6.0
"""Between two lost disks: a control box is back after a second and has its vote a second later."""
_STOP_GAP_S = 2.0
_EXCHANGE_GAP_S = 5.0


@attrs.frozen
class Exchanged(troubles.Trouble):
    """All settings name other seeds."""

    site: fleet.Fleet
    addresses: tuple[str, ...]

    def begin(self) -> None:
        """Write the settings."""
        self.site.use_seeds(list(self.addresses))

    def end(self) -> None:
        """Do nothing more."""


def drawn(
    seed: int, site: fleet.Fleet, book: records.Book, seconds_s: float
) -> list[troubles.Timed]:
    """Return what goes wrong; even seeds name boxes without a disk alone, others any boxes."""
    chance = random.Random(f"{seed} seeds")
    without_disk = [each.settings["peer_address"] for each in site.redirectors]
    all_boxes = [*without_disk, *(each.address for each in site.control_ways)]
    found = []
    at_s = chance.uniform(0.2, 1.0)
    while at_s < seconds_s:
        addresses = chance.sample(all_boxes if seed % 2 else without_disk, SEEDS)
        found.append(troubles.Timed(at_s, 0.0, Exchanged(site, tuple(addresses))))
        at_s += chance.uniform(0.5, 1.0) * _EXCHANGE_GAP_S
    at_s = chance.uniform(2.0, 3.0)
    while at_s < seconds_s - _DISK_GAP_S:
        killed = troubles.Killed(site, (chance.choice(site.control),), loses_disk=True)
        found.append(troubles.Timed(at_s, troubles.RESTART_S, killed))
        at_s += _DISK_GAP_S
    at_s = chance.uniform(1.0, _STOP_GAP_S)
    while at_s < seconds_s:
        stopped = troubles.Stopped(site, chance.choice(site.routers), book)
        found.append(troubles.Timed(at_s, troubles.RESTART_S, stopped))
        at_s += chance.uniform(0.5, 1.0) * _STOP_GAP_S
    all_killed = troubles.Killed(site, tuple(site.programs))
    found.append(troubles.Timed(seconds_s - 1.0, troubles.RESTART_S, all_killed))
    return found
