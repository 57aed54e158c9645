"""Which endpoint an attempt goes to."""

from __future__ import annotations

import logging

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import traffic
from croftpulley.core import membership, selection, tables
from croftpulley.forwarding import base
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
LEAST_FETCHED_TOKENS = 300
"""Reading fewer takes an engine less time than asking another for them."""


class Placement:
    """Chooses among the endpoints of a request's pool that are in service."""

    def __init__(
        self, hall: str, counts: traffic.Traffic, spill: selection.Spill, clock: clocks.Clock
    ) -> None:
        self._hall = hall
        self._counts = counts
        self._spill = spill
        self._clock = clock

    def choose(self, exchange: base.Exchange, tried: set[str]) -> membership.Endpoint:
        """Return the endpoint for the next attempt; raises NO_ENGINE if none is left."""
        pool = tables.pool_for(exchange.known_route, exchange.facts.request_id)
        endpoints = [
            each
            for each in exchange.state.endpoints
            if each.pool == pool and not each.leaving and each.name not in tried
        ]
        now_s = self._clock.monotonic_s()
        candidates = selection.trusted(self._counts.candidates(endpoints, exchange.state), now_s)
        if not candidates:
            raise errors.CroftpulleyError(
                codes.ResultCode.NO_ENGINE, f"pool {pool!r} has no endpoint that may be asked"
            )
        chosen = self._choose(exchange, candidates)
        self._log(exchange, chosen, candidates, now_s)
        return next(each for each in endpoints if each.name == chosen.name)

    def _choose(
        self, exchange: base.Exchange, candidates: list[selection.Candidate]
    ) -> selection.Candidate:
        shared = exchange.facts.shared
        if shared and exchange.known_route.sticky:
            holding = selection.by_holding(
                self._counts.holders(shared[-1].part), candidates, self._spill
            )
            if holding is not None:
                return holding
            first_part = shared[0].part
            affinity = selection.Affinity(
                first_part=first_part,
                last_part=shared[-1].part,
                spread=exchange.state.spreads.get(first_part, 1),
            )
            return selection.by_affinity(affinity, candidates, self._spill)
        return selection.least_busy(exchange.facts.request_id, candidates, self._hall)

    def cache_source(self, exchange: base.Exchange, engine: membership.Endpoint) -> str:
        """Return the address of an engine that holds more of the prompt than ``engine`` does.

        One that is leaving will do. Empty if there is none, or if reading is as cheap.
        """
        if not exchange.known_route.sticky:
            return ""
        peers = {
            each.name: each.address
            for each in exchange.state.endpoints
            if each.pool == engine.pool and each.name != engine.name
        }
        for part in reversed(exchange.facts.shared):
            holders = self._counts.holders(part.part)
            if engine.name in holders:
                return ""
            others = sorted(peers[name] for name in holders if name in peers)
            if others and part.tokens >= LEAST_FETCHED_TOKENS:
                return others[0]
        return ""

    def _log(
        self,
        exchange: base.Exchange,
        chosen: selection.Candidate,
        candidates: list[selection.Candidate],
        now_s: float,
    ) -> None:
        events.emit(
            _LOG,
            events.Event.ENDPOINT_CHOSEN,
            request_id=exchange.facts.request_id,
            route=exchange.route_name,
            endpoint=chosen.name,
            load=chosen.load,
            mean_load=round(sum(each.load for each in candidates) / len(candidates), 2),
            candidates=len(candidates),
            loads_age_s=round(now_s - exchange.state.loads_at_s, 3),
            configuration_version=exchange.state.configuration.version,
        )
