"""What the platform starts: ``python3 deploy/run.py entry`` or ``control``."""

from __future__ import annotations

import pathlib
import sys

sys.path[0] = str(pathlib.Path(__file__).resolve().parents[1] / "src")

from croftpulley.platform import launch  # noqa: E402

if __name__ == "__main__":
    sys.exit(launch.main(sys.argv[1:]))
