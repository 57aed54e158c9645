"""The platform's names stay in one folder."""

from __future__ import annotations

import pathlib
import re

import pytest

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "croftpulley"
FOLDER = SOURCE / "platform"
NAMES = (
    r"croftpulley-[a-z]+-[a-z]+",
    r"/instances\b",
    r"/resolution\b",
    r"/readiness\b",
    r"Configuration\.(Replace|Read)",
    r"CROFTPULLEY_BOOT",
    r"\b(listenAddresses|seedNodes|trafficSplit|pathPrefix|timeoutMs|maxAttempts|apiKeys)\b",
    r"\b(stickySessions|streamResumption|targetLatencyMs|internalPortRange|cloudApi)\b",
    r"\b[Tt]enants?\b",
    r"\b[Mm]anifests?\b",
    r"\b[Rr]equesters?\b",
)


def sources():
    return [path for path in SOURCE.rglob("*.py") if FOLDER not in path.parents]


@pytest.mark.parametrize("name", NAMES)
def test_a_name_of_the_platform_is_in_no_other_code(name):
    found = [
        f"{path.relative_to(SOURCE)}: {match[0]}"
        for path in sources()
        for match in re.finditer(name, path.read_text(encoding="utf-8"), re.IGNORECASE)
    ]
    assert found == []


def test_nothing_else_imports_the_adapter():
    found = [
        str(path.relative_to(SOURCE))
        for path in sources()
        if "croftpulley.platform" in path.read_text(encoding="utf-8")
    ]
    assert found == []
