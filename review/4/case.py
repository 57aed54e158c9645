"""The settings name control boxes without a disk as seeds; then all processes are killed."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import site_2 as kit

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

RECOVERY_S = 12
SETTLE_S = 5.0
ASKED_S = 15.0
BUDGET_MS = 2000


def play(site: kit.Site, is_troubled: bool) -> bool:
    """Return whether under a quarter is served later than `recoveryS` after all are back."""
    for zone in ("hall-a", "hall-b", "hall-c"):
        site.add_worker(f"desk-{zone}", "desk", zone)
    site.start(
        kit.manifest(
            1,
            [
                {
                    "name": "slot",
                    "pathPrefix": "/slot/",
                    "kind": "idempotent",
                    "timeoutMs": 4000,
                    "service": "desk",
                },
            ],
        )
    )
    before = ask_all(site, "before", 3.0)
    if before < 0.9:
        raise kit.CouldNotRunError(f"only {before:.2f} served before the trouble")
    if is_troubled:
        site.exchange_seeds(
            [each for each in site.machines if "control" in each.programs and not each.has_disk]
        )
    time.sleep(SETTLE_S)
    between = ask_all(site, "between", 3.0)
    site.record(f"served after the exchange: {between:.2f}")
    site.record("SIGKILL to every process; the platform starts them again")
    for each in site.programs():
        each.signal(signal.SIGKILL)
    time.sleep(1.0)
    while any(each.process is None for each in site.programs()):
        time.sleep(0.1)
    site.record("all processes are back")
    time.sleep(RECOVERY_S)
    after = ask_all(site, "after", ASKED_S)
    site.record(f"served later than {RECOVERY_S} s after that: {after:.2f}")
    return before >= 0.25 and after < 0.25


def ask_all(site: kit.Site, name: str, for_s: float) -> float:
    """Ask every router in turn; return the share that is served."""
    ends_at_s = time.monotonic() + for_s
    statuses: list[object] = []
    while time.monotonic() < ends_at_s:
        index = len(statuses) % len(site.machines)
        attempt_id = f"{name}-{len(statuses)}"
        try:
            status: object = kit.ask(
                site.address(index),
                "GET",
                "/slot/1",
                kit.call_headers(attempt_id, BUDGET_MS),
                limit_s=BUDGET_MS / 1000,
            ).status
        except OSError as failure:
            status = type(failure).__name__
        statuses.append(status)
        site.record(f"sent {attempt_id} to {site.machines[index].name}: {status}")
        time.sleep(0.1)
    return sum(each == 200 for each in statuses) / len(statuses)


if __name__ == "__main__":
    kit.main(__file__, play, is_troubled=IS_TROUBLED, plain=3)
