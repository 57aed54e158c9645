"""The step that forwards requests to other boxes if this one reaches no endpoint of a pool."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import reach
from croftpulley.core import attempts
from croftpulley.forwarding import base, hops


class ForwardToPeer(base.ForwardFilter):
    """Forwards a request to another box if this one reaches no endpoint of its pool.

    A request that another box forwarded to this one is refused instead.
    """

    def __init__(self, pool_reach: reach.Reach, forwarder: hops.HopForwarder) -> None:
        self._reach = pool_reach
        self._forwarder = forwarder

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.ForwardReply:
        """Return an endpoint's or another box's response; raises `errors.CroftpulleyError`."""
        if self._is_unreachable(exchange):
            reply = self._try_other_boxes(exchange)
            if reply is not None:
                return reply
        try:
            return proceed(exchange)
        except errors.CroftpulleyError:
            if not self._may_forward(exchange):
                raise
        return self._forward(exchange)

    def _is_unreachable(self, exchange: base.Exchange) -> bool:
        return exchange.pool in self._reach.lost

    def _may_forward(self, exchange: base.Exchange) -> bool:
        """Tell whether no attempt reached an endpoint, and another box may reach one.

        If this box recently reached any other endpoint of the pool, those that it tried have ended.
        """
        log = exchange.attempts.attempts
        is_unsent = bool(log) and all(each.phase is attempts.Phase.UNSENT for each in log)
        # Only the box with the permission may send the trial of a suspect.
        may_be_sent_elsewhere = exchange.token.reason is None and not exchange.trial
        return is_unsent and may_be_sent_elsewhere and not self._reach.is_reached(exchange.pool)

    def _try_other_boxes(self, exchange: base.Exchange) -> base.ForwardReply | None:
        """Return another box's response, ``None`` if this box should try endpoints all the same.

        If no other box accepts the request, but connections to endpoints are established, the
        endpoints may just be slow.
        """
        try:
            return self._forward(exchange)
        except errors.CroftpulleyError as failure:
            may_try_endpoints = (
                failure.code is codes.ResultCode.OUT_OF_REACH and exchange.hop is None
            )
            if not may_try_endpoints or self._reach.is_refused(exchange.pool):
                raise
        return None

    def _forward(self, exchange: base.Exchange) -> base.ForwardReply:
        if exchange.hop is None:
            return self._forwarder.forward(exchange)
        raise errors.CroftpulleyError(
            codes.ResultCode.OUT_OF_REACH, f"pool {exchange.pool!r} is not reached from here either"
        )
