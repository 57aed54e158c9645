"""Settings name control boxes without a disk as seeds; then two machines lose their disks."""

from __future__ import annotations

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import site_2 as kit

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

DARK_S = 3.0
CATCH_UP_S = 4.0
BETWEEN_S = 10.0
"""From the return of the first machine to the loss of the second; more than `catchUpS`."""
READ_S = 15.0
"""For longer than `contactMs` (3 s) and `recoveryS` (12 s)."""
SETTLE_S = 3.0


def play(site: kit.Site, is_troubled: bool) -> bool:
    """Return whether the acknowledged manifest is not read back at the end."""
    site.add_worker("desk", "desk")
    routes = [
        {
            "name": "slot",
            "pathPrefix": "/slot/",
            "kind": "idempotent",
            "timeoutMs": 4000,
            "service": "desk",
        }
    ]
    site.start(kit.manifest(1, routes))
    if is_troubled:
        without_disk = [
            each for each in site.machines if "control" in each.programs and not each.has_disk
        ]
        site.exchange_seeds(without_disk)
    time.sleep(SETTLE_S)
    site.lose_disk(site.machines[0], DARK_S)
    time.sleep(BETWEEN_S)
    ends_at_s = time.monotonic() + kit.START_LIMIT_S
    while site.submit(kit.manifest(2, routes)) != 200:
        if time.monotonic() > ends_at_s:
            raise kit.CouldNotRunError("version 2 was not acknowledged")
    site.lose_disk(site.machines[1], DARK_S)
    time.sleep(CATCH_UP_S)
    versions = read_for(site, READ_S)
    site.record(f"read back at the end: {versions}")
    return 2 not in versions


def read_for(site: kit.Site, for_s: float) -> list[int]:
    """Read the manifest over and over until it comes."""
    ends_at_s = time.monotonic() + for_s
    versions = []
    while time.monotonic() < ends_at_s and 2 not in versions:
        versions.append(site.read_manifest())
        site.record(f"operator reads version {versions[-1]} (0: none)")
        time.sleep(0.5)
    return versions


if __name__ == "__main__":
    kit.main(__file__, play, is_troubled=IS_TROUBLED, plain=3)
