"""The application for requests that other boxes hand over, on an address of its own."""

from __future__ import annotations

import attrs

from croftpulley import errors
from croftpulley.forwarding import base, hops
from croftpulley.http import forward_app, wsgi


class HopApp(forward_app.ForwardApp):
    """Answers as if the caller had come here; says where another box should be asked."""

    def _exchange(self, request: wsgi.Request) -> base.Exchange:
        given = {
            name: value
            for name, value in request.headers.items()
            if name not in (hops.BOX, hops.VERSION)
        }
        exchange = super()._exchange(attrs.evolve(request, headers=given))
        exchange.hop = hops.read(request.headers)
        return exchange

    def _refusal(self, exchange: base.Exchange, failure: errors.CroftpulleyError) -> wsgi.Response:
        response = super()._refusal(exchange, failure)
        if not hops.is_for_others(exchange, failure):
            return response
        told = (hops.REFUSED, failure.code.name)
        return attrs.evolve(response, headers=(*response.headers, told))
