"""Whether anybody listens at an endpoint's address."""

from __future__ import annotations

import socket


def listens(address: str, timeout_s: float) -> bool | None:
    """Connect and close; return ``None`` where nothing comes back, which tells nothing.

    A process that has ended leaves nobody who listens. One that is frozen, busy or behind a cut
    link refuses no connection.
    """
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout_s).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        return None
    return True
