"""What an endpoint tells of its load in the head of an answer.

It is true of the endpoint at one moment, of all boxes' requests and of others' too, where it shares
its machine. It may be late or false: it only ever adds to what boxes know of an endpoint's load,
for a moment, so that one which says that it is idle draws no more requests than before, and one
which says that it is full loses those of some tenths of a second.
"""

from __future__ import annotations

import re

import attrs

FRESH_S = 0.25
"""For how long it says more than what boxes tell each other, four times a second."""
USUAL_PERCENT = 100
_MOST = 1_000_000
"""Nobody runs so many requests, or has so many slots."""
_FIELDS = re.compile(r"(\d{1,7}),(\d{1,7}),(\d{1,7})(?:,(\d{1,7}))?", re.ASCII).fullmatch


@attrs.frozen(kw_only=True)
class ToldLoad:
    """Requests that run and that wait, the slots, and how long work takes there now.

    ``time_percent`` is 100 where work takes as long as usual, ``None`` where that is not told.
    """

    running: int
    waiting: int
    slots: int
    time_percent: int | None = None

    @property
    def present(self) -> int:
        """All requests there, but never more than twice the slots."""
        return min(self.running + self.waiting, 2 * self.slots)

    @property
    def is_full(self) -> bool:
        """Tell whether another request would wait."""
        return self.running + self.waiting >= self.slots


def parse(text: str) -> ToldLoad | None:
    """Read ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PERCENT``.

    Returns ``None`` for what says nothing.

    >>> parse("3,0,8"), parse("3,0") is None, parse("3,0,0") is None
    (ToldLoad(running=3, waiting=0, slots=8, time_percent=None), True, True)
    >>> parse(" 16, 4, 16, 250 ").time_percent
    250
    """
    match = _FIELDS(text.replace(" ", ""))
    if match is None:
        return None
    running, waiting, slots = (int(each) for each in match.group(1, 2, 3))
    percent = match[4] and int(match[4])
    if max(running, waiting, slots) > _MOST or not slots or percent == 0:
        return None
    return ToldLoad(running=running, waiting=waiting, slots=slots, time_percent=percent or None)
