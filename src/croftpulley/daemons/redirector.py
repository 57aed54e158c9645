"""The daemon of a control box without a disk: it sends others on to those that have one.

Such a box can keep nothing, so it has no part in the replicated state and gives no leases. Settings
may name it as a seed all the same: it tells other boxes what control boxes announced to it.
"""

from __future__ import annotations

import itertools
import logging
import random
import uuid
from collections.abc import Iterator

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.core import request_room
from croftpulley.http import health_app, redirector_app, server, wsgi
from croftpulley.observe import events, memory, metrics
from croftpulley.settings import schema
from croftpulley.transport import leader_finder

_LOG = logging.getLogger(__name__)
_THREADS = 4
_PEER_THREADS = 16


class RedirectorDaemon:
    """Redirects each operator's call to the leader, or to the next of the other boxes."""

    def __init__(self, settings: schema.RedirectorSettings) -> None:
        counters = metrics.Metrics()
        self._targets = _targets(settings)
        rng = random.Random(uuid.uuid4().int)
        self._peers = redirector_app.RedirectorApp(clocks.SystemClock(), counters, rng)
        self._finder = leader_finder.LeaderFinder(
            _others(settings), self._peers.newest, counters, rng
        )
        self._port = settings.operator_address.rpartition(":")[2]
        health = health_app.HealthApp(counters, lambda: "", dict)
        limits = settings.http.with_few_connections()
        room = request_room.RequestRoom(limits.request_total_bytes)
        self._memory = memory.MemoryThread(memory.MemoryWatch(room.describe))
        self._servers = [
            _make_http(self._redirect, settings.operator_address, _THREADS, limits, room),
            _make_http(health.handle, settings.metrics_address, _THREADS, limits, room),
        ]
        if settings.peer_address:
            self._servers.append(
                _make_http(
                    self._peers.handle,
                    settings.peer_address,
                    _PEER_THREADS,
                    settings.http,
                    room,
                )
            )
        self.peer_address = self._servers[-1].address if settings.peer_address else ""
        self.operator_address = self._servers[0].address

    def start(self) -> None:
        """Begin to serve."""
        for each in self._servers:
            each.start()
        self._memory.start()
        events.emit(
            _LOG,
            events.Event.DAEMON_STARTED,
            peer_address=self.peer_address,
            operator_address=self.operator_address,
            disk=False,
        )

    def stop(self) -> None:
        """Stop serving."""
        events.emit(_LOG, events.Event.DAEMON_STOPPING)
        self._memory.stop()
        for each in self._servers:
            each.stop()
        events.emit(_LOG, events.Event.DAEMON_STOPPED)

    def use_settings(self, settings: schema.RedirectorSettings) -> None:
        """Send on to other boxes from now on."""
        self._targets = _targets(settings)
        self._finder.use_addresses(_others(settings))

    def _redirect(self, request: wsgi.Request) -> wsgi.Response:
        target = self._leader() or next(self._targets, "")
        if not target:
            raise errors.CroftpulleyError(codes.ResultCode.NOT_LEADER)
        query = f"?{request.query}" if request.query else ""
        location = f"http://{target}{request.path}{query}"
        return wsgi.Response(307, wsgi.JSON, b"{}", (("Location", location),))

    def _leader(self) -> str:
        """Return where operators reach the leader, empty if none is known.

        Sent to a box by chance instead, an operator waits a second for each that is down.
        """
        host = self._finder.find().rpartition(":")[0]
        return f"{host}:{self._port}" if host else ""


def _targets(settings: schema.RedirectorSettings) -> Iterator[str]:
    """Return the other boxes in turn, for ever; none where there is none."""
    others = [each for each in settings.targets if each != settings.operator_address]
    return itertools.cycle(others)


def _others(settings: schema.RedirectorSettings) -> tuple[str, ...]:
    return tuple(each for each in settings.control_addresses if each != settings.peer_address)


def _make_http(
    handler: wsgi.Handler,
    address: str,
    threads: int,
    limits: schema.HttpLimits,
    room: request_room.RequestRoom,
) -> server.HttpServer:
    application = wsgi.Application(handler, limits.header_count)
    return server.HttpServer(application, address, threads, limits, room=room)
