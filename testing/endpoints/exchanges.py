"""Exchanges with a listener of a test."""

from __future__ import annotations

from croftpulley import cancel
from croftpulley.core import attempts
from croftpulley.endpoints import connection, dialing


def exchange_with(listener, dialer=dialing.DIRECT):
    """Return an exchange with what listens at a socket; it has not connected yet."""
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    return connection.Exchange(
        connection.Target(address, 1.0, 5.0),
        attempts.Attempt(1, "e"),
        cancel.CancelToken(),
        connection.WORKER_FAILURES,
        dialer,
    )
