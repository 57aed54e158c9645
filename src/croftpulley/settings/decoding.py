"""Decodes what operators submit, in one thread of the process.

Decoded, a document takes up to thirty times its size. In one thread, no two are decoded at the same
time, and the memory that the allocator keeps for each thread that once needed it is kept once. A
document of far more values than a configuration of its size has is refused before.
"""

from __future__ import annotations

import concurrent.futures
import traceback
from collections.abc import Callable
from typing import TypeVar

from croftpulley import codes, errors

MOST_VALUES = 1_000_000
"""Twice those of a configuration of 8 MiB."""

T = TypeVar("T")
D = TypeVar("D", bytes, str)

_THREAD = concurrent.futures.ThreadPoolExecutor(max_workers=1, thread_name_prefix="decoding")


def decode(function: Callable[[D], T], document: D) -> T:
    """Return what ``function`` makes of a document, or raise what it raises.

    Raises `errors.CroftpulleyError` (CONFIGURATION_INVALID) for more than `MOST_VALUES`.
    """
    values = _count_values(document)
    if values > MOST_VALUES:
        raise errors.CroftpulleyError(
            codes.ResultCode.CONFIGURATION_INVALID,
            f"got some {values} values, allowed are {MOST_VALUES}",
        )
    return _THREAD.submit(_call, function, document).result()


def _count_values(document: bytes | str) -> int:
    """Return about how many values a document has; what separates them may stand in texts too."""
    if isinstance(document, bytes):
        return sum(map(document.count, (b",", b"[", b"{")))
    return sum(map(document.count, (",", "[", "{")))


def _call(function: Callable[[D], T], document: D) -> T:
    try:
        return function(document)
    except Exception as failure:
        _clear_frames(failure)
        raise


def _clear_frames(failure: BaseException | None) -> None:
    """Have an error keep nothing of what the calls held that it has left."""
    while failure is not None:
        traceback.clear_frames(failure.__traceback__)
        failure = failure.__cause__ or failure.__context__
