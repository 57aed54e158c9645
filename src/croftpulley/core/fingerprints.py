"""Identifies a request that is sent again with another id, by another box or over another
connection.

The caller's workspace, the method, the host, the path with its query and the body are the same each
time. Headers are ignored: they may differ between attempts (the remaining time, the event after
which a stream resumes).

Requests that crash endpoints may have less in common. A *feature* is either a whole request,
identified by its fingerprint, or one part of its prompt. The last part is never a feature, as it
belongs to that request alone; requests of any caller may share the others.
"""

from __future__ import annotations

import functools
import hashlib

_DIGEST_BYTES = 16
"""128 bits: infeasible to find two requests with one fingerprint by trial, and still short in
messages, of which a control leader may hold thousands."""
_LENGTH_BYTES = 8
_PART_PREFIX = "part-"
_MAX_NAME_LENGTH = 64
"""Longest part name, as chosen by callers, that is used as it is; a longer one is replaced by its
digest."""
_NAME_CACHE_SIZE = 8192
"""Cache size, so that recurring parts are named by one look-up."""


def fingerprint(workspace: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request, in hexadecimal digits.

    Each component is hashed with its length, the workspace first, so no request can be crafted to
    match one of another workspace. Requests without an API key share the workspace with the empty
    name.

    >>> fingerprint("clinic", "POST", "a.example", "/x", b"") == fingerprint(
    ...     "clinic", "POST", "A.example:80", "/x", b"")
    True
    >>> fingerprint("a", "bc", "", "/", b"") == fingerprint("ab", "c", "", "/", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    name = host.lower().partition(":")[0]
    for component in (workspace, method, name, target):
        _hash_component(digest, component.encode())
    _hash_component(digest, body)
    return digest.hexdigest()


def _hash_component(digest: hashlib.blake2b, component: bytes) -> None:
    """Hash a component with its length."""
    digest.update(len(component).to_bytes(_LENGTH_BYTES, "big"))
    digest.update(component)


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def part_feature(part: str) -> str:
    """Return the feature name of a prompt part.

    Part names are usually hexadecimal digits, in upper or lower case.

    >>> part_feature("91BD3f06"), is_part(part_feature("91"))
    ('part-91bd3f06', True)
    >>> part_feature("a/b") == part_feature("a/c")
    False
    """
    name = part.lower()
    if len(name) > _MAX_NAME_LENGTH or not (name.isascii() and name.isalnum()):
        name = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    return _PART_PREFIX + name


def is_part(feature: str) -> bool:
    """Tell whether a feature is a prompt part, not a whole request."""
    return feature.startswith(_PART_PREFIX)
