"""Outlier detection: holds off endpoints that fail more than their peers, fleet-wide.

One router sees too few requests to tell bad luck from an endpoint that fails part of them while its
health check passes. So each router reports its outcomes, and the control leader decides for all: an
endpoint that fails clearly more often than the others of its pool is held off for a while (no
router sends to it), and gets a few requests as a probe afterwards.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

HALF_LIFE_S = 2.0
"""Half-life of a request's weight: a decision rests on the last few seconds."""
MIN_FAILURES = 2.5
"""Weight of failures below which no endpoint is held off: three failures within a second or so."""
MIN_EXCESS = 0.2
"""How far an endpoint's failure rate must exceed twice that of its peers. The users' services fail
up to 0.05 of all their requests on a quiet day, and a failing endpoint 0.4 of them."""
FIRST_HOLD_S = 3.0
"""Length of the first hold; it doubles each time the endpoint fails again soon."""
MAX_HOLD_S = 12.0
"""Longest hold. According to the users' documents, such failures last five seconds or so."""
HOLD_RESET_S = 20.0
"""After this long without a new hold, the next one is as short as the first."""

Counts = Mapping[str, tuple[int, int]]
"""Succeeded and failed requests by endpoint, since the last report."""


@attrs.define
class _Record:
    """Decayed outcome counts of one endpoint, and its current or last hold."""

    succeeded: float = 0.0
    failed: float = 0.0
    at_s: float = 0.0
    held_until_s: float = float("-inf")
    hold_s: float = FIRST_HOLD_S / 2

    def decay(self, now_s: float) -> None:
        """Reduce the weight of earlier outcomes to that at ``now_s``."""
        factor = 0.5 ** ((now_s - self.at_s) / HALF_LIFE_S)
        self.succeeded *= factor
        self.failed *= factor
        self.at_s = now_s

    @property
    def total(self) -> float:
        return self.succeeded + self.failed


@attrs.frozen
class Hold:
    """A hold that starts now, with the figures behind it."""

    endpoint: str
    failed: float
    total: float
    peers_failure_rate: float
    hold_s: float


@attrs.define
class OutlierDetector:
    """Outcomes and holds of all endpoints, at the control leader.

    >>> detector = OutlierDetector()
    >>> detector.add({"a": (1, 4), "b": (9, 0), "c": (9, 1)}, 10.0)
    >>> [each.endpoint for each in detector.hold_off_outliers([("a", "b", "c")], 10.0)]
    ['a']
    >>> detector.held(12.0), detector.held(14.0)
    (('a',), ())
    """

    _records: dict[str, _Record] = attrs.field(factory=dict)

    def add(self, counts: Counts, now_s: float) -> None:
        """Add a router's report; outcomes at an endpoint that is held off count too."""
        for endpoint, (succeeded, failed) in counts.items():
            record = self._records.setdefault(endpoint, _Record(at_s=now_s))
            record.decay(now_s)
            record.succeeded += succeeded
            record.failed += failed

    def hold_off_outliers(self, pools: Iterable[tuple[str, ...]], now_s: float) -> list[Hold]:
        """Hold off endpoints that fail more than their peers; return the new holds.

        Never more than half of a pool is held off at once.
        """
        holds = []
        for pool in pools:
            records = {name: self._records[name] for name in pool if name in self._records}
            for record in records.values():
                record.decay(now_s)
            held = sum(record.held_until_s > now_s for record in records.values())
            for name, record in records.items():
                if held + 1 > len(pool) / 2 or record.held_until_s > now_s:
                    continue
                peers_failure_rate = _failure_rate_of_others(name, records)
                if _fails_more(record, peers_failure_rate):
                    failed, total = record.failed, record.total
                    _start_hold(record, now_s)
                    held += 1
                    holds.append(Hold(name, failed, total, peers_failure_rate, record.hold_s))
        return holds

    def held(self, now_s: float) -> tuple[str, ...]:
        """Return the endpoints that are held off now, sorted."""
        return tuple(
            name for name, record in sorted(self._records.items()) if record.held_until_s > now_s
        )

    def retain(self, endpoints: set[str]) -> None:
        """Drop all endpoints but these."""
        for name in set(self._records) - endpoints:
            del self._records[name]


def _failure_rate_of_others(name: str, pool: Mapping[str, _Record]) -> float:
    """Return the failure rate of a pool without one of its endpoints."""
    others = [each for other, each in pool.items() if other != name]
    total = sum(each.total for each in others)
    return sum(each.failed for each in others) / total if total > 0 else 0.0


def _fails_more(record: _Record, peers_failure_rate: float) -> bool:
    """Tell whether an endpoint fails clearly more often than its peers."""
    if record.failed < MIN_FAILURES:
        return False
    return record.failed / record.total >= MIN_EXCESS + 2 * peers_failure_rate


def _start_hold(record: _Record, now_s: float) -> None:
    """Start a hold, twice as long as the last one if that was recent."""
    if now_s - record.held_until_s > HOLD_RESET_S:
        record.hold_s = FIRST_HOLD_S / 2
    record.hold_s = min(MAX_HOLD_S, 2 * record.hold_s)
    record.held_until_s = now_s + record.hold_s
    # Only new requests count after the hold.
    record.succeeded = record.failed = 0.0
