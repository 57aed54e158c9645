"""Counts by endpoint as plain numbers, in the order of a list that both sides hold.

An answer to a renewal names no endpoint for its load: that took 18 bytes an endpoint and figure,
four times a second to each router; a number takes two or three, and a row of zeros one number.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs


@attrs.frozen
class Load:
    """Requests in flight and prompt tokens still to be read, by endpoint.

    ``resting_s`` is for how long endpoints want nothing from the box, by their own words, and
    ``unreached`` the pools of which it reaches no endpoint.
    """

    in_flight: dict[str, int] = attrs.field(factory=dict)
    reading_tokens: dict[str, int] = attrs.field(factory=dict)
    resting_s: dict[str, float] = attrs.field(factory=dict)
    unreached: tuple[str, ...] = ()


def in_order(counts: Mapping[str, int], keys: Iterable[str]) -> tuple[int, ...]:
    """Return the counts of ``keys`` in their order; what no key has is left out.

    A negative number stands for so many zeros; those at the end are left out.

    >>> in_order({"f": 2, "h": 1, "gone": 7}, ("e", "f", "g", "g2", "h", "i"))
    (-1, 2, -2, 1)
    """
    numbers: list[int] = []
    zeros = 0
    for key in keys:
        count = counts.get(key, 0)
        if count <= 0:
            zeros += 1
            continue
        if zeros:
            numbers.append(-zeros)
            zeros = 0
        numbers.append(count)
    return tuple(numbers)


def by_key(numbers: Sequence[int], keys: Sequence[str]) -> dict[str, int]:
    """Return the counts that are not 0 by their keys.

    >>> by_key((-1, 2, -2, 1), ("e", "f", "g", "g2", "h", "i"))
    {'f': 2, 'h': 1}
    """
    return {keys[position]: count for position, count in _placed(numbers) if position < len(keys)}


def _placed(numbers: Sequence[int]) -> Iterator[tuple[int, int]]:
    position = 0
    for number in numbers:
        if number < 0:
            position -= number
            continue
        yield position, number
        position += 1
