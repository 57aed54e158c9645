"""Tests of the table of lost requests made from log lines."""

from __future__ import annotations

import orjson
import pytest
from click import testing as click_testing

from croftpulley.cli import main
from croftpulley.observe import events, explain, losses

Event = events.Event


def log_line(event, second, **fields):
    time = f"2026-01-01 10:00:{second:02},250"
    document = {"time": time, "box": "r", "event": event.value, "event_name": event.name.lower()}
    return orjson.dumps(document | fields).decode()


def answered(second=0, **fields):
    given = {"route": "chat", "status": 200, "code": "OK", "attempts": 1, "first_s": 0.1}
    return log_line(Event.REQUEST_ANSWERED, second, **given | {"objective_s": 0.4} | fields)


def refused(second=0, **fields):
    given = {"route": "chat", "code": "NO_LEASE", "run_state": "not_run", "attempts": 0}
    return log_line(Event.REQUEST_REFUSED, second, **given | fields)


def tabulate_lines(*lines):
    return losses.tabulate(explain.parse_lines(lines), window_s=2.0)


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
    assert tabulate_lines(line).losses == {losses.LossGroup(0.0, "chat", loss, reason): 1}


def test_requests_served_in_time_are_counted_but_are_no_losses():
    table = tabulate_lines(answered(), answered(status=404))
    assert table.requests == 2
    assert not table.losses


def test_losses_are_grouped_by_the_window_in_which_they_ended():
    table = tabulate_lines(answered(5), refused(6), refused(7), refused(9))
    assert [(cell.begin_s, count) for cell, count in table.losses.items()] == [
        (0.0, 1),
        (2.0, 1),
        (4.0, 1),
    ]


def test_left_out_log_lines_are_counted():
    assert tabulate_lines(log_line(Event.LOG_LINES_LEFT_OUT, 1, lines=7)).left_out == 7


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
