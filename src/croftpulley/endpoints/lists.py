"""Protocol-independent interface of the platform's endpoint list."""

from __future__ import annotations

import abc
import collections
import enum
import time
from collections.abc import Iterable
from typing import Any

import attrs
import urllib3

from croftpulley import codes, errors
from croftpulley.core import membership, withdrawal

_RETRY_LATER_STATUSES = (429, 503)
"""Statuses that ask the client to retry later."""


class Defect(enum.Enum):
    """Why an entry of the list is invalid."""

    NOT_AN_OBJECT = "not_an_object"
    UNREADABLE = "unreadable"
    """Its bytes are not valid JSON or UTF-8."""
    FIELD_MISSING = "field_missing"
    FIELD_TYPE = "field_type"
    UNKNOWN_STATE = "unknown_state"
    BAD_ADDRESS = "bad_address"
    NO_START_TIME = "no_start_time"
    """It lacks the endpoint's start time, which other entries of the list have."""


class RetryLaterError(errors.CroftpulleyError):
    """The platform asks to read the list later; ``wait_s`` is how long to wait, 0 if unknown."""

    def __init__(self, detail: str, wait_s: float = 0.0) -> None:
        super().__init__(codes.ResultCode.ENGINE_REFUSED, detail)
        self.wait_s = wait_s


def check_readable(response: urllib3.HTTPResponse, path: str) -> None:
    """Raise `RetryLaterError` if the status asks to read the list later."""
    if response.status not in _RETRY_LATER_STATUSES:
        return
    headers = response.headers
    value = headers.get("Retry-After", "")
    wait_s = withdrawal.parse_retry_after(value, headers.get("Date", ""), time.time())
    raise RetryLaterError(f"{path}: got status {response.status}", wait_s or 0.0)


@attrs.frozen
class InvalidEntry:
    """An invalid entry: the kind of defect, and a description of the problem."""

    defect: Defect
    problem: str


@attrs.frozen
class ListSnapshot:
    """The list as read once; an invalid entry does not affect the others.

    ``cold_remaining_s`` maps endpoints' keys to the seconds for which they are still cold.
    """

    endpoints: tuple[membership.Endpoint, ...] = ()
    invalid_entries: tuple[InvalidEntry, ...] = ()
    cold_remaining_s: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_entries(cls, decoded: Iterable[membership.Endpoint | InvalidEntry]) -> ListSnapshot:
        """Create it from decoded entries in the order of the list."""
        endpoints: list[membership.Endpoint] = []
        spoiled: list[InvalidEntry] = []
        for each in decoded:
            if isinstance(each, InvalidEntry):
                spoiled.append(each)
            else:
                endpoints.append(each)
        return cls(tuple(endpoints), tuple(spoiled))

    def count_defects(self) -> dict[str, int]:
        """Return the number of invalid entries by defect."""
        return dict(collections.Counter(each.defect.value for each in self.invalid_entries))


def not_an_object(value: Any) -> InvalidEntry:
    """Return the invalid entry for a value that is no JSON object."""
    return InvalidEntry(Defect.NOT_AN_OBJECT, f"got {errors.shown(value)}, expected an object")


def invalid_field(name: str, value: Any, expected: str) -> InvalidEntry:
    """Return the invalid entry for a field that is missing or has the wrong type."""
    if value is None:
        return InvalidEntry(Defect.FIELD_MISSING, f"{name}: missing")
    return InvalidEntry(
        Defect.FIELD_TYPE, f"{name}: got {errors.shown(value)}, expected {expected}"
    )


MAX_COLD_S = 60.0
"""No endpoint is cold for longer: a longer time is a fault of the platform's entry, and the list
is read again anyway."""


def clamp_cold_s(reported_s: float) -> float:
    """Return the seconds for which an endpoint is cold by its entry, from 0 to the limit.

    Any float is accepted; NaN counts as 0.

    >>> [clamp_cold_s(reported_s) for reported_s in (-1, 0.5, 1e300, float("nan"))]
    [0.0, 0.5, 60.0, 0.0]
    """
    return min(reported_s, MAX_COLD_S) if reported_s > 0 else 0.0


class PlatformList(abc.ABC):
    """The platform's list of live endpoints and those shutting down; it may be out of date."""

    @abc.abstractmethod
    def read(self) -> ListSnapshot:
        """Read the list; raises `errors.CroftpulleyError` if it cannot be read as a whole."""
