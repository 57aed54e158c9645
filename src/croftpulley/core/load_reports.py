"""The load that an endpoint reports in the head of a response.

The report covers the requests of all boxes, and other work where the endpoint shares its machine.
It is a snapshot, and may be late or wrong. So it can only raise a box's estimate of an endpoint's
load, for a moment: an endpoint that falsely reports itself idle gets no more requests than before,
and one that falsely reports itself full loses those of some tenths of a second.
"""

from __future__ import annotations

import re

import attrs

REPORT_TTL_S = 0.25
"""How long a report is used: boxes exchange their loads four times a second."""
USUAL_TIME_PERCENT = 100
"""``time_percent`` of an endpoint where work takes as long as usual."""
_MAX_COUNT = 1_000_000
"""Larger numbers of requests or slots are not plausible."""
_FIELDS = re.compile(r"(\d{1,7}),(\d{1,7}),(\d{1,7})(?:,(\d{1,7}))?", re.ASCII).fullmatch


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """Numbers of running and waiting requests and of slots, and the current duration of work.

    ``time_percent`` is relative to the usual duration (100), ``None`` if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    time_percent: int | None = None

    @property
    def request_count(self) -> int:
        """Running and waiting requests, limited to twice the slots."""
        return min(self.running + self.waiting, 2 * self.slots)

    @property
    def is_full(self) -> bool:
        """Tell whether another request would have to wait."""
        return self.running + self.waiting >= self.slots


def parse(text: str) -> ReportedLoad | None:
    """Parse ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PERCENT``.

    Returns ``None`` for an invalid report.

    >>> parse("3,0,8"), parse("3,0") is None, parse("3,0,0") is None
    (ReportedLoad(running=3, waiting=0, slots=8, time_percent=None), True, True)
    >>> parse(" 16, 4, 16, 250 ").time_percent
    250
    """
    match = _FIELDS(text.replace(" ", ""))
    if match is None:
        return None
    running, waiting, slots = (int(each) for each in match.group(1, 2, 3))
    percent = match[4] and int(match[4])
    if max(running, waiting, slots) > _MAX_COUNT or not slots or percent == 0:
        return None
    return ReportedLoad(running=running, waiting=waiting, slots=slots, time_percent=percent or None)
