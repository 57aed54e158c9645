"""Looks whether somebody still listens at the address of an endpoint."""

from __future__ import annotations

import random
from collections.abc import Iterable

from croftpulley.controllers import suspicion
from croftpulley.core import membership
from croftpulley.endpoints import dialing

_SILENT_TRIED = 2
"""Other endpoints of which nothing comes back, before a look takes this box for cut off; each takes
the whole time for a connection."""


def look(
    known: suspicion.Suspicion,
    endpoint: membership.Endpoint,
    listed: Iterable[membership.Endpoint],
    timeout_s: float,
    dialer: dialing.Dialer,
) -> None:
    """Look whether an endpoint is still there, and take what that shows.

    That nobody listens there is believed only while another listed endpoint can be reached: else
    this box may have lost its own links.
    """
    listens = dialer.listens(endpoint.address, timeout_s)
    others = [each for each in listed if each.key != endpoint.key]
    if listens is False and others and not _reaches_one(others, timeout_s, dialer):
        listens = None
    known.looked(endpoint, listens=listens)


def _reaches_one(
    endpoints: list[membership.Endpoint], timeout_s: float, dialer: dialing.Dialer
) -> bool:
    silent = 0
    for each in random.sample(endpoints, len(endpoints)):
        listens = dialer.listens(each.address, timeout_s)
        if listens:
            return True
        silent += listens is None
        if silent == _SILENT_TRIED:
            break
    return False
