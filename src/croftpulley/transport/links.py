"""A kept HTTP connection to another of our processes, for short messages.

The time limit of a call holds for connecting and for each wait for bytes, so that a link that was
cut without a word is noticed within one call; an answer that trickles in may take longer. All
messages sent this way may be repeated.
"""

from __future__ import annotations

import urllib3
import urllib3.exceptions

from croftpulley import codes, errors
from croftpulley.observe import metrics

_HEADERS = {"Content-Type": "application/json"}
_NO_RETRIES = urllib3.Retry(total=0, redirect=False)


def unreachable(address: str, problem: str) -> errors.CroftpulleyError:
    """Make the error for a message that got no answer; it may have been handled."""
    return errors.CroftpulleyError(
        codes.ResultCode.CONTROL_UNREACHABLE,
        f"{address}: {problem}",
        run_state=codes.RunState.UNKNOWN,
    )


class Link:
    """Kept connections to one address, one by default, made again whenever they broke."""

    def __init__(
        self, address: str, timeout_s: float, counters: metrics.Metrics, connections: int = 1
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._counters = counters
        timeout = urllib3.Timeout(connect=timeout_s, read=timeout_s)
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), timeout=timeout, maxsize=connections, block=False, retries=_NO_RETRIES
        )

    def post(self, path: str, body: bytes) -> bytes:
        """Send a message and return the answer's body.

        Raises `errors.CroftpulleyError`: CONTROL_UNREACHABLE without an answer, BAD_REQUEST for an
        answer that is not a success.
        """
        try:
            response = self._pool.request("POST", path, body=body, headers=_HEADERS)
        except (urllib3.exceptions.HTTPError, OSError) as failure:
            self._counters.control_failed(path)
            problem = f"{path}: {type(failure).__name__}: {failure}"
            raise unreachable(self.address, problem) from failure
        self._counters.control_bytes(path, len(body), len(response.data))
        if response.status != 200:
            raise errors.CroftpulleyError(
                codes.ResultCode.BAD_REQUEST,
                f"{self.address}{path}: got status {response.status}",
            )
        return response.data

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()


class Links:
    """One link an address, made when first asked for.

    For the messages of one thread, or of several that use its ``connections`` at once and take
    turns with the links themselves.
    """

    def __init__(self, timeout_s: float, counters: metrics.Metrics, connections: int = 1) -> None:
        self._connections = connections
        self._timeout_s = timeout_s
        self._counters = counters
        self._links: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Return the link to ``address``."""
        if address not in self._links:
            self._links[address] = Link(address, self._timeout_s, self._counters, self._connections)
        return self._links[address]

    def keep(self, addresses: set[str]) -> None:
        """Close the links to all other addresses."""
        for address in set(self._links) - addresses:
            self._links.pop(address).close()
