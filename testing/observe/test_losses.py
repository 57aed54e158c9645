"""The table of a day's losses from log lines."""

from __future__ import annotations

import orjson
import pytest
from click import testing as click_testing

from croftpulley.cli import main
from croftpulley.observe import events, explain, losses

Event = events.Event


def text(event, second, **fields):
    time = f"2026-01-01 10:00:{second:02},250"
    document = {"time": time, "box": "r", "event": event.value, "event_name": event.name.lower()}
    return orjson.dumps(document | fields).decode()


def answered(second=0, **fields):
    given = {"route": "chat", "status": 200, "code": "OK", "attempts": 1, "first_s": 0.1}
    return text(Event.REQUEST_ANSWERED, second, **given | {"objective_s": 0.4} | fields)


def refused(second=0, **fields):
    given = {"route": "chat", "code": "NO_LEASE", "run_state": "not_run", "attempts": 0}
    return text(Event.REQUEST_REFUSED, second, **given | fields)


def table(*lines):
    return losses.tabulate(explain.read(lines), window_s=2.0)


@pytest.mark.parametrize(
    ("line", "loss", "reason"),
    [
        (refused(), "refused", "NO_LEASE"),
        (refused(code="WORKER_BROKE", run_state="unknown"), "failed", "WORKER_BROKE"),
        (answered(code="WORKER_BROKE"), "failed", "WORKER_BROKE midway"),
        (answered(status=500, attempts=2), "failed", "status 500 of 2 endpoints"),
        (answered(first_s=0.5), "late", "one endpoint"),
        (answered(first_s=0.5, attempts=3), "late", "more than one endpoint asked"),
    ],
)
def test_each_loss_has_its_reason(line, loss, reason):
    assert table(line).losses == {losses.Cell(0.0, "chat", loss, reason): 1}


def test_what_was_in_time_is_counted_but_no_loss():
    made = table(answered(), answered(status=404))
    assert made.requests == 2
    assert not made.losses


def test_losses_stand_in_the_span_in_which_they_ended():
    made = table(answered(5), refused(6), refused(7), refused(9))
    assert [(cell.begin_s, count) for cell, count in made.losses.items()] == [
        (0.0, 1),
        (2.0, 1),
        (4.0, 1),
    ]


def test_lines_that_are_missing_are_told():
    assert table(text(Event.LOG_LINES_LEFT_OUT, 1, lines=7)).left_out == 7


@pytest.mark.parametrize("option", [[], ["--json"]])
def test_the_command_reads_the_logs_of_all_routers(tmp_path, option):
    first, second = tmp_path / "1.log", tmp_path / "2.log"
    first.write_text(answered(0) + "\n")
    second.write_text("no line of ours\n" + refused(3) + "\n")
    arguments = ["losses", "--logs", str(first), "--logs", str(second), *option]
    result = click_testing.CliRunner().invoke(main.cli, arguments)
    assert result.exit_code == 0
    assert "NO_LEASE" in result.output
    if option:
        assert orjson.loads(result.output)["requests"] == 2
    else:
        assert "1 of 2 requests that ended" in result.output
