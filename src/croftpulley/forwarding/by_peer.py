"""The step that hands requests to other boxes while this one reaches no endpoint of their pool."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import reach
from croftpulley.core import attempts
from croftpulley.forwarding import base, hops


class ByPeer(base.ForwardFilter):
    """Passes a request on, and hands it over where no endpoint of its pool is reached from here.

    A request that came by way of another box is refused instead.
    """

    def __init__(self, known: reach.Reach, ways: hops.Hops) -> None:
        self._known = known
        self._ways = ways

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Return the answer, whoever had it."""
        if self._is_lost(exchange):
            return self._elsewhere(exchange)
        try:
            return proceed(exchange)
        except errors.CroftpulleyError:
            if not self._may_hand_over(exchange):
                raise
        return self._elsewhere(exchange)

    def _is_lost(self, exchange: base.Exchange) -> bool:
        return exchange.pool in self._known.lost

    def _may_hand_over(self, exchange: base.Exchange) -> bool:
        """Tell whether nothing has left for an endpoint, and the way there is lost by now."""
        log = exchange.attempts.attempts
        is_unsent = bool(log) and all(each.phase is attempts.Phase.UNSENT for each in log)
        # A suspect is tried by the box that has the permission.
        is_free = exchange.token.reason is None and not exchange.trial
        return self._is_lost(exchange) and is_unsent and is_free

    def _elsewhere(self, exchange: base.Exchange) -> base.ForwardReply:
        if exchange.hop is None:
            return self._ways.reply(exchange)
        raise errors.CroftpulleyError(
            codes.ResultCode.OUT_OF_REACH, f"pool {exchange.pool!r} is not reached from here either"
        )
