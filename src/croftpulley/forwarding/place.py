"""Which endpoint an attempt goes to."""

from __future__ import annotations

import logging

import attrs

from croftpulley import clock as clocks
from croftpulley.controllers import actors, permits, router_state, traffic
from croftpulley.core import load_limits, membership, prompt_part_index, selection, send_quotas
from croftpulley.forwarding import base, headers, refusals, service, steer
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Placed:
    """An endpoint, the address of an engine from which it should fetch, and what it has to read."""

    endpoint: membership.Endpoint
    cache_from: str = ""
    reading_tokens: int = 0
    departure: send_quotas.SendRecord | None = None
    """Of a request to a cold endpoint."""


class Placement:
    """Chooses among the endpoints of a request's pool that are in service."""

    def __init__(
        self,
        hall: str,
        view: actors.View[router_state.RouterState],
        counts: traffic.Traffic,
        pools: service.Service,
        spill: selection.OverloadLimit,
        rates: selection.CostRates,
        programs: steer.Steering,
        held: permits.Permits,
        clock: clocks.Clock,
    ) -> None:
        self._programs = programs
        self._hall = hall
        self._view = view
        self._counts = counts
        self._service = pools
        self._spill = spill
        self._rates = rates
        self._permits = held
        self._clock = clock

    def choose(self, exchange: base.Exchange, tried: set[str]) -> Placed:
        """Return the endpoint for the next attempt.

        Which endpoints are in service is looked up for each attempt: a stream may go on elsewhere
        long after its request came. Raises NO_ENGINE, ENDPOINTS_COLD, ENDPOINTS_RESTING or
        NO_CAPACITY if there is none.
        """
        passed_over = set(tried)
        while True:
            state = self._view.get()
            placed = self._choose(exchange, state, passed_over)
            if not state.may_be_cold:
                return placed
            a_second = state.cold_a_second(placed.endpoint, self._clock.monotonic_s())
            if a_second is None:
                return placed
            departure = self._counts.take_cold(placed.endpoint.key, a_second)
            if departure is not None:
                return attrs.evolve(placed, departure=departure)
            # Another request has just taken the last place.
            passed_over.add(placed.endpoint.key)

    def has_other(self, exchange: base.Exchange, tried: set[str]) -> bool:
        """Tell whether an endpoint that was not asked yet may be sent the request now."""
        return bool(self._open(self.survey(exchange), tried))

    def survey(
        self, exchange: base.Exchange, state: router_state.RouterState | None = None
    ) -> service.Survey:
        """Return the endpoints in service for a request, those that were asked already too."""
        state = state or self._view.get()
        members = self._service.members(
            state, exchange.pool, exchange.home_regions, exchange.version
        )
        held_tokens = self._held_tokens(exchange, members)
        return service.Survey(
            state=state,
            members=members,
            held_tokens=held_tokens,
            candidates=self._counts.candidates(members.in_service, state, held_tokens),
            most_load=self._most_load(exchange, state),
            now_s=self._clock.monotonic_s(),
            is_brittle=self._counts.most_turned_away(exchange.pool) is not None,
        )

    def _most_load(self, exchange: base.Exchange, state: router_state.RouterState) -> float:
        """Return how many requests one endpoint may have for this one to go there."""
        pool = state.tables.pools.get(exchange.pool)
        slots = pool.slots if pool else 0
        if self._counts.shares_room:
            # Who has a permit was let in by rank; what it is for must not be refused again.
            return load_limits.max_endpoint_load(slots)
        return load_limits.max_load(slots, headers.urgency(exchange))

    def _open(self, survey: service.Survey, passed_over: set[str]) -> list[selection.Candidate]:
        """Return the endpoints that may be sent one more request now."""
        state, now_s = survey.state, survey.now_s
        left = [
            each
            for each in survey.candidates
            if each.name not in passed_over
            and each.withdrawn_until_s <= now_s
            and not survey.is_full(each)
        ]
        if not state.may_be_cold:
            return left
        by_key = survey.members.by_key
        return [each for each in left if self._may_be_sent(by_key[each.name], state, now_s)]

    def _choose(
        self, exchange: base.Exchange, state: router_state.RouterState, passed_over: set[str]
    ) -> Placed:
        survey = self.survey(exchange, state)
        open_now = self._open(survey, passed_over)
        candidates = selection.without_avoided(open_now, survey.now_s)
        if not candidates:
            raise refusals.none_open(exchange, survey, passed_over)
        prompt = _prompt(exchange)
        most = max(survey.held_tokens.values(), default=0)
        chosen = self._chosen(exchange, prompt, candidates, most)
        if prompt is None:
            placed = Placed(endpoint=survey.members.by_key[chosen.name])
        else:
            placed = self._placed(prompt, chosen, survey.held_tokens, survey.members)
        self._log(exchange, placed.endpoint, chosen, candidates, survey.now_s)
        return placed

    def _may_be_sent(
        self, endpoint: membership.Endpoint, state: router_state.RouterState, now_s: float
    ) -> bool:
        """Tell whether an endpoint may be sent one more request, should it be cold."""
        a_second = state.cold_a_second(endpoint, now_s)
        return a_second is None or self._counts.may_send_cold(endpoint.key, a_second)

    def _chosen(
        self,
        exchange: base.Exchange,
        prompt: selection.Prompt | None,
        candidates: list[selection.Candidate],
        most_held_tokens: int,
    ) -> selection.Candidate:
        """Return the choice of the request's arm, or the built-in one."""
        if exchange.trial:
            # Whatever runs beside it ends with it, should it end the endpoint.
            return min(candidates, key=lambda each: (each.load, each.reading_tokens))
        if prompt is None:
            built_in = self._plain_choice(exchange, candidates)
            # The built-in choice needs no cap here; only programs do.
            if exchange.state.tables.arms.is_empty:
                return built_in
            fit = self._spill.eligible(candidates)
        else:
            fit = self._spill.eligible(candidates)
            built_in = selection.choose_for_prompt(prompt, fit, most_held_tokens, self._rates)
        return self._programs.chosen(exchange, fit, most_held_tokens, built_in)

    def _plain_choice(
        self, exchange: base.Exchange, candidates: list[selection.Candidate]
    ) -> selection.Candidate:
        """Choose for a request without a prompt that others share."""
        request_id = exchange.facts.request_id
        if not self._counts.shares_room:
            return selection.choose_least_busy(request_id, candidates, self._hall)
        age_s = self._clock.monotonic_s() - self._view.get().loads_at_s
        kept = selection.remaining_load_fraction(age_s, self._permits.hold_s(exchange.pool))
        return selection.choose_evenly(request_id, candidates, kept)

    def _held_tokens(self, exchange: base.Exchange, members: service.Members) -> dict[str, int]:
        """Return what each listed engine holds of the prompt; one that is leaving counts too."""
        if not exchange.known_route.sticky:
            return {}
        held = self._counts.held_tokens(exchange.facts)
        return {key: tokens for key, tokens in held.items() if key in members.by_key}

    @staticmethod
    def _placed(
        prompt: selection.Prompt,
        chosen: selection.Candidate,
        held_tokens: dict[str, int],
        members: service.Members,
    ) -> Placed:
        """Work out what the engine must read, and from whom it fetches the rest."""
        most = max(held_tokens.values(), default=0)
        if most - chosen.held_tokens < prompt_part_index.MIN_PART_TOKENS:
            most = chosen.held_tokens
        reading = selection.prefill_work(prompt, chosen, most)
        holders = sorted(key for key, tokens in held_tokens.items() if tokens == most)
        return Placed(
            endpoint=members.by_key[chosen.name],
            cache_from=members.by_key[holders[0]].address if reading.tokens_to_fetch else "",
            reading_tokens=reading.tokens_to_prefill,
        )

    def _log(
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
    """Return the prompt of a request whose beginning others share."""
    if not exchange.facts.shared_prefix or not exchange.known_route.sticky:
        return None
    return selection.Prompt.of(exchange.facts)
