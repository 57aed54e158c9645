"""The other way to send: through the box that owns the endpoint, which counts for all.

The owner of an endpoint is the first box in the order that rendezvous hashing gives its name.
"""

from __future__ import annotations

import urllib.parse
from collections.abc import Iterator

import attrs

from croftpulley import cancel
from croftpulley.controllers import actors, router_state
from croftpulley.core import attempts, choice, membership
from croftpulley.endpoints import connection
from croftpulley.forwarding import sender
from croftpulley.http import wsgi

PATH = "/v1/forwarded"
_TARGET = "x-owner-target"
_ENDPOINT = "x-owner-endpoint"


class OwnerSender(sender.Sender):
    """Sends straight to endpoints of this box, and to their owner for all others."""

    def __init__(
        self,
        box: str,
        view: actors.View[router_state.RouterState],
        direct: sender.DirectSender,
    ) -> None:
        self._box = box
        self._view = view
        self._direct = direct

    def send(
        self, order: sender.Order, attempt: attempts.Attempt, token: cancel.CancelToken
    ) -> sender.Answer:
        """Send an attempt."""
        boxes = {box.name: box for box in self._view.get().boxes}
        owner = next(iter(choice.order(order.endpoint.name, boxes)), self._box)
        if owner == self._box:
            return self._direct.send(order, attempt, token)
        hop = attrs.evolve(order.endpoint, address=boxes[owner].peer_address)
        headers = {
            **order.headers,
            _TARGET: f"{order.method} {order.target}",
            _ENDPOINT: order.endpoint.address,
        }
        forwarded = attrs.evolve(
            order, endpoint=hop, method="POST", target=PATH, headers=headers
        )
        return self._direct.send(forwarded, attempt, token)


class OwnerApp:
    """Carries out attempts that other boxes send."""

    def __init__(self, direct: sender.DirectSender) -> None:
        self._direct = direct

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Send one attempt on and pass its answer back."""
        headers = dict(request.headers)
        method, _, target = headers.pop(_TARGET).partition(" ")
        address = headers.pop(_ENDPOINT)
        for name in ("connection", "transfer-encoding", "content-length"):
            headers.pop(name, None)
        if request.environ.get("CONTENT_TYPE"):
            headers["content-type"] = request.environ["CONTENT_TYPE"]
        endpoint = membership.Endpoint(
            "", membership.EndpointKind.ENGINE, "", address, "", ""
        )
        token = cancel.CancelToken()
        attempt = attempts.Attempt(1, address)
        answer = self._direct.send(
            sender.Order(
                endpoint=endpoint, method=method, target=target, headers=headers, body=request.body
            ),
            attempt,
            token,
        )
        from croftpulley.forwarding import headers as names

        def close() -> None:
            answer.close()

        body: Iterator[bytes] = answer.chunks()
        return wsgi.Response(
            answer.status, None, body, names.to_caller(answer.headers), close
        )


__all__ = ["OwnerApp", "OwnerSender", "urllib"]
