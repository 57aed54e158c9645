"""The controller of a router that has its servers keep the configuration's limits for callers."""

from __future__ import annotations

import logging

from croftpulley.controllers import actors, router_state
from croftpulley.http import server
from croftpulley.observe import events, metrics
from croftpulley.settings import fleet

_LOG = logging.getLogger(__name__)


class CallerLimits(actors.Controller):
    """Applies the configuration's limits on what callers may send, once they change, and tells of
    what callers leave unread.
    """

    def __init__(
        self,
        view: actors.View[router_state.RouterState],
        servers: tuple[server.HttpServer, ...],
        counters: metrics.Metrics,
    ) -> None:
        super().__init__()
        self._counters = counters
        self._view = view
        self._servers = servers
        self._limits: fleet.WireLimits | None = None

    def handle(self, message: object) -> None:
        """Look once."""
        self._counters.unread(sum(each.unread_bytes for each in self._servers))
        configuration = self._view.get().configuration
        if configuration.version and configuration.limits != self._limits:
            self._limits = configuration.limits
            for each in self._servers:
                each.set_limits(configuration.limits)
            events.emit(_LOG, events.Event.LIMITS_IN_USE, limits=repr(configuration.limits))
