"""The platform's list of endpoints, page by page, and what both programs share of it."""

from __future__ import annotations

import functools
import itertools
import operator
import re
import urllib.parse
from typing import Any

import attrs

from croftpulley import codes, errors
from croftpulley.core import membership
from croftpulley.endpoints import connection, lists
from croftpulley.interfaces import base
from croftpulley.platform import documents, entries, names

_PATH = "/instances"
_TIMEOUT_S = 0.8
"""The list answers within milliseconds; its reader must not miss its next turn."""
_MOST_PAGES = 200
"""At 50 entries a page more than the largest fleet that is built for."""
_MOST_STARTS = 2
"""How often one reading begins: a list that changes between two pages may refuse the token of a
page that is there no more, and the next reading comes within half a second anyway."""
_STATES = {"ready": False, "draining": True}
"""Every state that the platform knows, and whether an endpoint in it is leaving."""
_TEXTS = ("id", "service", "address", "zone", "version", "state")
_NUMBERS = ("slots", "coldRemainingMs")
_FIELDS = operator.itemgetter(*_TEXTS, *_NUMBERS)
_SOUND_TYPES = frozenset(
    (*(str for _ in _TEXTS), *kinds)
    for kinds in itertools.product((int, float), repeat=len(_NUMBERS))
)
_OCTET = "(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
_PORT = "(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
_ADDRESS = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}").fullmatch
_MOST_ADDRESSES = 4096
"""Remembered as well formed or not, about 1 MB: twice the endpoints of the largest fleet that is
built for, so that a list read twice a second has each address looked at once."""
_MOST_SLOTS = 100_000
"""Whoever tells more has none that could be counted on."""
_ENGINE = membership.EndpointKind.ENGINE
_WORKER = membership.EndpointKind.WORKER
_OLDEST_BORN_MS = 0
_LATEST_BORN_MS = 1 << 53
"""Whole numbers up to this one survive readers that use doubles."""


class _PageRefusedError(errors.CroftpulleyError):
    """A page was refused that another page had named."""


class InstanceList(lists.PlatformList):
    """Reads the list over HTTP.

    Where the list tells when endpoints started, an entry without that is spoiled; an installation
    whose list tells it of none works as well.
    """

    def __init__(self, address: str) -> None:
        self._target = connection.Target(address, _TIMEOUT_S, _TIMEOUT_S)
        self._tells_starts = False

    def read(self) -> lists.ListSnapshot:
        """Read all pages; raises `errors.CroftpulleyError`."""
        for _ in range(_MOST_STARTS - 1):
            try:
                return self._decoded(self._pages())
            except _PageRefusedError:
                # The list has changed under its pages: they are read from the first one again.
                continue
        return self._decoded(self._pages())

    def _pages(self) -> list[Any]:
        values: list[Any] = []
        token = ""
        seen: set[str] = set()
        while len(seen) < _MOST_PAGES:
            seen.add(token)
            page = self._page(token)
            values += page.values
            following = page.rest.get("nextPageToken")
            if following is None:
                return values
            if not isinstance(following, str):
                raise _broken(f"nextPageToken: got {errors.shown(following)}, expected a string")
            if following in seen:
                raise _broken(f"nextPageToken: got {errors.shown(following)} twice")
            token = following
        raise _broken(f"the list has more than {_MOST_PAGES} pages")

    def _page(self, token: str) -> entries.Entries:
        path = f"{_PATH}?{urllib.parse.urlencode({'pageToken': token})}" if token else _PATH
        request = connection.HttpRequest("GET", path)
        response, body = connection.send_and_read(self._target, request, connection.ENGINE_FAILURES)
        lists.check_readable(response, path)
        if response.status != 200:
            kind = _PageRefusedError if token and response.status < 429 else errors.CroftpulleyError
            raise kind(codes.ResultCode.ENGINE_REFUSED, f"{path}: got status {response.status}")
        return entries.parse(body, "instances")

    def _decoded(self, values: list[Any]) -> lists.ListSnapshot:
        self._tells_starts = self._tells_starts or any(_tells_start(each) for each in values)
        return decode(values, self._tells_starts)


def decode(values: list[Any], needs_start: bool) -> lists.ListSnapshot:
    """Decode entries; with ``needs_start`` one that lacks the time of its start is spoiled."""
    decoded = [_decode(each, needs_start) for each in values]
    cold_left_s = {
        each.key: lists.clamp_cold_s(value["coldRemainingMs"] / 1000)
        for value, each in zip(values, decoded, strict=True)
        if isinstance(each, membership.Endpoint) and value["coldRemainingMs"] > 0
    }
    return attrs.evolve(lists.ListSnapshot.from_entries(decoded), cold_remaining_s=cold_left_s)


def _tells_start(value: Any) -> bool:
    return isinstance(value, dict) and type(value.get(names.BORN)) is int


@functools.lru_cache(_MOST_ADDRESSES)
def _is_address(text: str) -> bool:
    return _ADDRESS(text) is not None


def _decode(value: Any, needs_start: bool) -> membership.Endpoint | lists.InvalidEntry:
    """Return the endpoint that an entry names, or why it names none."""
    if value is entries.UNREADABLE:
        return lists.InvalidEntry(lists.Defect.UNREADABLE, "got bytes that are no JSON in UTF-8")
    if not isinstance(value, dict):
        return lists.not_an_object(value)
    spoiled = None if _is_sound(value) else _spoiled_fields(value)
    spoiled = spoiled or _spoiled_rest(value, needs_start)
    if spoiled is not None:
        return spoiled
    # Only model engines have a stage.
    is_engine = value.get("stage") is not None
    return membership.Endpoint(
        value["id"],
        _ENGINE if is_engine else _WORKER,
        value["service"],
        value["address"],
        value["zone"],
        # What the endpoint answers to is its id, which may outlive a restart.
        value["id"],
        _STATES[value["state"]],
        value.get(names.BORN),
        _slots(value["slots"]),
        value["version"],
    )


def _slots(told: float) -> int:
    """Return how many slots an entry tells, 0 if that is no number of slots.

    >>> _slots(16), _slots(-1), _slots(0.5), _slots(float("inf"))
    (16, 0, 0, 0)
    """
    return int(told) if 1 <= told <= _MOST_SLOTS else 0


def _is_sound(entry: dict[str, Any]) -> bool:
    """Tell quickly whether the fields that every entry has are as they should be.

    A list of 2,000 endpoints is read twice a second by a box with a third of a core; what is wrong
    with the few entries that are not sound may take longer.
    """
    try:
        values = _FIELDS(entry)
    except KeyError:
        return False
    is_typed = tuple(map(type, values)) in _SOUND_TYPES and all(values[: len(_TEXTS)])
    return is_typed and entry["state"] in _STATES and _is_address(entry["address"])


def _spoiled_fields(entry: dict[str, Any]) -> lists.InvalidEntry | None:
    """Return what is wrong with the fields that every entry has."""
    for name in _TEXTS:
        value = entry.get(name)
        if type(value) is not str or not value:
            return lists.invalid_field(name, value, "a string that is not empty")
    for name in _NUMBERS:
        value = entry.get(name)
        if type(value) is not int and type(value) is not float:
            return lists.invalid_field(name, value, "a number")
    if entry["state"] not in _STATES:
        problem = f"state: got {errors.shown(entry['state'])}, expected one of {', '.join(_STATES)}"
        return lists.InvalidEntry(lists.Defect.UNKNOWN_STATE, problem)
    if not _is_address(entry["address"]):
        problem = f"address: got {errors.shown(entry['address'])}, expected an IP number and a port"
        return lists.InvalidEntry(lists.Defect.BAD_ADDRESS, problem)
    return None


def _spoiled_rest(entry: dict[str, Any], needs_start: bool) -> lists.InvalidEntry | None:
    """Return what is wrong with the fields that only some entries have."""
    stage = entry.get("stage")
    if stage is not None and type(stage) is not str:
        return lists.invalid_field("stage", stage, "a string")
    born_ms = entry.get(names.BORN)
    if born_ms is None:
        if not needs_start:
            return None
        return lists.InvalidEntry(lists.Defect.NO_START_TIME, f"{names.BORN}: missing")
    if type(born_ms) is int and _OLDEST_BORN_MS <= born_ms <= _LATEST_BORN_MS:
        return None
    return lists.invalid_field(names.BORN, born_ms, "a whole number of ms")


def _broken(problem: str) -> errors.CroftpulleyError:
    return errors.CroftpulleyError(codes.ResultCode.ENGINE_BROKE, problem)


class PlatformInterface(base.Interface):
    """The platform's form of a configuration, and its list of endpoints."""

    @property
    def documents(self) -> base.DocumentFormat:
        """The platform's form of a configuration."""
        return documents.PlatformDocuments()

    def endpoint_list(self, address: str) -> lists.PlatformList:
        """Make the reader of ``GET /instances``."""
        return InstanceList(address)
