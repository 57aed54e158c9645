"""Forwards a request to another box if this one reaches no endpoint of its pool.

The other box gets the request as the caller sent it, checks it like a request from a caller and
alone decides where it goes; its response is returned unchanged. It does not forward the request to
a further box: there is at most one hop. A hop is not authenticated, since it has no more rights
than a caller.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state
from croftpulley.core import attempts, halls, membership, peers
from croftpulley.endpoints import connection
from croftpulley.forwarding import attempt, base, headers, sender, vocabulary
from croftpulley.observe import events, metrics
from croftpulley.settings import fleet

_LOG = logging.getLogger(__name__)
BOX_HEADER = "x-hop-box"
"""The header with the name of the box that forwards a request."""
CONFIGURATION_HEADER = "x-hop-configuration"
"""The header with the configuration version by which that box handled the request."""
REFUSED_HEADER = "x-hop-refused"
"""The header of a response to a hop: nothing ran, and another box should be tried."""
BOX_REFUSALS = frozenset(
    {
        codes.ResultCode.TOO_MANY_STREAMS,
        codes.ResultCode.DRAINING,
        codes.ResultCode.NO_LEASE,
        codes.ResultCode.NO_CONFIGURATION,
        codes.ResultCode.BOX_FULL,
        codes.ResultCode.OUT_OF_REACH,
    }
)
"""Refusals that only concern the box itself: other boxes may accept the request."""
MAX_HEADERS_ADDED = 3
"""The most headers that a hop adds: the two request headers above, and the remaining time if the
caller gave none."""
MAX_ADDED_HEADER_SIZE_BYTES = 160
"""The size allowed for each of them on top of the limit for callers; a box name has at most 100
characters."""
MAX_BOXES_TRIED = 3
"""The most boxes that one request is forwarded to, one after another."""
CONNECT_TIMEOUT_S = 0.25
"""For a connection to another box: an unreachable one must leave time for the next."""
KEEPALIVE_TIMEOUT_S = 1.0
"""How long another box, probed every second, may acknowledge nothing before it counts as lost."""


def parse_hop(header_values: Mapping[str, str]) -> base.Hop:
    """Parse the headers of a hop, whose names are in lower case. Invalid versions read as 0."""
    version = header_values.get(CONFIGURATION_HEADER, "")
    return base.Hop(
        box=header_values.get(BOX_HEADER, "")[:100],
        configuration_version=int(version) if version.isdecimal() and len(version) < 16 else 0,
    )


def may_retry_elsewhere(exchange: base.Exchange, failure: errors.CroftpulleyError) -> bool:
    """Tell whether another box may accept a forwarded request that this box has refused."""
    is_not_run = exchange.attempts.run_state is codes.RunState.NOT_RUN
    return is_not_run and failure.code in BOX_REFUSALS


class HopForwarder:
    """Forwards requests to other boxes."""

    def __init__(
        self,
        box: str,
        hall: str,
        regions: halls.HallRegions,
        view: actors.View[router_state.RouterState],
        silence_timeout_s: float,
        buffers: sender.AnswerBuffers,
        names: vocabulary.HeaderNames,
        counters: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._box = box
        self._region = regions.region_of(hall)
        self._regions = regions
        self._view = view
        self._silence_timeout_s = silence_timeout_s
        self._buffers = buffers
        self._names = names
        self._counters = counters
        self._clock = clock
        self._peers = peers.Peers(box, hall)

    def forward(self, exchange: base.Exchange) -> base.ForwardReply:
        """Forward a request to other boxes, one after another, and return the first's response.

        Raises `errors.CroftpulleyError`: OUT_OF_REACH, with nothing run, if no box accepts it.
        """
        for peer in self._choose_boxes(exchange):
            response = self._forward_to(exchange, peer)
            if response is not None:
                self._record_success(exchange, peer)
                return self._to_reply(exchange, response)
        # Every box that was tried ran nothing.
        raise errors.CroftpulleyError(
            codes.ResultCode.OUT_OF_REACH,
            f"pool {exchange.pool!r}: reached neither from here nor by way of other boxes",
        )

    def _choose_boxes(self, exchange: base.Exchange) -> list[membership.Box]:
        state = self._view.get()
        reporting_names = state.reaching.get(exchange.pool)
        reaching = [
            each for each in state.boxes if reporting_names is None or each.name in reporting_names
        ]
        home_regions = exchange.home_regions
        if home_regions is not None:
            # The request is already in this region; beyond it, only its home regions may get it.
            reaching = self._regions.filter_by_region(reaching, home_regions | {self._region})
        now_s = self._clock.monotonic_s()
        return self._peers.preferred(exchange.facts.request_id, reaching, now_s)[:MAX_BOXES_TRIED]

    def _forward_to(self, exchange: base.Exchange, peer: membership.Box) -> sender.Response | None:
        """Return a box's response, ``None`` if it ran nothing and another may be tried.

        Raises `errors.CroftpulleyError` if the box may have sent the request to an endpoint, or if
        the request was cancelled or has no time left.
        """
        exchange.token.check()
        left_s = exchange.deadline_s - self._clock.monotonic_s()
        if left_s < attempt.MIN_BUDGET_S:
            raise errors.CroftpulleyError(codes.ResultCode.DEADLINE_PASSED)
        hop_attempt = exchange.attempts.begin(peer.name)
        try:
            response = self._send(exchange, peer, hop_attempt, left_s)
        except errors.CroftpulleyError as failure:
            self._record_failure(exchange, peer, failure)
            if hop_attempt.run_state is not codes.RunState.NOT_RUN:
                raise
            exchange.attempts.discard(hop_attempt)
            return None
        if not response.header(REFUSED_HEADER):
            return response
        response.close()
        exchange.attempts.discard(hop_attempt)
        detail = f"{peer.name}: {response.header(REFUSED_HEADER)}"
        self._record_failure(
            exchange, peer, errors.CroftpulleyError(codes.ResultCode.DECLINED, detail)
        )
        return None

    def _send(
        self,
        exchange: base.Exchange,
        peer: membership.Box,
        hop_attempt: attempts.Attempt,
        left_s: float,
    ) -> sender.Response:
        request = exchange.request
        target = connection.Target(
            peer.peer_address,
            min(CONNECT_TIMEOUT_S, left_s),
            self._silence_timeout_s,
            KEEPALIVE_TIMEOUT_S,
            uses_keepalive=True,
        )
        link = connection.Exchange(target, hop_attempt, exchange.token, connection.PEER_FAILURES)
        outgoing = connection.HttpRequest(
            request.method,
            request.target,
            request.body or None,
            None,
            self._headers(exchange, left_s),
        )
        return sender.send_request(link, outgoing, hop_attempt)

    def _headers(self, exchange: base.Exchange, left_s: float) -> dict[str, str]:
        """Return the caller's headers, with the remaining time and the headers of a hop."""
        caller_headers = headers.end_to_end_headers(exchange.request)
        version = exchange.state.configuration.version
        hop_headers = {BOX_HEADER: self._box, CONFIGURATION_HEADER: str(version)}
        return {
            **caller_headers,
            self._names.budget_ms: str(max(1, int(left_s * 1000))),
            **hop_headers,
        }

    def _to_reply(self, exchange: base.Exchange, response: sender.Response) -> base.ForwardReply:
        reply_headers = headers.to_caller(response.headers)
        is_stream = exchange.known_route.kind is fleet.RouteKind.STREAM
        if is_stream and response.is_success:
            exchange.at_end.callback(response.close)
            return base.ForwardReply(response.status, reply_headers, _chunks(response))
        try:
            body = self._buffers.read(response)
        finally:
            response.close()
        return base.ForwardReply(response.status, reply_headers, body)

    def _record_success(self, exchange: base.Exchange, peer: membership.Box) -> None:
        self._counters.hop(exchange.pool, "answered")
        events.emit(
            _LOG,
            events.Event.REQUEST_HOPPED,
            request_id=exchange.facts.request_id,
            pool=exchange.pool,
            peer=peer.name,
            attempts=len(exchange.attempts.attempts),
        )

    def _record_failure(
        self, exchange: base.Exchange, peer: membership.Box, failure: errors.CroftpulleyError
    ) -> None:
        self._peers.failed(peer.name, self._clock.monotonic_s())
        is_refusal = failure.code is codes.ResultCode.DECLINED
        self._counters.hop(exchange.pool, "refused" if is_refusal else "failed")
        events.emit(
            _LOG,
            events.Event.HOP_FAILED,
            level=logging.WARNING,
            request_id=exchange.facts.request_id,
            pool=exchange.pool,
            peer=peer.name,
            code=failure.code.name,
            run_state=failure.run_state.label,
            problem=failure.detail,
        )


def _chunks(response: sender.Response) -> Iterator[bytes]:
    try:
        yield from response.chunks()
    finally:
        response.close()
