"""The entry daemon: callers' HTTP, the filter chains, and the engines that this box owns."""

from __future__ import annotations

import logging
from typing import Any

import attrs
import pykka
import uuid6

from croftpulley import clock as clocks
from croftpulley.controllers import actors, endpoints, fleet_state, gate, state, streams
from croftpulley.core import membership, request_room
from croftpulley.daemons import entry_box
from croftpulley.dispatch import local, remote
from croftpulley.endpoints import http_engine, http_platform, http_worker
from croftpulley.filters import (
    admission,
    call,
    chain,
    choice,
    claim,
    deadline,
    dispatch,
    identify,
    observe,
    relay,
    serving,
)
from croftpulley.http import caller_app, health_app, peer_app, server, wsgi
from croftpulley.observe import events, memory, metrics
from croftpulley.settings import schema
from croftpulley.transport import channels, control_client

_LOG = logging.getLogger(__name__)
_SPARE_HTTP_THREADS = 16
"""Threads beyond the streams, so that asking and refusing work on a full box."""
_OPERATOR_THREADS = 4
_ORDER_SIZE_FACTOR = 4
"""An order to another box holds the caller's body, up to twice as long escaped, and the answer."""
_SWEEP_INTERVAL_S = 0.05
_OWNER_WORD_S = 2.0
"""How much longer another box is waited for than an engine, so that its own word comes first."""


class EntryDaemon(entry_box.EntryBox):
    """One entry box."""

    def __init__(self, settings: schema.EntrySettings, clock: clocks.Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or clocks.SystemClock()
        self._counters = metrics.Metrics(settings.workspace_labels)
        self._channels = channels.Channels()
        self._view = actors.View(state.FleetState())
        self._endpoints: actors.View[tuple[membership.Endpoint, ...]] = actors.View(())
        self._closed = actors.View(False)
        self._streams = streams.Streams(settings.streams, self._clock, self._counters)
        self._gate = gate.EngineGate(settings.box, self._clock, self._counters)
        self._engines = http_engine.HttpEngineClient(
            settings.connect_timeout_s, settings.engine_silence_s
        )
        self._dispatcher = local.LocalDispatcher(self._gate, self._engines)
        self._control = control_client.GrpcControlClient(
            settings.control_addresses, settings.renew_timeout_s, self._channels, self._counters
        )
        self._request_room = request_room.RequestRoom(settings.http.request_total_bytes)
        self._peer_http = self._make_peer_http()
        self.peer_address = self._peer_http.address
        self._caller_http = self._make_caller_http()
        self.caller_address = self._caller_http.address
        self._operator_http = self._make_operator_http()
        self.operator_address = self._operator_http.address
        self._tickers: list[actors.Ticker] = []
        self._controllers = self._start_controllers()

    def start(self) -> None:
        """Begin to serve and to renew."""
        self._peer_http.start()
        self._caller_http.start()
        self._operator_http.start()
        events.emit(
            _LOG,
            events.Event.DAEMON_STARTED,
            caller_address=self.caller_address,
            peer_address=self.peer_address,
            operator_address=self.operator_address,
        )
        self._start_tickers()

    def use_settings(self, settings: schema.EntrySettings) -> None:
        """Look for control boxes at other addresses from now on."""
        self._control.use_addresses(settings.control_addresses)

    def _start_tickers(self) -> None:
        settings = self._settings
        intervals_s = (
            settings.platform_interval_s,
            settings.renew_interval_s,
            settings.load_report_interval_s,
            _SWEEP_INTERVAL_S,
        )
        for controller, interval_s in zip(self._controllers, intervals_s, strict=True):
            controller.tell(actors.Tick())
            self._tickers.append(actors.Ticker(controller, interval_s))

    def drain(self) -> bool:
        """Stop by plan: be named no more, give up all engines, end every stream.

        Returns whether every stream ended before the drain limit.
        """
        events.emit(_LOG, events.Event.DRAIN_STARTED, streams=self._streams.open_count())
        self._renewal.ask(fleet_state.StartDraining())
        # Callers may use their cached answer for this long; they are served as before.
        self._closed.wait_for(bool, self._settings.entry_ttl_s)
        self._closed.publish(True)
        return entry_box.end_streams(self._streams, self._settings.drain_limit_s)

    def stop(self) -> None:
        """Stop at once; `drain` comes first in a planned stop."""
        events.emit(_LOG, events.Event.DAEMON_STOPPING)
        actors.stop_tickers(self._tickers)
        self._caller_http.stop()
        self._peer_http.stop()
        self._operator_http.stop()
        actors.stop_controllers(self._controllers)
        self._dispatcher.stop()
        self._channels.close()
        events.emit(_LOG, events.Event.DAEMON_STOPPED)

    @property
    def _renewal(self) -> pykka.ActorRef[Any]:
        return self._controllers[1]

    def _start_controllers(self) -> tuple[pykka.ActorRef[Any], ...]:
        """Start the controllers in the order of the tickers' intervals."""
        settings = self._settings
        box = membership.Box(
            name=settings.box,
            hall=settings.hall,
            caller_address=self.caller_address,
            peer_address=self.peer_address,
        )
        platform = http_platform.HttpPlatformList(
            settings.platform_address, settings.connect_timeout_s
        )
        return (
            endpoints.PlatformController.start(
                platform, self._endpoints, self._clock, self._counters
            ),
            fleet_state.FleetStateController.start(
                box,
                settings.lease_margin_s,
                self._control,
                self._endpoints,
                self._view,
                self._gate,
                self._clock,
            ),
            endpoints.LoadReportController.start(self._engines, self._gate),
            streams.StreamController.start(
                self._streams, memory.MemoryWatch(self._describe_memory)
            ),
        )

    def _make_peer_http(self) -> server.HttpServer:
        application = peer_app.PeerApp(self._dispatcher, self._streams, self._clock, self._counters)
        return server.HttpServer(
            wsgi.Application(application.handle, self._settings.http.header_count),
            self._settings.peer_address,
            self._settings.streams,
            self._settings.http,
            _ORDER_SIZE_FACTOR,
            room=self._request_room,
        )

    def _make_caller_http(self) -> server.HttpServer:
        settings = self._settings
        filters = self._make_filters()
        application = caller_app.CallerApp(
            self._view,
            chain.chat_chain(filters),
            chain.service_chain(filters),
            settings.entry_ttl_s,
            self._clock,
            lambda: uuid6.uuid7().hex,
        )
        return server.HttpServer(
            wsgi.Application(application.handle, settings.http.header_count),
            settings.caller_address,
            settings.streams + _SPARE_HTTP_THREADS,
            settings.http,
            room=self._request_room,
        )

    def _make_filters(self) -> chain.Filters:
        settings = self._settings
        remote_dispatcher = remote.RemoteDispatcher(
            settings.connect_timeout_s,
            settings.engine_silence_s + _OWNER_WORD_S,
            self._counters,
        )
        return chain.Filters(
            observe=observe.Observe(self._counters, self._clock),
            identify=identify.Identify(),
            deadline=deadline.Deadline(
                self._streams, settings.default_deadline_ms, settings.deadline_limit_ms
            ),
            serving=serving.Serving(self._view, self._closed, self._clock),
            admission=admission.Admission(self._streams),
            choose_engine=choice.ChooseEngine(),
            relay=relay.Relay(
                settings.attempts_per_request, settings.coalesce_ms / 1000, self._counters
            ),
            dispatch=dispatch.Dispatch(
                settings.box,
                self._dispatcher,
                remote_dispatcher,
                settings.candidates_per_attempt,
                self._view,
                settings.admission_wait_s,
                self._clock,
            ),
            claim=claim.Claim(self._control),
            choose_worker=choice.ChooseWorker(self._endpoints),
            call_worker=call.CallWorker(
                http_worker.HttpWorkerClient(settings.connect_timeout_s), self._clock
            ),
        )

    def _make_operator_http(self) -> server.HttpServer:
        health = health_app.HealthApp(self._counters, self._not_ready, self._status)
        return server.HttpServer(
            wsgi.Application(health.handle, self._settings.http.header_count),
            self._settings.operator_address,
            _OPERATOR_THREADS,
            self._settings.http,
            room=self._request_room,
        )

    def _describe_memory(self) -> dict[str, Any]:
        return {**self._streams.describe(), "request_bytes": self._request_room.held_bytes}

    def _not_ready(self) -> str:
        """Return why callers should not come here, empty if they may."""
        known = self._view.get()
        if known.draining:
            return "draining"
        if not known.lease_holds(self._clock.monotonic_s()):
            return "no lease"
        if known.configuration.version == 0:
            return "no configuration"
        return ""

    def _status(self) -> dict[str, Any]:
        known = self._view.get()
        return {
            "box": self._settings.box,
            "configuration_version": known.configuration.version,
            "lease_holds": known.lease_holds(self._clock.monotonic_s()),
            "draining": known.draining,
            "streams": self._streams.open_count(),
            "owned_engines": [engine.name for engine in self._gate.engines()],
            "outstanding": sum(load.outstanding for load in self._gate.pool_loads()),
            "loads": [attrs.asdict(load) for load in known.loads],
        }
