"""The check just before the first byte of a request is sent.

An endpoint is chosen before the connection is established, which may take a second. By then the
router's state may have changed: the endpoint asked for rest (a 503 with Retry-After), shuts down,
was evacuated, or turned cold. One check covers all these reasons.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, traffic
from croftpulley.core import retry_budget
from croftpulley.forwarding import base, place, service
from croftpulley.observe import events, metrics

_LOG = logging.getLogger(__name__)


class HeldBackError(errors.CroftpulleyError):
    """Nothing was sent, since the endpoint may no longer be sent requests."""

    def __init__(self, placed: place.PlacementDecision, reason: service.BlockReason) -> None:
        super().__init__(codes.ResultCode.DECLINED, f"{placed.endpoint.key}: {reason.value}")
        self.reason = reason


class PreSendCheck:
    """Checks whether an endpoint may still be sent a request that was placed there."""

    def __init__(
        self,
        view: actors.View[router_state.RouterState],
        counts: traffic.Traffic,
        pool_members: service.MemberCache,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._view = view
        self._counts = counts
        self._pool_members = pool_members
        self._counters = counters
        self._clock = clock

    def send_callback(
        self,
        exchange: base.Exchange,
        placed: place.PlacementDecision,
        repeat: retry_budget.Repeat | None,
    ) -> Callable[[], None]:
        """Return a callback for just before the first byte is sent and again after the last.

        Its first call raises `HeldBackError` if nothing may be sent.
        """
        is_checked = False

        def on_leaving() -> None:
            nonlocal is_checked
            if is_checked:
                self._counts.sent(placed.endpoint.key)
            else:
                self._check(exchange, placed)
            is_checked = True
            if repeat is not None:
                self._counts.mark_repeat_sent(repeat)
            if placed.send_record is not None:
                self._counts.mark_cold_sent(placed.send_record)

        return on_leaving

    def _check(self, exchange: base.Exchange, placed: place.PlacementDecision) -> None:
        reason = self._block_reason(exchange, placed)
        if reason is None:
            return
        self._counters.held_back(reason.value)
        events.emit(
            _LOG,
            events.Event.SEND_HELD_BACK,
            request_id=exchange.facts.request_id,
            endpoint=placed.endpoint.key,
            bar=reason.value,
        )
        raise HeldBackError(placed, reason)

    def _block_reason(
        self, exchange: base.Exchange, placed: place.PlacementDecision
    ) -> service.BlockReason | None:
        state = self._view.get()
        endpoint = placed.endpoint
        members = self._pool_members.members(
            state, exchange.pool, exchange.home_regions, exchange.required_version
        )
        listed = members.in_service.get(endpoint.key)
        if listed is None:
            return service.block_reason_by_list(members, state, endpoint.key)
        if listed.version != endpoint.version:
            # The response would be recorded under a version that did not produce it.
            return service.BlockReason.OTHER_VERSION
        now_s = self._clock.monotonic_s()
        if self._counts.is_withdrawn(endpoint.key):
            return service.BlockReason.WITHDRAWN
        if not state.may_be_cold:
            return None
        cold_quota_per_s = state.cold_quota(endpoint, now_s)
        if cold_quota_per_s is None or (cold_quota_per_s and placed.send_record is not None):
            return None
        return service.BlockReason.COLD
