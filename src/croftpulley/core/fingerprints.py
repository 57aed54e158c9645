"""What names a request that comes again: it has another id, another box, often another connection.

The caller's workspace, the method, the host, the path with its query and the body are the same
each time. Headers are not looked at: they may differ from one try to the next (the remaining time,
the event after which a stream goes on).

Requests under which endpoints end may have less in common: a *feature* is a whole request, named by
its fingerprint, or one part of its prompt but the last, which is its own; requests of any caller
may share a part.
"""

from __future__ import annotations

import functools
import hashlib

_DIGEST_BYTES = 16
"""128 bits: nobody finds two requests of one fingerprint by trying, and it stays short in messages,
of which a leading control box may hold thousands."""
_LENGTH_BYTES = 8
_PART_PREFIX = "part-"
_LONGEST_NAME = 64
"""Of a part, as callers name it; what is longer is named by its digest."""
_MOST_NAMES = 8192
"""Kept, so that parts that come again and again are named by one look-up."""


def fingerprint(workspace: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request, in hexadecimal digits.

    Each part goes in with its length, the workspace first: no request of one workspace can be made
    to look like one of another. Requests without a key share the workspace of the empty name.

    >>> fingerprint("clinic", "POST", "a.example", "/x", b"") == fingerprint(
    ...     "clinic", "POST", "A.example:80", "/x", b"")
    True
    >>> fingerprint("a", "bc", "", "/", b"") == fingerprint("ab", "c", "", "/", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    name = host.lower().partition(":")[0]
    for part in (workspace, method, name, target):
        _add(digest, part.encode())
    _add(digest, body)
    return digest.hexdigest()


def _add(digest: hashlib.blake2b, part: bytes) -> None:
    digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
    digest.update(part)


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
