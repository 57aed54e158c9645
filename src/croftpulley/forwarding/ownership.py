"""Decides which request headers of a caller are forwarded to an endpoint.

Some headers have an engine spend resources at the cost of other requests: retain memory, reserve
slots, make copies. Only the fleet may set those; one that a caller sends is ignored.
"""

from __future__ import annotations

import enum
import functools

from croftpulley.forwarding import vocabulary


class Owner(enum.Enum):
    """Who sets a header, and whether a caller's value is forwarded."""

    CALLER = "caller"
    """Forwarded unchanged."""
    FLEET = "fleet"
    """Never forwarded: the endpoint gets the fleet's own value or none."""
    CONNECTION = "connection"
    """Hop-by-hop: valid for one connection only, never forwarded."""


HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        # Computed again for the body that is sent.
        "content-length",
    }
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and those computed again for each hop."""


@functools.cache
def owners(names: vocabulary.HeaderNames) -> dict[str, Owner]:
    """Return the owner of each header that callers don't own, by its name in lower case.

    >>> names = vocabulary.FLEET_HEADER_NAMES
    >>> owners(names)["x-pin-ms"], owners(names).get("x-prompt-parts")
    (<Owner.FLEET: 'fleet'>, None)
    """
    fleet_headers = (
        names.key,
        names.budget_ms,
        names.workspace,
        names.expected_incarnation,
        names.priority,
        names.cache_from,
        names.expected_weights,
        names.pin_ms,
        names.reservation,
        names.backup_to,
        names.resume_copy,
    )
    return {
        **dict.fromkeys(HOP_BY_HOP_HEADERS, Owner.CONNECTION),
        **dict.fromkeys(fleet_headers, Owner.FLEET),
    }


def owner(name: str, names: vocabulary.HeaderNames) -> Owner:
    """Return the owner of a header; ``name`` is not case-sensitive.

    >>> names = vocabulary.FLEET_HEADER_NAMES
    >>> owner("X-Pin-Ms", names).name, owner("Accept-Language", names).name
    ('FLEET', 'CALLER')
    """
    return owners(names).get(name.lower(), Owner.CALLER)
