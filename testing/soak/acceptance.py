"""Times submissions on real processes: ``python -m soak.acceptance`` in ``testing/``.

Twelve routers and three control boxes without troubles, then with the leading box killed before
each submission. Prints figures; judges nothing.
"""

from __future__ import annotations

import pathlib
import random
import tempfile
import threading
import time

import click

from croftpulley.bench import table
from soak import callers, fleet, records, run, storms

ROUTERS = 12
_START_WAIT_S = 3.0
"""For a killed box to be back and voting before the next one is killed."""


def kill_leader(site: fleet.Fleet) -> None:
    """Kill the control box that leads and start it again."""
    killed = storms.LeaderKilled(site)
    killed.begin()
    threading.Timer(_START_WAIT_S / 2, killed.end).start()


@click.command()
@click.option("--count", default=40, show_default=True, help="Submissions without troubles.")
@click.option("--kills", default=8, show_default=True, help="Submissions after a killed leader.")
def main(count: int, kills: int) -> None:
    """Print the median, the 99th percentile and the most."""
    fleet.ROUTERS = ROUTERS
    chance = random.Random(1)
    book = records.Book()
    site = fleet.Fleet(pathlib.Path(tempfile.mkdtemp(prefix="acceptance-")))
    try:
        site.start()
        run.until_served(site, book, seed=1)
        calm_s = sorted(
            callers.timed_submission(site, book, chance).acknowledged_s for _ in range(count)
        )
        killed_s = []
        for _ in range(kills):
            kill_leader(site)
            killed_s.append(callers.timed_submission(site, book, chance).acknowledged_s)
            time.sleep(_START_WAIT_S)
    finally:
        site.stop()
    for key, values_s in (("accepted", calm_s), ("accepted_after_kill", sorted(killed_s))):
        for name, share in (("p50", 0.5), ("p99", 0.99), ("most", 1.0)):
            value_s = round(table.percentile(values_s, share), 3)
            click.echo(f"{key}_{ROUTERS}_routers_{name}_s  {value_s}")


if __name__ == "__main__":
    main()
