"""Chooses the endpoint for each attempt of a request."""

from __future__ import annotations

import logging

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import actors, permits, router_state, traffic
from croftpulley.core import membership, prompt_part_index, selection, send_quotas
from croftpulley.core import permits as capacities
from croftpulley.forwarding import base, headers, refusals, service, steer
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class PlacementDecision:
    """The endpoint chosen for an attempt, and the prefill work that it will have.

    ``cache_from`` is the address of an engine from which it should fetch cached prompt parts, empty
    if none; ``reading_tokens`` is the number of tokens that it has to prefill.
    """

    endpoint: membership.Endpoint
    cache_from: str = ""
    reading_tokens: int = 0
    send_record: send_quotas.SendRecord | None = None
    """Reserves a send to a cold endpoint within its quota; ``None`` for other endpoints."""


class Placement:
    """Chooses an endpoint among those of the request's pool that are in service."""

    def __init__(
        self,
        hall: str,
        view: actors.View[router_state.RouterState],
        counts: traffic.Traffic,
        pools: service.MemberCache,
        overload_limit: selection.OverloadLimit,
        rates: selection.CostRates,
        steering: steer.Steering,
        box_permits: permits.Permits,
        clock: clocks.Clock,
    ) -> None:
        self._steering = steering
        self._hall = hall
        self._view = view
        self._counts = counts
        self._service = pools
        self._overload_limit = overload_limit
        self._rates = rates
        self._permits = box_permits
        self._clock = clock

    def choose(self, exchange: base.Exchange, tried: set[str]) -> PlacementDecision:
        """Return the endpoint for the next attempt.

        ``tried`` has the keys of the endpoints that were asked already. The endpoints in service
        are looked up for each attempt: a stream may resume elsewhere long after its request
        arrived. Raises NO_ENGINE, ENDPOINTS_COLD, ENDPOINTS_RESTING or NO_CAPACITY if no endpoint
        is available.
        """
        excluded = set(tried)
        while True:
            state = self._view.get()
            placed = self._choose(exchange, state, excluded)
            if not state.may_be_cold:
                return placed
            quota_per_s = state.cold_quota(placed.endpoint, self._clock.monotonic_s())
            if quota_per_s is None:
                return placed
            send_record = self._counts.reserve_cold_send(placed.endpoint.key, quota_per_s)
            if send_record is not None:
                return attrs.evolve(placed, send_record=send_record)
            # Another request has just used up the quota of this endpoint.
            excluded.add(placed.endpoint.key)

    def has_untried(self, exchange: base.Exchange, tried: set[str]) -> bool:
        """Return whether an endpoint that is not in ``tried`` may be sent the request now."""
        return bool(self._eligible(self.survey(exchange), tried))

    def survey(
        self, exchange: base.Exchange, state: router_state.RouterState | None = None
    ) -> service.Survey:
        """Return the endpoints in service for a request, including those asked already."""
        state = state or self._view.get()
        members = self._service.members(
            state, exchange.pool, exchange.home_regions, exchange.required_version
        )
        held_tokens = self._held_tokens(exchange, members)
        return service.Survey(
            state=state,
            members=members,
            held_tokens=held_tokens,
            candidates=self._counts.candidates(members.in_service, state, held_tokens),
            max_load=self._max_load(exchange, state),
            now_s=self._clock.monotonic_s(),
            is_brittle=self._counts.most_turned_away(exchange.pool) is not None,
        )

    def _max_load(self, exchange: base.Exchange, state: router_state.RouterState) -> float:
        """Return the load from which on an endpoint does not get this request."""
        pool = state.tables.pools.get(exchange.pool)
        slots = pool.slots if pool else 0
        if self._counts.shares_room:
            # Permits are granted by urgency already: a request that has one must not be rejected
            # for its urgency again.
            return capacities.max_endpoint_load(slots)
        return capacities.max_load(slots, headers.urgency(exchange))

    def _eligible(self, survey: service.Survey, excluded: set[str]) -> list[selection.Candidate]:
        """Return the endpoints that may be sent one more request now, without ``excluded``."""
        state, now_s = survey.state, survey.now_s
        eligible = [
            each
            for each in survey.candidates
            if each.name not in excluded
            and each.withdrawn_until_s <= now_s
            and not survey.is_full(each)
        ]
        if not state.may_be_cold:
            return eligible
        by_key = survey.members.by_key
        return [each for each in eligible if self._is_within_quota(by_key[each.name], state, now_s)]

    def _choose(
        self, exchange: base.Exchange, state: router_state.RouterState, excluded: set[str]
    ) -> PlacementDecision:
        """Choose an endpoint that is not in ``excluded``; raise the refusal if there is none."""
        survey = self.survey(exchange, state)
        eligible = self._eligible(survey, excluded)
        candidates = selection.without_avoided(eligible, survey.now_s)
        if not candidates:
            raise refusals.no_endpoint_available(exchange, survey, excluded)
        prompt = _prompt(exchange)
        max_held_tokens = max(survey.held_tokens.values(), default=0)
        chosen = self._choose_candidate(exchange, prompt, candidates, max_held_tokens)
        if prompt is None:
            placed = PlacementDecision(endpoint=survey.members.by_key[chosen.name])
        else:
            placed = self._plan_prefill(prompt, chosen, survey.held_tokens, survey.members)
        self._log_choice(exchange, placed.endpoint, chosen, candidates, survey.now_s)
        return placed

    def _is_within_quota(
        self, endpoint: membership.Endpoint, state: router_state.RouterState, now_s: float
    ) -> bool:
        """Return whether an endpoint is not cold, or its quota allows one more request."""
        quota_per_s = state.cold_quota(endpoint, now_s)
        return quota_per_s is None or self._counts.may_send_cold(endpoint.key, quota_per_s)

    def _choose_candidate(
        self,
        exchange: base.Exchange,
        prompt: selection.Prompt | None,
        candidates: list[selection.Candidate],
        most_held_tokens: int,
    ) -> selection.Candidate:
        """Return the endpoint that the request's policy arm chooses, or the built-in choice."""
        if exchange.trial:
            # Least load: if this suspect request crashes the endpoint, all requests there fail.
            return min(candidates, key=lambda each: (each.load, each.reading_tokens))
        if prompt is None:
            built_in = self._choose_without_prompt(exchange, candidates)
            # Only operators' programs need the overload limit here, the built-in choice does not.
            if exchange.state.tables.arms.is_empty:
                return built_in
            eligible = self._overload_limit.eligible(candidates)
        else:
            eligible = self._overload_limit.eligible(candidates)
            built_in = selection.choose_for_prompt(prompt, eligible, most_held_tokens, self._rates)
        return self._steering.choose(exchange, eligible, most_held_tokens, built_in)

    def _choose_without_prompt(
        self, exchange: base.Exchange, candidates: list[selection.Candidate]
    ) -> selection.Candidate:
        """Choose an endpoint for a request that shares no prompt prefix with others."""
        request_id = exchange.facts.request_id
        if not self._counts.shares_room:
            return selection.choose_least_busy(request_id, candidates, self._hall)
        age_s = self._clock.monotonic_s() - self._view.get().loads_at_s
        remaining_fraction = selection.remaining_load_fraction(
            age_s, self._permits.hold_s(exchange.pool)
        )
        return selection.choose_evenly(request_id, candidates, remaining_fraction)

    def _held_tokens(self, exchange: base.Exchange, members: service.Members) -> dict[str, int]:
        """Return how many prompt tokens each listed engine holds, also one that shuts down."""
        if not exchange.known_route.sticky:
            return {}
        held = self._counts.held_tokens(exchange.facts)
        return {key: tokens for key, tokens in held.items() if key in members.by_key}

    @staticmethod
    def _plan_prefill(
        prompt: selection.Prompt,
        chosen: selection.Candidate,
        held_tokens: dict[str, int],
        members: service.Members,
    ) -> PlacementDecision:
        """Return the placement with the tokens to prefill and the engine to fetch others from."""
        max_held_tokens = max(held_tokens.values(), default=0)
        if max_held_tokens - chosen.held_tokens < prompt_part_index.MIN_PART_TOKENS:
            max_held_tokens = chosen.held_tokens
        prefill = selection.prefill_work(prompt, chosen, max_held_tokens)
        holders = sorted(key for key, tokens in held_tokens.items() if tokens == max_held_tokens)
        return PlacementDecision(
            endpoint=members.by_key[chosen.name],
            cache_from=members.by_key[holders[0]].address if prefill.tokens_to_fetch else "",
            reading_tokens=prefill.tokens_to_prefill,
        )

    def _log_choice(
        self,
        exchange: base.Exchange,
        endpoint: membership.Endpoint,
        chosen: selection.Candidate,
        candidates: list[selection.Candidate],
        now_s: float,
    ) -> None:
        events.emit(
            _LOG,
            events.Event.ENDPOINT_CHOSEN,
            request_id=exchange.facts.request_id,
            fingerprint=exchange.fingerprint,
            parts=exchange.facts.shared_part_ids,
            route=exchange.route_name,
            endpoint=chosen.name,
            version=endpoint.version,
            after_event=exchange.facts.last_event_id,
            resumes=exchange.facts.resumes,
            load=chosen.load,
            mean_load=round(sum(each.load for each in candidates) / len(candidates), 2),
            reading_tokens=round(chosen.reading_tokens),
            held_tokens=chosen.held_tokens,
            prompt_tokens=exchange.facts.prompt_tokens,
            candidates=len(candidates),
            arm=exchange.arm,
            loads_age_s=round(now_s - exchange.state.loads_at_s, 3),
            configuration_version=exchange.state.configuration.version,
        )


def _prompt(exchange: base.Exchange) -> selection.Prompt | None:
    """Return the prompt if others share its prefix and the route is sticky, else ``None``."""
    if not exchange.facts.shared_prefix or not exchange.known_route.sticky:
        return None
    return selection.Prompt.of(exchange.facts)
