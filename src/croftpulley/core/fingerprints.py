"""What names a request that comes again: it has another id, another box, often another connection.

The caller's workspace, the method, the host, the path with its query and the body are the same
each time. Headers are not looked at: they may differ from one try to the next (the remaining time,
the event after which a stream goes on).
"""

from __future__ import annotations

import hashlib

_DIGEST_BYTES = 16
"""128 bits: nobody finds two requests of one fingerprint by trying, and it stays short in messages,
of which a leading control box may hold thousands."""
_LENGTH_BYTES = 8


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
