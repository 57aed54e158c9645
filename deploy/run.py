"""What the platform starts: ``python3 deploy/run.py entry|control [SECONDS]``.

SECONDS is how long to wait before anything is loaded: a router on a machine with a control box
leaves the processor to it first, since no router can serve without one.
"""

from __future__ import annotations

import pathlib
import signal
import sys
import time


def main(arguments: list[str]) -> int:
    """Run the program named first; return its exit code."""
    # Until the program has set its handlers a changed settings file must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    time.sleep(float(arguments[1]) if len(arguments) > 1 else 0.0)
    sys.path[0] = str(pathlib.Path(__file__).resolve().parents[1] / "src")
    from croftpulley.daemons import start_up

    start_up.begin()
    from croftpulley.platform import launch

    return launch.main(arguments[:1])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
