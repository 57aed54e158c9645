"""The step that forwards requests to other boxes if this one reaches no endpoint of a pool."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import reach
from croftpulley.core import attempts
from croftpulley.forwarding import base, hops


class ByPeer(base.ForwardFilter):
    """Forwards a request to another box if this one reaches no endpoint of its pool.

    A request that another box forwarded to this one is refused instead.
    """

    def __init__(self, known: reach.Reach, ways: hops.Hops) -> None:
        self._known = known
        self._ways = ways

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Return an endpoint's or another box's response; raises `errors.CroftpulleyError`."""
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
        """Tell whether no attempt reached an endpoint, and another box may reach one.

        If this box recently reached any other endpoint of the pool, those that it tried have ended.
        """
        log = exchange.attempts.attempts
        is_unsent = bool(log) and all(each.phase is attempts.Phase.UNSENT for each in log)
        # Only the box with the permission may send the trial of a suspect.
        is_free = exchange.token.reason is None and not exchange.trial
        return is_unsent and is_free and not self._known.is_reached(exchange.pool)

    def _taken_elsewhere(self, exchange: base.Exchange) -> base.ForwardReply | None:
        """Return another box's response, ``None`` if this box should try endpoints all the same.

        If no other box accepts the request, but connections to endpoints are established, the
        endpoints may just be slow.
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
