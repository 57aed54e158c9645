"""Endpoints that send bytes without end, fall silent within an answer, or spoil its head."""

from __future__ import annotations

import random

from croftpulley.fakes import endless, faults
from soak import fleet, storms, troubles

_GAP_S = 0.8
"""Mean time between two endpoints that begin."""
_LONGEST_S = 1.5
_FRAMED = (
    faults.Fault.ENDLESS_INTERIM_HEADS,
    faults.Fault.ENDLESS_HEADERS,
    faults.Fault.ENDLESS_CHUNKS,
    faults.Fault.ENDLESS_TRAILERS,
)
_UNFRAMED = (
    faults.Fault.ENDLESS_BODY,
    faults.Fault.ENDLESS_LINES,
    faults.Fault.UNFRAMED,
    faults.Fault.UNFRAMED_SLOWLY,
    faults.Fault.UNFRAMED_SILENT,
)
"""Only where no endpoint ends: whether it has answered then, nothing on the wire tells."""
_SPOILT = (
    faults.Fault.SPOILT_LENGTH,
    faults.Fault.SPOILT_NAME,
    faults.Fault.NO_FIELD,
    faults.Fault.NO_STATUS,
)
_PARTS = tuple(
    fault
    for fault in endless.PARTS
    if fault
    not in (
        faults.Fault.ENDLESS_EVENTS,
        faults.Fault.ENDLESS_COMMENTS,
        faults.Fault.ENDLESS_EMPTY_LINES,
    )
)
"""The others are events of the endpoint's, which callers get."""
_FRAMED_PARTS = tuple(each for each in _PARTS if endless.PARTS[each].is_framed)
_MOST_IN_A_ROW = 6


def drawn(seed: int, site: fleet.Fleet, seconds_s: float) -> list[troubles.Timed]:
    """Return what goes wrong: one endpoint or several, each for a few requests."""
    kinds = _FRAMED if seed % 2 else (*_FRAMED, *_UNFRAMED)
    return _failures(random.Random(f"{seed} endless"), kinds, site, seconds_s)


def parts(seed: int, site: fleet.Fleet, seconds_s: float) -> list[troubles.Timed]:
    """Return the same with any part of an answer without end."""
    kinds = _FRAMED_PARTS if seed % 2 else _PARTS
    return _failures(random.Random(f"{seed} endless parts"), kinds, site, seconds_s)


def spoilt(seed: int, site: fleet.Fleet, seconds_s: float) -> list[troubles.Timed]:
    """Return the same with endpoints that spoil the heads of their answers."""
    return _failures(random.Random(f"{seed} spoilt"), _SPOILT, site, seconds_s)


def _failures(
    chance: random.Random,
    kinds: tuple[faults.Fault, ...],
    site: fleet.Fleet,
    seconds_s: float,
) -> list[troubles.Timed]:
    found = []
    at_s = chance.expovariate(1 / _GAP_S)
    while at_s < seconds_s:
        served = 2 * fleet.ENDPOINTS
        picks = tuple(chance.sample(range(served), chance.randint(1, served)))
        queue = tuple(chance.choices(kinds, k=chance.randint(1, _MOST_IN_A_ROW)))
        for_s = chance.uniform(troubles.RESTART_S, _LONGEST_S)
        found.append(troubles.Timed(at_s, for_s, storms.Failing(site, picks, queue)))
        at_s += chance.expovariate(1 / _GAP_S)
    return found
