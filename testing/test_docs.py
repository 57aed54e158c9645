"""The tables of the docs and the code say the same."""

from __future__ import annotations

import pathlib
import re

import attrs
import pytest

from croftpulley import codes
from croftpulley.observe import events
from croftpulley.settings import fleet, schema

DOCS = pathlib.Path(__file__).parents[1] / "docs"


EXIT_CODES = [
    "exit code",
    "0",
    "1",
    str(codes.ResultCode.SETTINGS_INVALID.value),
    str(codes.ResultCode.LOG_CORRUPT.value),
    str(codes.ResultCode.INTERNAL.value),
    "by signal 9",
    "by signal 6, 7 or 11",
    "by signal 15 or 1",
]
"""How a process of the fleet may end, as the second table of the page tells."""


def rows(name):
    """Return the cells of every table row of a page, header and rule left out."""
    lines = (DOCS / name).read_text(encoding="utf-8").splitlines()
    cells = [
        [c.strip().strip("`") for c in line.strip("|").split("|")]
        for line in lines
        if line.startswith("|")
    ]
    return [
        row
        for row in cells
        if not set(row[0]) <= set("-: ") and row[0] not in ("code", "number", "key")
    ]


def test_result_codes_and_their_page_agree():
    expected = [
        [
            str(code.value),
            code.name,
            str(info.http_status),
            "-" if info.retry_after_s is None else f"{info.retry_after_s:g} s",
            info.meaning,
        ]
        for code, info in sorted(codes.INFO.items())
    ]
    found = rows("RESULT-CODES.md")
    assert found[: len(expected)] == expected
    assert [row[0] for row in found[len(expected) :]] == EXIT_CODES


def test_every_result_code_has_its_row():
    assert set(codes.INFO) == set(codes.ResultCode)


def test_events_and_their_page_agree():
    expected = [
        [str(event.value), event.name.lower(), events.MEANINGS[event]]
        for event in sorted(events.Event)
    ]
    assert rows("EVENTS.md") == expected


def test_every_event_is_emitted_somewhere():
    source = "".join(
        path.read_text(encoding="utf-8")
        for path in (DOCS.parent / "src").rglob("*.py")
        if path.name != "events.py"
    )
    emitted = set(re.findall(r"Event\.([A-Z_]+)", source))
    assert {event.name for event in events.Event} <= emitted


@pytest.mark.parametrize(
    "kind",
    [
        schema.EntrySettings,
        schema.ControlSettings,
        schema.HttpLimits,
        fleet.FleetConfiguration,
        fleet.Workspace,
        fleet.Service,
        fleet.Route,
        fleet.Share,
        fleet.Pool,
        fleet.WireLimits,
        schema.RouterSettings,
        schema.ReplicaSettings,
    ],
)
def test_every_setting_has_its_row(kind):
    documented = {row[0] for row in rows("SETTINGS.md")}
    assert {field.name for field in attrs.fields(kind)} <= documented
