"""What an endpoint announces in the head of a response: that it needs rest, or shuts down.

A *rest* is a time without requests, asked for by a 503 with Retry-After. It is asked of one box,
and applies to that box until it expires. A shutdown (*leaving*) is true of the incarnation,
whichever box learns of it, and is never revoked.
"""

from __future__ import annotations

import datetime
import email.utils
import re
from collections.abc import Iterable

import attrs

from croftpulley.core import verdicts

MAX_REST_S = 3600.0
"""Longer rests are cut to this length: no endpoint plans its load further ahead, and a box has to
remember the rest for as long."""
LEAVING_TTL_S = 3600.0
"""How long an announced shutdown is remembered after the incarnation left the list, in case it is
listed again: far longer than endpoints take to shut down."""
_REST_STATUS = 503
"""Status that rejects a request for lack of room; with other statuses Retry-After has another
meaning (RFC 9110, section 10.2.3)."""
_LEAVING_VALUE = "1"
_SECONDS = re.compile(r"[0-9]{1,400}(?:\.[0-9]{1,400})?", re.ASCII).fullmatch


@attrs.frozen(kw_only=True)
class Notice:
    """What one response announces about its endpoint.

    ``rest_s`` is how long it wants no requests from this box, 0 if it does not ask. ``unusable``
    are header values that could not be parsed.
    """

    rest_s: float = 0.0
    leaves: bool = False
    unusable: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing was announced."""
        return not (self.rest_s or self.leaves or self.unusable)


EMPTY_NOTICE = Notice()
"""The notice of a response that announces nothing."""


def parse_notice(
    status: int, retry_after: Iterable[str], leaving: Iterable[str], date: str, wall_s: float
) -> Notice:
    """Parse a notice from header values of a response; a header may occur several times.

    ``date`` is the Date header, the endpoint's own clock, to which a Retry-After with a point in
    time is relative; without it this box's ``wall_s`` is used.

    >>> parse_notice(503, ["2.5", "1"], [], "", 0.0)
    Notice(rest_s=2.5, leaves=False, unusable=())
    >>> parse_notice(200, ["2.5"], ["1"], "", 0.0)
    Notice(rest_s=0.0, leaves=True, unusable=())
    """
    if status == verdicts.MISDIRECTED:
        # Another endpoint has the address, and its headers are about itself.
        return EMPTY_NOTICE
    unusable = []
    rest_s = 0.0
    for value in retry_after if status == _REST_STATUS else ():
        asked_s = parse_retry_after(value, date, wall_s)
        if asked_s is None:
            unusable.append(value)
        else:
            rest_s = max(rest_s, asked_s)
    leaves = False
    for value in leaving:
        if value.strip() == _LEAVING_VALUE:
            leaves = True
        else:
            unusable.append(value)
    if not (rest_s or leaves or unusable):
        return EMPTY_NOTICE
    return Notice(rest_s=rest_s, leaves=leaves, unusable=tuple(unusable))


def parse_retry_after(value: str, date: str, wall_s: float) -> float | None:
    """Return how many seconds a Retry-After asks for, ``None`` if it cannot be parsed.

    Fractions are accepted too. A point in time that has passed gives 0.

    >>> parse_retry_after("0.25", "", 0.0), parse_retry_after("-1", "", 0.0)
    (0.25, None)
    >>> parse_retry_after("Thu, 01 Jan 1970 00:01:40 GMT", "", 90.0)
    10.0
    """
    text = value.strip()
    if _SECONDS(text):
        return min(float(text), MAX_REST_S)
    until_s = _unix_s(text)
    if until_s is None:
        return None
    made_s = _unix_s(date.strip())
    left_s = until_s - (wall_s if made_s is None else made_s)
    return min(max(0.0, left_s), MAX_REST_S)


def _unix_s(text: str) -> float | None:
    """Return the Unix time of an HTTP date, ``None`` if it is not one."""
    # HTTP dates start with letters; the library also parses other formats, which are invalid here.
    if not text[:3].isalpha():
        return None
    try:
        moment = email.utils.parsedate_to_datetime(text)
        return moment.replace(tzinfo=moment.tzinfo or datetime.UTC).timestamp()
    except (ValueError, TypeError, IndexError, OverflowError):
        return None


@attrs.frozen(kw_only=True)
class NoticeNews:
    """What was new in a notice: a new or longer rest, a shutdown, unusable values."""

    rests: bool = False
    leaves: bool = False
    is_unusable: bool = False


@attrs.frozen
class EndedRest:
    """An expired rest: its total length, and how many requests were sent meanwhile."""

    endpoint: str
    rest_s: float
    sent_since: int


@attrs.define
class Withdrawal:
    """Whether an incarnation takes requests from this box, by its own announcements.

    If rests overlap, the latest end applies.

    >>> withdrawal = Withdrawal()
    >>> [withdrawal.apply(Notice(rest_s=s), at_s).rests for s, at_s in ((3.0, 10.0), (1.0, 10.5))]
    [True, False]
    >>> withdrawal.until_s, withdrawal.is_in_effect(12.9), withdrawal.is_in_effect(13.0)
    (13.0, True, False)
    >>> withdrawal.apply(Notice(leaves=True), 14.0).leaves, withdrawal.until_s
    (True, inf)
    """

    rest_from_s: float = float("-inf")
    rest_until_s: float = float("-inf")
    leaves: bool = False
    heard_at_s: float = float("-inf")
    sent_since: int = 0
    """Requests that were already on their way out when it asked for rest, and were sent."""
    has_sent_unusable: bool = False

    @property
    def until_s(self) -> float:
        """When it takes requests again; infinite once it shuts down."""
        return float("inf") if self.leaves else self.rest_until_s

    @property
    def is_blank(self) -> bool:
        """Tell whether no announcement applies."""
        return self.until_s == float("-inf") and not self.has_sent_unusable

    def is_in_effect(self, now_s: float) -> bool:
        """Tell whether it takes no requests now."""
        return now_s < self.until_s

    def outlives_listing(self, now_s: float) -> bool:
        """Tell whether it must be kept although its endpoint is not listed."""
        return now_s < max(self.rest_until_s, self.heard_at_s + LEAVING_TTL_S * self.leaves)

    def apply(self, notice: Notice, now_s: float) -> NoticeNews:
        """Apply a notice whose response head was read at ``now_s``; return what is new."""
        until_s = now_s + notice.rest_s if notice.rest_s else float("-inf")
        heard = NoticeNews(
            rests=until_s > self.rest_until_s,
            leaves=notice.leaves and not self.leaves,
            is_unusable=bool(notice.unusable) and not self.has_sent_unusable,
        )
        if heard.rests:
            if now_s >= self.rest_until_s:
                self.rest_from_s = now_s
                self.sent_since = 0
            self.rest_until_s = until_s
        self.leaves = self.leaves or notice.leaves
        self.heard_at_s = now_s
        self.has_sent_unusable = self.has_sent_unusable or heard.is_unusable
        return heard

    def end_rest(self, now_s: float) -> tuple[float, int] | None:
        """Clear an expired rest; return its length and the requests sent meanwhile, or ``None``."""
        if not float("-inf") < self.rest_until_s <= now_s:
            return None
        ended = (self.rest_until_s - self.rest_from_s, self.sent_since)
        self.rest_from_s = self.rest_until_s = float("-inf")
        return ended
