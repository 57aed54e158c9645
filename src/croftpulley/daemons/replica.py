"""The daemon of a control box that shares the replicated state with others."""

from __future__ import annotations

import logging
import pathlib
import random
import uuid
from typing import Any

import pykka

from croftpulley import clock as clocks
from croftpulley.controllers import (
    actors,
    announcing,
    configuration_parts,
    configured_pools,
    control_plane,
    inventory,
    listing,
    replica,
    replica_standing,
    sessions,
    suspect_register,
)
from croftpulley.core import (
    control_announcements,
    replicated_state,
    request_room,
    retry_budget,
    submissions,
)
from croftpulley.core.replication import messages
from croftpulley.core.replication import state as states
from croftpulley.http import health_app, replica_app, server, wsgi
from croftpulley.interfaces import operators
from croftpulley.observe import events, memory, metrics
from croftpulley.settings import schema
from croftpulley.storage import replica_store
from croftpulley.transport import senders

_LOG = logging.getLogger(__name__)
_PEER_THREADS = 16
_OPERATOR_THREADS = 16
"""Operators wait in a thread each until a configuration is in force everywhere."""
_METRICS_THREADS = 2
_UNLED_AFTER_S = 0.15
"""A box that starts while another leads has heard it by then: a heartbeat goes out each 0.1 s."""


class _WhileLeading(listing.Turn):
    """The leading box reads the list for all; one that hears no leader at first reads it once.

    After a loss of all processes whoever comes to lead has the list then. Else routers get it
    0.2 s after their leases and refuse what comes meanwhile (from the logs of a recorded day).
    """

    def __init__(
        self,
        replica_status: actors.View[replica_standing.ReplicaStatus],
        listed: actors.View[listing.Listing],
        clock: clocks.Clock,
    ) -> None:
        self._replica_status = replica_status
        self._listed = listed
        self._alone_at_s = clock.monotonic_s() + _UNLED_AFTER_S

    def has_come(self, now_s: float) -> bool:
        """Tell whether this box leads, or has never heard of a leader nor read the list."""
        status = self._replica_status.get()
        if status.has_authority(now_s):
            return True
        is_unled = not status.leader_address and now_s >= self._alone_at_s
        return is_unled and self._listed.get().read_at_s == float("-inf")


class ReplicaDaemon:
    """One control box."""

    def __init__(
        self,
        settings: schema.ReplicaSettings,
        interface: operators.OperatorInterface | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._settings = settings
        self._interface = interface or operators.OwnOperatorInterface(settings.operator_token_file)
        self._clock = clock or clocks.SystemClock()
        self._counters = metrics.Metrics()
        self._replica_status = actors.View(replica_standing.ReplicaStatus())
        self._endpoints = actors.View(listing.Listing())
        self._missed_addresses: actors.View[tuple[str, ...]] = actors.View(())
        self._state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
        self._replica = self._start_replica()
        self._log = replica.ReplicatedLog(self._replica, self._state)
        self._suspects = suspect_register.SuspectRegister(
            self._log, self._replica_status, self._clock
        )
        pools = configured_pools.ConfiguredPools(self._log, self._interface.documents)
        self._listing = listing.ListingController.start(
            self._interface.endpoint_list(settings.platform_address),
            _WhileLeading(self._replica_status, self._endpoints, self._clock),
            self._endpoints,
            settings.platform_interval_s,
            self._clock,
            self._counters,
        )
        self._sessions = sessions.SessionController.start(
            self._log,
            self._replica_status,
            self._endpoints,
            pools.cold_per_s,
            lambda keys: self._listing.tell(listing.AnnouncedLeaving(keys)),
            settings.lease_s,
            settings.drift_margin_s,
            retry_budget.Allowance(window_s=settings.retry_window_s).counted_s,
            self._missed_addresses,
            self._clock,
        )
        self._announcing = announcing.AnnouncementController.start(
            settings.peer_address,
            settings.seeds,
            self._replica_status,
            self._missed_addresses,
            senders.Senders(settings.peer_timeout_s, self._counters),
            self._clock,
        )
        self._inventory = inventory.InventoryController.start(
            self._interface.cache_reader(),
            self._replica_status,
            self._endpoints,
            pools.names,
            self._sessions,
            self._clock,
        )
        self._request_room = request_room.RequestRoom(settings.http.request_total_bytes)
        self._memory = memory.MemoryThread(memory.MemoryWatch(self._request_room.describe))
        self._peer_http = self._make_peer_http()
        self._operator_http = self._make_operator_http()
        self._metrics_http = self._make_metrics_http()
        self.peer_address = self._peer_http.address
        self.operator_address = self._operator_http.address
        self._tickers: list[actors.Ticker] = []

    def start(self) -> None:
        """Begin to serve."""
        for each in (self._peer_http, self._operator_http, self._metrics_http):
            each.start()
        self._memory.start()
        settings = self._settings
        self._tickers = [
            actors.Ticker(self._replica, settings.tick_s),
            actors.Ticker(self._sessions, settings.tick_s),
            actors.Ticker(self._listing, settings.tick_s),
            actors.Ticker(self._inventory, settings.tick_s),
            actors.Ticker(self._announcing, control_announcements.CHECK_INTERVAL_S),
        ]
        events.emit(
            _LOG,
            events.Event.DAEMON_STARTED,
            peer_address=self.peer_address,
            operator_address=self.operator_address,
        )

    def use_settings(self, settings: schema.ReplicaSettings) -> None:
        """Look for other control boxes at other addresses from now on."""
        self._replica.tell(replica.SetSeedAddresses(settings.seeds))
        self._announcing.tell(announcing.SetSeedAddresses(settings.seeds))

    def replica_status(self) -> replica_standing.ReplicaStatus:
        """Return what the replica is at the moment."""
        return self._replica_status.get()

    def listed_at_s(self) -> float:
        """Return when this box last read the platform's list, ``-inf`` before the first time."""
        return self._endpoints.get().read_at_s

    def leads(self) -> bool:
        """Tell whether this box alone may answer for the replicated state."""
        return self.replica_status().has_authority(self._clock.monotonic_s())

    def stop(self) -> None:
        """Stop serving and close the log."""
        events.emit(_LOG, events.Event.DAEMON_STOPPING)
        self._memory.stop()
        actors.stop_tickers(self._tickers)
        for each in (self._operator_http, self._peer_http, self._metrics_http):
            each.stop()
        actors.stop_controllers(
            (self._announcing, self._inventory, self._listing, self._sessions, self._replica)
        )
        events.emit(_LOG, events.Event.DAEMON_STOPPED)

    def _start_replica(self) -> pykka.ActorRef[Any]:
        settings = self._settings
        folder = pathlib.Path(settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        return replica.ReplicaController.start(
            _identity(settings, folder),
            replica_store.ReplicaStore(folder),
            states.Timing(election_s=settings.election_s),
            senders.Senders(settings.peer_timeout_s, self._counters),
            self._state,
            self._replica_status,
            self._clock,
            random.Random(uuid.uuid4().int),
        )

    def _make_peer_http(self) -> server.HttpServer:
        application = replica_app.ReplicaApp(
            self._replica,
            self._sessions,
            configuration_parts.ConfigurationParts(self._log),
            self._suspects,
            self._replica_status,
            self._counters,
        )
        address = self._settings.peer_listen_address or self._settings.peer_address
        return self._make_http(application.handle, address, _PEER_THREADS, self._settings.http)

    def _make_operator_http(self) -> server.HttpServer:
        settings = self._settings
        plane = control_plane.ControlPlane(
            self._log,
            self._replica_status,
            self._sessions,
            self._suspects,
            self._interface.documents,
            frozenset(settings.halls),
            settings.acknowledge_s,
            self._clock,
        )
        handler = self._interface.operator(plane, settings.operator_address)
        limits = settings.http.with_few_connections()
        return self._make_http(handler, settings.operator_address, _OPERATOR_THREADS, limits)

    def _make_metrics_http(self) -> server.HttpServer:
        health = health_app.HealthApp(self._counters, lambda: "", dict)
        settings = self._settings
        limits = settings.http.with_few_connections()
        return self._make_http(health.handle, settings.metrics_address, _METRICS_THREADS, limits)

    def _make_http(
        self, handler: wsgi.Handler, address: str, threads: int, limits: schema.HttpLimits
    ) -> server.HttpServer:
        application = wsgi.Application(handler, limits.header_count)
        return server.HttpServer(application, address, threads, limits, room=self._request_room)


def _identity(settings: schema.ReplicaSettings, folder: pathlib.Path) -> replica.Identity:
    """Return who this replica is: as its disk says, one of the first, or a new one.

    A folder that lost its content gets a new id, since its replica may have forgotten votes and
    entries that others count on.
    """
    first_members = tuple(messages.Member(_first_id(seed), seed) for seed in settings.seeds)
    name = replica_store.read_identity(folder)
    is_first = settings.first_start and settings.peer_address in settings.seeds
    if not name:
        name = _first_id(settings.peer_address) if is_first else uuid.uuid4().hex
        replica_store.write_identity(folder, name)
    began_first = name == _first_id(settings.peer_address)
    return replica.Identity(
        replica=name,
        address=settings.peer_address,
        seed_addresses=settings.seeds,
        first_members=first_members if is_first and began_first else (),
    )


def _first_id(address: str) -> str:
    """Return the id that a first replica has, known to the others from its address."""
    return f"first-{address}"
