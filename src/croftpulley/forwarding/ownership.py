"""Whose each header of a request is, and so whether an endpoint may see what the caller sent in it.

Engines obey some headers at the cost of other requests: memory kept, slots reserved, copies made.
Those are for the fleet to set. A caller who sends one is served as if it were not there.
"""

from __future__ import annotations

import enum
import functools

from croftpulley.forwarding import vocabulary


class Owner(enum.Enum):
    """Who sets a header, and what becomes of the one that the caller sent."""

    CALLER = "caller"
    """Passed on as it is."""
    FLEET = "fleet"
    """Never passed on: the endpoint gets the fleet's own value or none."""
    CONNECTION = "connection"
    """Of the one connection that it came on: never passed on."""


OF_ONE_CONNECTION = frozenset(
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
        # Written anew for the body as it is sent.
        "content-length",
    }
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""


@functools.cache
def owners(names: vocabulary.Vocabulary) -> dict[str, Owner]:
    """Return the owner of every header, by its name in lower case, that is not the caller's.

    >>> owners(vocabulary.OWN)["x-pin-ms"], owners(vocabulary.OWN).get("x-prompt-parts")
    (<Owner.FLEET: 'fleet'>, None)
    """
    of_fleet = (
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
        **dict.fromkeys(OF_ONE_CONNECTION, Owner.CONNECTION),
        **dict.fromkeys(of_fleet, Owner.FLEET),
    }


def owner(name: str, names: vocabulary.Vocabulary) -> Owner:
    """Return whose a header is; ``name`` may be in any spelling of its letters.

    >>> owner("X-Pin-Ms", vocabulary.OWN).name, owner("Accept-Language", vocabulary.OWN).name
    ('FLEET', 'CALLER')
    """
    return owners(names).get(name.lower(), Owner.CALLER)
