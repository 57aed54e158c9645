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
            reply = self._taken_elsewhere(exchange)
            if reply is not None:
                return reply
        try:
            return proceed(exchange)
        except errors.CroftpulleyError:
            if not self._may_hand_over(exchange):
                raise
        return self._elsewhere(exchange)

    def _is_lost(self, exchange: base.Exchange) -> bool:
        return exchange.pool in self._known.lost

    def _may_hand_over(self, exchange: base.Exchange) -> bool:
        """Tell whether no endpoint that was asked was reached, and another box may reach one.

        Where this box reached any other endpoint lately, those that were asked have ended.
        """
        log = exchange.attempts.attempts
        is_unsent = bool(log) and all(each.phase is attempts.Phase.UNSENT for each in log)
        # A suspect is tried by the box that has the permission.
        is_free = exchange.token.reason is None and not exchange.trial
        return is_unsent and is_free and not self._known.is_reached(exchange.pool)

    def _taken_elsewhere(self, exchange: base.Exchange) -> base.ForwardReply | None:
        """Return another box's answer, ``None`` if this one should ask endpoints all the same.

        Where nobody else takes the request, and connections are made, endpoints may just be slow.
        """
        try:
            return self._elsewhere(exchange)
        except errors.CroftpulleyError as failure:
            is_for_us = failure.code is codes.ResultCode.OUT_OF_REACH and exchange.hop is None
            if not is_for_us or self._known.is_refused(exchange.pool):
                raise
        return None

    def _elsewhere(self, exchange: base.Exchange) -> base.ForwardReply:
        if exchange.hop is None:
            return self._ways.reply(exchange)
        raise errors.CroftpulleyError(
            codes.ResultCode.OUT_OF_REACH, f"pool {exchange.pool!r} is not reached from here either"
        )
