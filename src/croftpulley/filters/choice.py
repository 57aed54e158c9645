"""Selects the endpoints that may serve a request, preferred first."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import actors
from croftpulley.core import membership, rendezvous
from croftpulley.filters import base


class ChooseEngine(base.Filter):
    """Orders the engines of the chat's pool by rendezvous hashing of the chat key."""

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Fill in the candidates.

        Raises `errors.CroftpulleyError` (NO_ENGINE) if there are none.
        """
        if exchange.chat is None:
            raise RuntimeError("the identify filter must come before the choice filter")
        exchange.candidates = rendezvous.engines_for(
            exchange.chat.chat_key, exchange.chat.pool, exchange.directory
        )
        if not exchange.candidates:
            raise errors.CroftpulleyError(codes.ResultCode.NO_ENGINE)
        return proceed(exchange)


class ChooseWorker(base.Filter):
    """Orders the workers of the service's pool by request id, so that load spreads evenly."""

    def __init__(self, endpoints: actors.View[tuple[membership.Endpoint, ...]]) -> None:
        self._endpoints = endpoints

    def handle(self, exchange: base.Exchange, proceed: base.Proceed) -> base.Reply:
        """Fill in the candidates.

        Raises `errors.CroftpulleyError` (WORKER_UNREACHABLE) if there are none.
        """
        if exchange.service is None:
            raise RuntimeError("the identify filter must come before the choice filter")
        usable = {
            each.name: each
            for each in self._endpoints.get()
            if each.kind is membership.EndpointKind.WORKER
            and each.pool == exchange.service.pool
            and not each.leaving
        }
        names = rendezvous.rendezvous_order(exchange.request.request_id, usable)
        exchange.candidates = [usable[name] for name in names]
        if not exchange.candidates:
            raise errors.CroftpulleyError(codes.ResultCode.WORKER_UNREACHABLE)
        return proceed(exchange)
