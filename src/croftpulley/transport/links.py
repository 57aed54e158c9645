"""Persistent HTTP connections to other processes of the fleet, for short messages.

The timeout of a call applies to connecting and to each read, so that a connection that was lost
without a reset is noticed within one call; an answer that arrives in small pieces may take longer,
up to a limit. All messages sent this way are safe to repeat.
"""

from __future__ import annotations

import urllib3
import urllib3.exceptions

from croftpulley import codes, errors
from croftpulley.endpoints import connection, sockets
from croftpulley.observe import metrics

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Of an answer: more than a hundred times the longest part of a configuration or of the log."""
_PIECES_TIMEOUT_SHARE = 10
"""What an answer in small pieces may take, in timeouts of its call."""
_HEADERS = {"Content-Type": "application/json"}
_NO_RETRIES = urllib3.Retry(total=0, redirect=False)


def unreachable_error(address: str, problem: str) -> errors.CroftpulleyError:
    """Return the error for a message without an answer; it may have been processed."""
    return errors.CroftpulleyError(
        codes.ResultCode.CONTROL_UNREACHABLE,
        f"{address}: {problem}",
        run_state=codes.RunState.UNKNOWN,
    )


class Link:
    """Persistent connections to one address, one by default; broken ones are reopened."""

    def __init__(
        self, address: str, timeout_s: float, counters: metrics.Metrics, connections: int = 1
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._counters = counters
        timeout = urllib3.Timeout(connect=timeout_s, read=timeout_s)
        self._pool = sockets.StrictPool(
            host,
            int(port),
            timeout=timeout,
            maxsize=connections,
            block=False,
            retries=_NO_RETRIES,
            total_timeout_s=_PIECES_TIMEOUT_SHARE * timeout_s,
        )

    def post(self, path: str, body: bytes) -> bytes:
        """Send a message and return the body of the response.

        Raises `errors.CroftpulleyError`: CONTROL_UNREACHABLE if there is no response, BAD_REQUEST
        if its status is not 200.
        """
        try:
            response = self._pool.request(
                "POST", path, body=body, headers=_HEADERS, preload_content=False
            )
            answer = sockets.read_whole(response, MAX_MESSAGE_BYTES)
        except connection.TRANSPORT_ERRORS as failure:
            self._counters.control_failed(path)
            problem = f"{path}: {type(failure).__name__}: {failure}"
            raise unreachable_error(self.address, problem) from failure
        self._counters.control_bytes(path, len(body), len(answer))
        if response.status != 200:
            raise errors.CroftpulleyError(
                codes.ResultCode.BAD_REQUEST,
                f"{self.address}{path}: got status {response.status}",
            )
        return answer

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()


class Links:
    """One link for each address, created on first use. Not thread-safe.

    Several threads may send over the same link at once, up to its ``connections``, but they must
    synchronize calls of this class.
    """

    def __init__(self, timeout_s: float, counters: metrics.Metrics, connections: int = 1) -> None:
        self._connections = connections
        self._timeout_s = timeout_s
        self._counters = counters
        self._links: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Return the link to ``address``, creating it on first use."""
        if address not in self._links:
            self._links[address] = Link(address, self._timeout_s, self._counters, self._connections)
        return self._links[address]

    def retain(self, addresses: set[str]) -> None:
        """Close and remove the links to all addresses but these."""
        for address in set(self._links) - addresses:
            self._links.pop(address).close()
