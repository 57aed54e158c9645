"""Decodes what operators submit, in one thread of the process.

Decoded, a document takes up to thirty times its size. In one thread, no two are decoded at the same
time, and the memory that the allocator keeps for each thread that once needed it is kept once.
"""

from __future__ import annotations

import concurrent.futures
import traceback
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")
D = TypeVar("D", bytes, str)

_THREAD = concurrent.futures.ThreadPoolExecutor(max_workers=1, thread_name_prefix="decoding")


def decode(function: Callable[[D], T], document: D) -> T:
    """Return what ``function`` makes of a document, or raise what it raises."""
    return _THREAD.submit(_call, function, document).result()


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
