"""What requests under which endpoints end may have in common, by names that stay the same.

A request is one feature by itself, named by its fingerprint (`core.fingerprints`); each part of its
prompt but the last, which is its own, is another that requests of any caller may share.
"""

from __future__ import annotations

import functools
import hashlib

_PART_PREFIX = "part-"
_LONGEST_NAME = 64
"""Of a part, as callers name it; what is longer is named by its digest."""
_DIGEST_BYTES = 16
_MOST_NAMES = 8192
"""Kept, so that parts that come again and again are named by one look-up."""


@functools.lru_cache(maxsize=_MOST_NAMES)
def of_part(part: str) -> str:
    """Return the name of the feature that a part of a prompt is.

    Parts are named in hexadecimal digits, in upper or lower case.

    >>> of_part("91BD3f06"), of_part("a/b") == of_part("a/c"), is_part(of_part("91"))
    ('part-91bd3f06', False, True)
    """
    name = part.lower()
    if len(name) > _LONGEST_NAME or not (name.isascii() and name.isalnum()):
        name = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    return _PART_PREFIX + name


def is_part(feature: str) -> bool:
    """Tell whether a feature is a part of a prompt."""
    return feature.startswith(_PART_PREFIX)
