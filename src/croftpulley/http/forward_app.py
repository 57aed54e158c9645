"""The applications for forwarded requests, any host and path, from callers and other boxes."""

from __future__ import annotations

import logging
from collections.abc import Callable

import attrs

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, stream_origins
from croftpulley.core import control_announcements
from croftpulley.forwarding import base, headers, hops, vocabulary
from croftpulley.http import wsgi
from croftpulley.observe import events, metrics
from croftpulley.transport import box_messages, json_codec

_LOG = logging.getLogger(__name__)


class ForwardApp:
    """Hands requests to the chain and shapes its replies."""

    def __init__(
        self,
        view: actors.View[router_state.RouterState],
        chain: base.Proceed,
        names: vocabulary.HeaderNames,
        clock: clocks.Clock,
    ) -> None:
        self._view = view
        self._chain = chain
        self._names = names
        self._clock = clock

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Answer one request; whatever ends it, the caller gets one answer."""
        exchange = self._exchange(request)
        try:
            _check_target(exchange.request.target)
            reply = self._chain(exchange)
        except errors.CroftpulleyError as failure:
            exchange.at_end.close()
            return self._refusal(exchange, failure)
        except BaseException:
            exchange.at_end.close()
            raise
        if isinstance(reply.body, bytes):
            exchange.at_end.close()
        return wsgi.Response(reply.status, None, reply.body, reply.headers, exchange.at_end.close)

    def _exchange(self, request: wsgi.Request) -> base.Exchange:
        environ = request.environ
        given = dict(request.headers)
        if environ.get("CONTENT_TYPE"):
            given["content-type"] = environ["CONTENT_TYPE"]
        forward = base.ForwardRequest(
            method=request.method,
            target=environ["REQUEST_URI"],
            headers=given,
            body=request.body,
            arrived_s=self._clock.monotonic_s(),
            caller_gone=environ.get("waitress.client_disconnected", lambda: False),
        )
        return base.Exchange(
            request=forward,
            facts=headers.parse_call_facts(given, self._names),
            state=self._view.get(),
        )

    def _refusal(self, exchange: base.Exchange, failure: errors.CroftpulleyError) -> wsgi.Response:
        failure.run_state = max(failure.run_state, exchange.attempts.run_state)
        now_s = self._clock.monotonic_s()
        events.emit(
            _LOG,
            events.Event.REQUEST_REFUSED,
            level=logging.WARNING,
            request_id=exchange.facts.request_id,
            fingerprint=exchange.fingerprint if exchange.route else "",
            parts=exchange.facts.shared_part_ids,
            workspace=exchange.workspace_name,
            route=exchange.route_name,
            hop_from=exchange.hop.box if exchange.hop else "",
            code=failure.code.name,
            run_state=failure.run_state.label,
            retry_after_s=failure.retry_after_s,
            after_s=round(now_s - exchange.request.arrived_s, 3),
            attempts=len(exchange.attempts.attempts),
            lease_left_s=round(exchange.state.lease_until_s - now_s, 3),
            configuration_version=exchange.state.configuration.version,
            problem=failure.detail,
        )
        response = wsgi.error_response(failure, exact_wait=True)
        echoed = (self._names.request_id, exchange.facts.request_id)
        return wsgi.Response(
            response.status,
            response.content_type,
            response.body,
            (*response.headers, echoed) if echoed[1] else response.headers,
        )


class HopApp(ForwardApp):
    """The same for requests that other boxes hand over, on an address of its own.

    Answers as if the caller had come here; says where another box should be asked.
    """

    def _exchange(self, request: wsgi.Request) -> base.Exchange:
        given = {
            name: value
            for name, value in request.headers.items()
            if name not in (hops.BOX_HEADER, hops.CONFIGURATION_HEADER)
        }
        exchange = super()._exchange(attrs.evolve(request, headers=given))
        exchange.hop = hops.parse_hop(request.headers)
        return exchange

    def _refusal(self, exchange: base.Exchange, failure: errors.CroftpulleyError) -> wsgi.Response:
        response = super()._refusal(exchange, failure)
        if not hops.may_retry_elsewhere(exchange, failure):
            return response
        told = (hops.REFUSED_HEADER, failure.code.name)
        return attrs.evolve(response, headers=(*response.headers, told))


class PeerApp:
    """For other boxes: where streams began and where control is, as they tell, and requests.

    A hop names the box that hands it over, a message does not, so no caller's request is taken for
    one.
    """

    def __init__(
        self,
        known: stream_origins.StreamOrigins,
        hop: HopApp,
        hear: Callable[[control_announcements.ControlAnnouncement], None],
        counters: metrics.Metrics,
    ) -> None:
        self._known = known
        self._hear = hear
        self._hop = hop
        self._counters = counters

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Answer one message, or pass a request on."""
        if hops.BOX_HEADER in request.headers:
            return self._hop.handle(request)
        match request.path:
            case box_messages.ORIGIN_ANNOUNCEMENTS_PATH:
                body = self._told(request.body)
            case box_messages.ORIGIN_QUERY_PATH:
                body = self._asked(request.body)
            case box_messages.CONTROL_ANNOUNCEMENTS_PATH:
                body = self._hear_control(request.body)
            case _:
                return self._hop.handle(request)
        self._counters.control_bytes(request.path, len(body), len(request.body))
        return wsgi.Response(200, wsgi.JSON, body)

    def _told(self, body: bytes) -> bytes:
        message = json_codec.decode(body, box_messages.OriginAnnouncements)
        self._known.remember_announced(message.streams)
        return json_codec.encode(box_messages.OriginAnnouncementsAck())

    def _hear_control(self, body: bytes) -> bytes:
        self._hear(json_codec.decode(body, control_announcements.ControlAnnouncement))
        return json_codec.encode(box_messages.ControlAnnouncementAck())

    def _asked(self, body: bytes) -> bytes:
        message = json_codec.decode(body, box_messages.OriginQuery)
        record = self._known.remembered(message.stream)
        answer = box_messages.OriginAnswer(
            is_known=record is not None, origin=record.origin if record else None
        )
        return json_codec.encode(answer)


def _check_target(target: str) -> None:
    if not target.startswith("/"):
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST, f"got target {target[:100]!r}, expected a path"
        )
