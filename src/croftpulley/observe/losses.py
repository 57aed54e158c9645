"""Counts failed, refused and late requests by time, route and reason, from routers' log lines.

Pure functions: no I/O. Only requests that reached a router are counted: a caller that found no box
to connect to appears in no log. The table has the number of log lines left out under load.
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
    """How a request was lost: answered late, failed, or refused before it ran."""

    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"


@attrs.frozen(order=True)
class LossGroup:
    """The key of a row of the table: time window, route, kind of loss and reason."""

    begin_s: float
    """Start of the window, in seconds after the first end of a request in the logs."""
    route: str
    loss: str
    reason: str


@attrs.frozen
class LossTable:
    """Lost requests by group, all requests that ended, and the number of log lines left out."""

    window_s: float
    losses: dict[LossGroup, int]
    requests: int
    left_out: int


def tabulate(lines: Iterable[explain.LogLine], window_s: float) -> LossTable:
    """Count lost requests by the window in which they ended, route, kind of loss and reason."""
    ends = []
    left_out = 0
    for line in lines:
        if line.event in (events.Event.REQUEST_ANSWERED, events.Event.REQUEST_REFUSED):
            ends.append((_time_s(line.time), line))
        if line.event == events.Event.LOG_LINES_LEFT_OUT:
            left_out += int(line.fields.get("lines", 0))
    first_s = min((time_s for time_s, _ in ends), default=0.0)
    losses: collections.Counter[LossGroup] = collections.Counter()
    for time_s, line in ends:
        classified = _classify_loss(line)
        if classified is not None:
            loss, reason = classified
            begin_s = window_s * ((time_s - first_s) // window_s)
            route = str(line.fields.get("route", ""))
            losses[LossGroup(begin_s, route, loss.value, reason)] += 1
    return LossTable(window_s, dict(sorted(losses.items())), len(ends), left_out)


def _time_s(text: str) -> float:
    return datetime.datetime.strptime(text, _TIME_FORMAT).replace(tzinfo=datetime.UTC).timestamp()


def _classify_loss(line: explain.LogLine) -> tuple[Loss, str] | None:
    """Return the kind of loss and its reason, or ``None`` if the request was served in time."""
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
