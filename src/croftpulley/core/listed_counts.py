"""Encodes counts by endpoint as plain numbers, in the order of a list that both sides know.

The response to a renewal doesn't name the endpoints of its loads. Names took 18 bytes for each
endpoint and figure, four times a second for each router. A number takes two or three bytes, and a
run of zeros takes one number.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs


@attrs.frozen
class EndpointLoads:
    """Requests in flight and prompt tokens still to be prefilled, by endpoint.

    ``resting_s`` is for how long each endpoint has asked this box to send it nothing. ``unreached``
    lists the pools of which this box reaches no endpoint.
    """

    in_flight: dict[str, int] = attrs.field(factory=dict)
    reading_tokens: dict[str, int] = attrs.field(factory=dict)
    resting_s: dict[str, float] = attrs.field(factory=dict)
    unreached: tuple[str, ...] = ()


def encode_counts(counts: Mapping[str, int], keys: Iterable[str]) -> tuple[int, ...]:
    """Encode the counts of ``keys`` in their order; counts of other keys are ignored.

    A negative number stands for a run of that many zeros. Trailing zeros are omitted.

    >>> encode_counts({"f": 2, "h": 1, "gone": 7}, ("e", "f", "g", "g2", "h", "i"))
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


def decode_counts(numbers: Sequence[int], keys: Sequence[str]) -> dict[str, int]:
    """Decode the numbers of `encode_counts`. Return the counts other than 0 by key.

    >>> decode_counts((-1, 2, -2, 1), ("e", "f", "g", "g2", "h", "i"))
    {'f': 2, 'h': 1}
    """
    return {
        keys[position]: count for position, count in _positions(numbers) if position < len(keys)
    }


def _positions(numbers: Sequence[int]) -> Iterator[tuple[int, int]]:
    position = 0
    for number in numbers:
        if number < 0:
            position -= number
            continue
        yield position, number
        position += 1
