"""The daemon of a router: an entry box that forwards requests by the configured routes."""

from __future__ import annotations

import logging
import math
import random
import uuid
from typing import Any

import pykka

from croftpulley import clock as clocks
from croftpulley.controllers import (
    actors,
    listing,
    permits,
    reach,
    reach_checks,
    renewal,
    router_state,
    stream_origins,
    streams,
    suspicion,
    suspicion_reports,
    traffic,
    withdrawals,
)
from croftpulley.core import (
    control_announcements,
    halls,
    membership,
    request_room,
    retry_budget,
    selection,
)
from croftpulley.daemons import caller_limits, entry_box
from croftpulley.endpoints import dialing
from croftpulley.forwarding import (
    admission,
    by_peer,
    chain,
    departures,
    hops,
    observe,
    place,
    relay,
    rules,
    sender,
    service,
    steer,
    suspects,
    take_up,
)
from croftpulley.http import forward_app, health_app, server, wsgi
from croftpulley.interfaces import callers
from croftpulley.observe import events, memory, metrics
from croftpulley.settings import schema

_LOG = logging.getLogger(__name__)
_SPARE_THREADS = 8
"""Threads beyond the streams, so that refusing works on a full box."""
_FEW_THREADS = 2
_SWEEP_INTERVAL_S = 0.1
"""How soon a passed deadline or a caller that went away is noticed."""
_LONGEST_KEPT = 3.0
"""Some callers keep an answer of the directory this many times as long as they were told."""
_SERVED_SHARE = 3 / 8
"""Of its grace for which a box that is stopped takes requests, 3 s of 8 s: as long as its users
count on it. By half of it a chat that came last, and streamed for 4 s, was cut by the end."""
_LAST_MOMENT_S = 0.5
"""What a planned stop leaves of its grace for telling callers and ending the process."""
_TICKS_END_S = 0.1
"""How long a tick that is under way at the stop may take; a router keeps nothing on a disk."""


class _WhileUnheard(listing.Turn):
    """A router reads the list itself while control is silent; seldom, as all may do so."""

    def __init__(
        self, view: actors.View[router_state.RouterState], fallback_s: float, chance: random.Random
    ) -> None:
        self._view = view
        self._fallback_s = fallback_s
        self._chance = chance

    def has_come(self, now_s: float) -> bool:
        """Tell whether control has been silent for long, and chance agrees."""
        silent = now_s - self._view.get().heard_at_s > self._fallback_s
        return silent and self._chance.random() < 0.5


class RouterDaemon(entry_box.EntryBox):
    """One router."""

    def __init__(
        self,
        settings: schema.RouterSettings,
        interface: callers.CallerInterface | None = None,
        clock: clocks.Clock | None = None,
        dialer: dialing.Dialer = dialing.DIRECT,
    ) -> None:
        self._settings = settings
        self._dialer = dialer
        self._interface = interface or callers.OwnCallerInterface()
        self._clock = clock or clocks.SystemClock()
        self._regions = halls.HallRegions(settings.regions)
        self._chance = random.Random(uuid.uuid4().int)
        self._counters = metrics.Metrics(settings.workspace_labels)
        self._view = actors.View(router_state.RouterState(box_name=settings.box))
        self._listed = actors.View(listing.Listing())
        self._closes_at_s = actors.View(math.inf)
        self._streams = streams.Streams(settings.streams, self._clock, self._counters)
        self._answer_buffers = sender.AnswerBuffers()
        self._request_room = request_room.RequestRoom(settings.http.request_total_bytes)
        self._memory = memory.MemoryWatch(self._describe_memory, settings.memory_limit_bytes)
        allowance = retry_budget.Allowance(
            ratio=settings.retry_ratio, extra=settings.retry_extra, window_s=settings.retry_window_s
        )
        self._traffic = traffic.Traffic(
            allowance, selection.CostRates(), self._clock, shares_room=settings.shares_room
        )
        self._permits = permits.Permits(settings.box, self._view, self._traffic, self._clock)
        self._reach = reach.Reach(self._view, self._traffic, self._counters, self._clock)
        self._suspicion = suspicion.Suspicion(self._clock, self._counters, self._traffic.is_brittle)
        self._origins = stream_origins.StreamOrigins(
            settings.box, self._view, self._counters, self._clock
        )
        self._chain = chain.forward_chain(self._make_steps())
        self._caller_http = self._make_caller_http()
        self._peer_http = self._make_peer_http()
        self._directory_http = self._make_directory_http()
        self._ready_http = self._make_ready_http()
        self._metrics_http = self._make_metrics_http()
        self.caller_address = self._caller_http.address
        self.directory_address = self._directory_http.address
        self.ready_address = self._ready_http.address
        self.metrics_address = self._metrics_http.address
        self._renewal = self._start_renewal()
        self._controllers = [self._renewal]
        self._tickers: list[actors.Ticker] = []

    @property
    def _servers(self) -> tuple[server.HttpServer, ...]:
        return (
            *self._forwarding,
            self._directory_http,
            self._ready_http,
            self._metrics_http,
        )

    @property
    def _forwarding(self) -> tuple[server.HttpServer, ...]:
        """What takes requests to be forwarded, from callers and from other boxes."""
        return (self._caller_http, *((self._peer_http,) if self._peer_http else ()))

    def start(self) -> None:
        """Begin to serve and to renew."""
        settings = self._settings
        suspecting = suspicion_reports.SuspicionController.start(
            self._suspicion,
            self._view,
            settings.connect_timeout_s,
            settings.renew_timeout_s,
            self._counters,
            self._dialer,
        )
        for each in self._servers:
            each.start()
        reader = listing.ListingController.start(
            self._interface.endpoint_list(settings.platform_address),
            _WhileUnheard(self._view, settings.list_fallback_s, self._chance),
            self._listed,
            settings.platform_interval_s / 2,
            self._clock,
            self._counters,
        )
        sweeper = streams.StreamController.start(self._streams, self._memory)
        rests = withdrawals.WithdrawalController.start(self._traffic, self._view, self._counters)
        limiter = caller_limits.CallerLimits.start(self._view, self._forwarding, self._counters)
        reaching = reach_checks.ReachChecks.start(self._reach, self._view, self._dialer)
        telling = stream_origins.OriginController.start(self._origins, settings.box, self._view)
        self._controllers += [reader, sweeper, limiter, suspecting, rests, reaching, telling]
        self._renewal.tell(actors.Tick())
        self._tickers = [
            actors.Ticker(self._renewal, settings.renew_interval_s / renewal.TICKS_PER_INTERVAL),
            actors.Ticker(reader, settings.platform_interval_s),
            actors.Ticker(sweeper, _SWEEP_INTERVAL_S),
            actors.Ticker(limiter, settings.renew_interval_s),
            actors.Ticker(suspecting, settings.renew_interval_s),
            actors.Ticker(rests, settings.renew_interval_s),
            actors.Ticker(reaching, settings.renew_interval_s),
            actors.Ticker(telling, settings.renew_interval_s),
        ]
        events.emit(
            _LOG,
            events.Event.DAEMON_STARTED,
            caller_address=self.caller_address,
            directory_address=self.directory_address,
            control_addresses=list(settings.control_addresses),
        )

    def use_settings(self, settings: schema.RouterSettings) -> None:
        """Look for control boxes at other addresses from now on."""
        self._renewal.tell(renewal.SetSeedAddresses(settings.control_addresses))

    def lease_left_s(self) -> float:
        """Return for how long this box may still act on its lease."""
        return self._view.get().lease_until_s - self._clock.monotonic_s()

    def drain(self) -> bool:
        """Stop by plan: be named no more, serve who still comes, end every stream, and wait until
        callers have taken their answers.

        Returns whether every stream ended within the grace.
        """
        ends_at_s = self._clock.monotonic_s() + self._settings.grace_s - _LAST_MOMENT_S
        events.emit(_LOG, events.Event.DRAIN_STARTED, streams=self._streams.open_count())
        for each in self._forwarding:
            each.close_connections()
        self._renewal.tell(renewal.StartDraining())
        served_s = _SERVED_SHARE * self._settings.grace_s
        kept_s = min(_LONGEST_KEPT * self._settings.entry_ttl_s, served_s)
        closes_at_s = self._clock.monotonic_s() + kept_s
        # By the clock: those who serve may run long before this thread does.
        self._closes_at_s.publish(closes_at_s)
        self._closes_at_s.wait_for(lambda _: False, kept_s)
        self._closes_at_s.publish(-math.inf)
        ended = entry_box.end_streams(self._streams, self._left_s(ends_at_s))
        told_at_s = ends_at_s + entry_box.TELLING_S
        for each in self._forwarding:
            each.wait_until_taken(self._left_s(told_at_s))
        return ended

    def _left_s(self, ends_at_s: float) -> float:
        return max(0.0, ends_at_s - self._clock.monotonic_s())

    def stop(self) -> None:
        """Stop at once; `drain` comes first in a planned stop."""
        events.emit(_LOG, events.Event.DAEMON_STOPPING)
        actors.stop_tickers(self._tickers, _TICKS_END_S)
        for each in self._servers:
            each.stop()
        actors.stop_controllers(self._controllers, _TICKS_END_S)
        events.emit(_LOG, events.Event.DAEMON_STOPPED)

    def _start_renewal(self) -> pykka.ActorRef[Any]:
        settings = self._settings
        box = membership.Box(
            name=settings.box,
            hall=settings.hall,
            caller_address=self.caller_address,
            peer_address=self._peer_http.address if self._peer_http else "",
        )
        return renewal.RenewalController.start(
            box,
            settings.control_addresses,
            settings.lease_margin_s,
            settings.renew_timeout_s,
            settings.renew_interval_s,
            self._interface.documents,
            self._traffic,
            self._reach,
            self._suspicion,
            self._origins,
            self._view,
            self._listed,
            self._clock,
            self._counters,
            self._chance,
        )

    def _make_peer_http(self) -> server.HttpServer | None:
        """Return where other boxes hand requests over, if they may."""
        address = self._settings.peer_address
        if not address:
            return None
        hop = forward_app.HopApp(self._view, self._chain, self._interface.names, self._clock)
        application = forward_app.PeerApp(self._origins, hop, self._hear, self._counters)
        limits = self._settings.http.with_few_connections()
        return self._make_forward_http(application.handle, address, limits, hops.MAX_HEADERS_ADDED)

    def _hear(self, announcement: control_announcements.ControlAnnouncement) -> None:
        self._renewal.tell(renewal.ControlAnnounced(announcement))

    def _make_caller_http(self) -> server.HttpServer:
        application = forward_app.ForwardApp(
            self._view, self._chain, self._interface.names, self._clock
        )
        settings = self._settings
        return self._make_forward_http(application.handle, settings.caller_address, settings.http)

    def _make_forward_http(
        self,
        handler: wsgi.Handler,
        address: str,
        limits: schema.HttpLimits,
        headers_added: int = 0,
    ) -> server.HttpServer:
        names = self._interface.names
        return server.HttpServer(
            wsgi.Application(handler, limits.header_count + headers_added),
            address,
            self._settings.streams + _SPARE_THREADS,
            limits,
            room=self._request_room,
            single_headers=("host", "content-length", names.request_id, names.key, names.budget_ms),
            passes_headers=True,
            header_slack_bytes=headers_added * hops.MAX_ADDED_HEADER_SIZE_BYTES,
        )

    def _make_steps(self) -> chain.Steps:
        settings = self._settings
        pools = service.MemberCache(self._regions)
        placement = place.Placement(
            settings.hall,
            self._view,
            self._traffic,
            pools,
            selection.OverloadLimit(),
            selection.CostRates(),
            steer.Steering(settings.hall, self._counters, self._clock),
            self._permits,
            self._clock,
        )
        return chain.Steps(
            observe=observe.Observe(self._counters, self._clock),
            limit_memory=rules.LimitMemory(lambda: self._memory.is_short),
            limit_unread=rules.LimitUnreadBytes(
                self._unread_bytes, settings.http.unread_total_bytes
            ),
            find_route=rules.FindRoute(self._closes_at_s, self._clock),
            limit_time=rules.LimitTime(self._streams),
            take_up=take_up.ResumeStream(self._origins, self._view, self._counters, self._clock),
            by_peer=by_peer.ForwardToPeer(self._reach, self._make_hops()),
            take_permit=admission.TakePermit(
                self._permits, self._traffic, self._counters, self._clock
            ),
            relay=relay.Relay(
                placement,
                sender.DirectSender(settings.connect_timeout_s, settings.silence_s, self._way_to),
                self._answer_buffers,
                self._traffic,
                self._make_gate(),
                departures.PreSendCheck(
                    self._view, self._traffic, pools, self._counters, self._clock
                ),
                self._reach,
                self._origins,
                self._view,
                self._interface.names,
                self._counters,
                self._clock,
            ),
        )

    def _way_to(self, endpoint: membership.Endpoint) -> dialing.Dialer:
        return reach.RecordingDialer(endpoint, self._reach, self._dialer)

    def _make_hops(self) -> hops.HopForwarder:
        settings = self._settings
        return hops.HopForwarder(
            settings.box,
            settings.hall,
            self._regions,
            self._view,
            settings.silence_s,
            self._answer_buffers,
            self._interface.names,
            self._counters,
            self._clock,
        )

    def _make_gate(self) -> suspects.SuspectGate:
        settings = self._settings
        asking = suspicion_reports.Trials(
            self._suspicion, self._view, settings.renew_timeout_s, self._counters
        )
        return suspects.SuspectGate(
            self._suspicion,
            asking,
            settings.connect_timeout_s,
            self._counters,
            self._clock,
            self._dialer,
        )

    def _describe_memory(self) -> dict[str, Any]:
        return {
            **self._streams.describe(),
            "request_bytes": self._request_room.held_bytes,
            "answer_bytes": self._answer_buffers.held_bytes,
            "unread_bytes": self._unread_bytes(),
        }

    def _unread_bytes(self) -> int:
        return sum(each.unread_bytes for each in self._forwarding)

    def _make_directory_http(self) -> server.HttpServer:
        ttl_s = self._settings.entry_ttl_s
        handler = self._interface.directory(self._view, self._regions, ttl_s, self._clock)
        return self._make_http(handler, self._settings.directory_address)

    def _make_ready_http(self) -> server.HttpServer:
        handler = self._interface.readiness(self._not_ready)
        return self._make_http(handler, self._settings.ready_address)

    def _make_metrics_http(self) -> server.HttpServer:
        health = health_app.HealthApp(self._counters, self._not_ready, self._status)
        return self._make_http(health.handle, self._settings.metrics_address)

    def _make_http(self, handler: wsgi.Handler, address: str) -> server.HttpServer:
        limits = self._settings.http.with_few_connections()
        application = wsgi.Application(handler, limits.header_count)
        return server.HttpServer(
            application, address, _FEW_THREADS, limits, room=self._request_room
        )

    def _not_ready(self) -> str:
        """Return why callers should not come here, empty if they may."""
        known = self._view.get()
        if known.draining:
            return "draining"
        if not known.lease_holds(self._clock.monotonic_s()):
            return "no lease"
        if known.configuration.version == 0:
            return "no configuration"
        if not known.endpoints:
            return "no endpoints"
        return ""

    def _status(self) -> dict[str, Any]:
        known = self._view.get()
        now_s = self._clock.monotonic_s()
        return {
            "box": self._settings.box,
            "configuration_version": known.configuration.version,
            "lease_left_s": self.lease_left_s(),
            "heard_age_s": now_s - known.heard_at_s,
            "draining": known.draining,
            "streams": self._streams.open_count(),
            "in_flight": self._traffic.load().in_flight,
            "shares_room": self._traffic.shares_room,
            "permits_in_use": self._permits.in_use(),
            "waiting_for_room": self._permits.waiting(),
            "unread_bytes": self._unread_bytes(),
            "out_of_reach": sorted(self._reach.lost),
            "mixed": known.mixed_pools(),
            "streams_remembered": len(self._origins),
            "held_off": sorted(known.held_off),
            "withdrawn": {
                key: {"leaves": each.leaves, "rest_left_s": max(0.0, each.rest_until_s - now_s)}
                for key, each in sorted(self._traffic.withdrawn().items())
            },
            "evacuated": list(known.evacuated.names),
            "retry_share": self._traffic.retry_share(),
        }
