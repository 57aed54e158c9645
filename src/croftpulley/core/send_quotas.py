"""Send quotas for cold endpoints, which fail when they get too many requests.

An endpoint that has just started, or was idle for long, takes a configured number of requests per
second and fails well above that. Boxes share no memory, so the leading control box allocates
quotas: it opens each cold endpoint to a few boxes and tells each of them how many requests it may
send within any second. A box without a quota sends nothing. A quota expires by itself, and is given
to another box only once everything that the first box sent is at least a second old.

An even division among all boxes would need no leader, but a box can't send a fraction of a request:
80 boxes that may each send one request in four seconds can all send it in the same second.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from croftpulley.core import rendezvous

WINDOW_S = 1.0
"""The length of the sliding window in which requests are counted."""
QUOTA_TTL_S = 1.0
"""How long a quota is valid. Three further renewals may fail before it expires."""
CLOCK_MARGIN_S = 0.1
"""Allowance for clock drift while a quota is valid, and for a request that is sent late."""
RETURNED_HALL_COLD_S = 2.5
"""How long the endpoints of a data hall that returns to service count as cold. They may have turned
cold while they got no requests. By the users' settings, the list of endpoints shows that 0.8 s
later; it is read every 0.5 s and reaches boxes with their next renewal."""


@attrs.define
class _BoxQuota:
    """What one box may send in a second; available to other boxes from ``reusable_at_s`` on."""

    per_s: int
    reusable_at_s: float


@attrs.define
class _EndpointQuota:
    """The division of an endpoint's limit of ``total`` requests per second among boxes.

    ``target`` is the intended division. ``by_box`` is what boxes hold at present; together they
    never exceed ``total``.
    """

    total: int
    boxes: Sequence[str]
    target: dict[str, int]
    by_box: dict[str, _BoxQuota] = attrs.field(factory=dict)

    def drop_expired(self, now_s: float) -> None:
        """Drop the quotas of boxes whose requests are all older than the window."""
        for box, part in list(self.by_box.items()):
            if now_s >= part.reusable_at_s:
                del self.by_box[box]

    def renew(self, box: str, now_s: float) -> int:
        """Renew the quota of a box and return its size, which is 0 if the box gets none."""
        held = self.by_box.setdefault(box, _BoxQuota(0, now_s))
        free = self.total - sum(each.per_s for each in self.by_box.values())
        granted = min(self.target.get(box, 0), held.per_s + free)
        if granted:
            self.by_box[box] = _BoxQuota(max(held.per_s, granted), now_s + _QUOTA_HOLD_S)
        return granted


@attrs.define
class QuotaAllocator:
    """Allocates the quotas of all cold endpoints, at the leading control box.

    >>> allocator = QuotaAllocator()
    >>> allocator.begin(now_s=0.0)
    >>> [allocator.renew_quota("e", 4.0, "a", ("a", "b"), now_s) for now_s in (1.0, 9.0)]
    [0, 2]
    """

    _allocates_from_s: float = float("-inf")
    _by_endpoint: dict[str, _EndpointQuota] = attrs.field(factory=dict)

    def begin(self, now_s: float) -> None:
        """Start a term as leader.

        Nothing is allocated until the quotas of the previous leader have expired.
        """
        self._by_endpoint.clear()
        self._allocates_from_s = now_s + _QUOTA_HOLD_S

    def renew_quota(
        self, endpoint: str, max_per_s: float, box: str, boxes: Sequence[str], now_s: float
    ) -> int:
        """Renew the quota of ``box`` for ``endpoint`` and return how many requests it may send.

        The number applies to any second and is valid for `QUOTA_TTL_S`. ``boxes`` are the boxes in
        service. Quotas go to the boxes that the endpoint's rendezvous order prefers, so that
        several cold endpoints are open to different boxes.
        """
        if now_s < self._allocates_from_s:
            return 0
        quota = self._by_endpoint.get(endpoint)
        if quota is None:
            total = max(1, int(max_per_s))
            quota = _EndpointQuota(total, boxes, _divide(endpoint, total, boxes))
            self._by_endpoint[endpoint] = quota
        if quota.boxes != boxes:
            quota.boxes = boxes
            quota.target = _divide(endpoint, quota.total, boxes)
        quota.drop_expired(now_s)
        return quota.renew(box, now_s)

    def drop_unused(self, now_s: float) -> None:
        """Drop the endpoints for which no box holds a quota any more."""
        for endpoint, quota in list(self._by_endpoint.items()):
            quota.drop_expired(now_s)
            if not quota.by_box:
                del self._by_endpoint[endpoint]


_QUOTA_HOLD_S = QUOTA_TTL_S + WINDOW_S + CLOCK_MARGIN_S


def _divide(endpoint: str, total: int, boxes: Sequence[str]) -> dict[str, int]:
    """Divide an endpoint's limit in whole requests among as many boxes as possible."""
    each, rest = divmod(total, max(1, len(boxes)))
    ordered = rendezvous.rendezvous_order(endpoint, boxes)[:total]
    return {box: each + (position < rest) for position, box in enumerate(ordered)}


@attrs.define
class SendRecord:
    """A request to a cold endpoint. ``sent_at_s``, when its last byte left, is infinite before."""

    sent_at_s: float = float("inf")


@attrs.define
class SendLimiter:
    """Limits what one box sends to each cold endpoint within the window.

    A box that has just started doesn't know what it sent before, so it sends nothing until
    ``open_from_s``.

    >>> limiter = SendLimiter()
    >>> first = limiter.try_reserve("e", 1, 0.0)
    >>> limiter.may_send("e", 1, 5.0)
    False
    >>> first.sent_at_s = 5.0
    >>> limiter.may_send("e", 1, 5.9), limiter.may_send("e", 1, 6.2)
    (False, True)
    """

    open_from_s: float = float("-inf")
    _sent: dict[str, list[SendRecord]] = attrs.field(factory=dict)

    @classmethod
    def after_restart(cls, now_s: float) -> SendLimiter:
        """Return the limiter of a box that starts now."""
        return cls(now_s + WINDOW_S + CLOCK_MARGIN_S)

    def may_send(self, endpoint: str, quota_per_s: int, now_s: float) -> bool:
        """Return whether one more request is within the box's quota."""
        since_s = now_s - WINDOW_S - CLOCK_MARGIN_S
        counted = [each for each in self._sent.get(endpoint, ()) if each.sent_at_s > since_s]
        if counted:
            self._sent[endpoint] = counted
        else:
            self._sent.pop(endpoint, None)
        return now_s >= self.open_from_s and len(counted) < quota_per_s

    def try_reserve(self, endpoint: str, quota_per_s: int, now_s: float) -> SendRecord | None:
        """Count a request against the quota; return its record, or ``None`` if the quota is used
        up.

        The request counts until the window has passed since ``sent_at_s`` of the record, which the
        sender sets.
        """
        if not self.may_send(endpoint, quota_per_s, now_s):
            return None
        departure = SendRecord()
        self._sent.setdefault(endpoint, []).append(departure)
        return departure


def encode_quotas(quotas_per_s: Mapping[str, int]) -> dict[str, int]:
    """Return quotas as they are sent to a box: each plus 1, because counts of 0 aren't sent."""
    return {endpoint: count + 1 for endpoint, count in quotas_per_s.items()}


def decode_quotas(counts: Mapping[str, int]) -> dict[str, int]:
    """Return the quotas that `encode_quotas` encoded.

    >>> decode_quotas(encode_quotas({"e": 0, "f": 2}))
    {'e': 0, 'f': 2}
    """
    return {endpoint: count - 1 for endpoint, count in counts.items()}
