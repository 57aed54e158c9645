"""Which requests of a day were lost or late, when and for what reason, by the routers' log lines.

Pure: lines in, a table out. Only what reached a router is counted: a caller that found no box to
connect to appears in no log. Lines that were left out under load are told beside the table.
"""

from __future__ import annotations

import collections
import datetime
import enum
from collections.abc import Iterable

import attrs

from croftpulley.core import verdicts
from croftpulley.observe import events, explain

_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class Loss(enum.Enum):
    """What became of a request that was not served in time."""

    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"


@attrs.frozen(order=True)
class Cell:
    """One cause of loss in one span of time, on one route."""

    begin_s: float
    """Seconds after the first request of the logs."""
    route: str
    loss: str
    reason: str


@attrs.frozen
class Table:
    """The requests lost, by cell; how many requests ended in all, and lines that are missing."""

    window_s: float
    losses: dict[Cell, int]
    requests: int
    left_out: int


def tabulate(lines: Iterable[explain.Line], window_s: float) -> Table:
    """Split the losses of all requests by the span in which they ended, by route and reason."""
    ends = []
    left_out = 0
    for line in lines:
        if line.event in (events.Event.REQUEST_ANSWERED, events.Event.REQUEST_REFUSED):
            ends.append((_time_s(line.time), line))
        if line.event == events.Event.LOG_LINES_LEFT_OUT:
            left_out += int(line.fields.get("lines", 0))
    first_s = min((time_s for time_s, _ in ends), default=0.0)
    losses: collections.Counter[Cell] = collections.Counter()
    for time_s, line in ends:
        lost = _lost(line)
        if lost is not None:
            loss, reason = lost
            begin_s = window_s * ((time_s - first_s) // window_s)
            route = str(line.fields.get("route", ""))
            losses[Cell(begin_s, route, loss.value, reason)] += 1
    return Table(window_s, dict(sorted(losses.items())), len(ends), left_out)


def _time_s(text: str) -> float:
    return datetime.datetime.strptime(text, _TIME_FORMAT).replace(tzinfo=datetime.UTC).timestamp()


def _lost(line: explain.Line) -> tuple[Loss, str] | None:
    """Return how the request was lost and why, or nothing if it was served in time."""
    fields = line.fields
    code = str(fields.get("code", ""))
    attempts = int(fields.get("attempts", 0))
    if line.event == events.Event.REQUEST_REFUSED:
        loss = Loss.REFUSED if fields.get("run_state") == "not_run" else Loss.FAILED
        return loss, code
    status = int(fields.get("status", 0))
    if code != "OK":
        return Loss.FAILED, f"{code} midway"
    if status >= verdicts.FIRST_SERVER_ERROR:
        return Loss.FAILED, f"status {status} of {attempts} endpoints"
    if fields.get("first_s", 0.0) > fields.get("objective_s", float("inf")):
        return Loss.LATE, "one endpoint" if attempts == 1 else "more than one endpoint asked"
    return None
