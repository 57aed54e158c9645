"""The requests that this router has in flight, by endpoint, and what became of earlier ones.

Shared by all request threads and guarded by a lock, since every request passes it (see
``docs/HOUSE-STYLE.md``).
"""

from __future__ import annotations

import collections
import threading

from croftpulley import clock as clocks
from croftpulley.controllers import router_state
from croftpulley.core import (
    calls,
    membership,
    outcomes,
    places,
    retry_budget,
    selection,
    sessions,
    trust,
)


class Traffic:
    """Counts, trust and retry budgets of one router."""

    def __init__(
        self,
        allowance: retry_budget.Allowance,
        rates: selection.Rates,
        clock: clocks.Clock,
    ) -> None:
        self._allowance = allowance
        self._rates = rates
        self._clock = clock
        self._lock = threading.Lock()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._reading: collections.Counter[str] = collections.Counter()
        self._places = places.Places()
        self._notes: list[places.Note] = []
        self._trust: dict[str, trust.Trust] = {}
        self._ended_well: collections.Counter[str] = collections.Counter()
        self._ended_badly: collections.Counter[str] = collections.Counter()
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def enter(self, endpoint: str) -> None:
        """Count a request in."""
        with self._lock:
            self._in_flight[endpoint] += 1

    def leave(self, endpoint: str) -> None:
        """Count a request out."""
        with self._lock:
            self._in_flight[endpoint] -= 1
            if self._in_flight[endpoint] <= 0:
                del self._in_flight[endpoint]

    def load(self) -> sessions.Load:
        """Return what is not 0 of requests and of tokens to be read."""
        with self._lock:
            return sessions.Load(dict(self._in_flight), dict(self._reading))

    def begin_reading(self, facts: calls.CallFacts, engine: str, tokens: int) -> None:
        """Count the tokens that an engine has to read, and note where the shared parts lie."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if tokens:
                self._reading[engine] += tokens
            for part in facts.shared:
                note = places.Note(part.part, engine)
                if self._places.note(note, now_s):
                    self._notes.append(note)

    def end_reading(self, engine: str, tokens: int) -> None:
        """Count out tokens that were read, or are read no more."""
        with self._lock:
            self._reading[engine] -= tokens
            if self._reading[engine] <= 0:
                del self._reading[engine]

    def held_tokens(self, facts: calls.CallFacts) -> dict[str, int]:
        """Return how many tokens of a prompt's shared beginning each engine likely holds."""
        now_s = self._clock.monotonic_s()
        held: dict[str, int] = {}
        tokens = 0
        with self._lock:
            for part in facts.shared:
                tokens += part.tokens
                for engine in self._places.holders(part.part, now_s):
                    # Whoever was sent a part was sent all parts before it.
                    held[engine] = tokens
        return held

    def take_notes(self) -> places.Notes:
        """Return the notes made since the last call."""
        with self._lock:
            taken, self._notes = self._notes, []
        return places.by_engine(taken)

    def give_back_notes(self, notes: places.Notes) -> None:
        """Take back notes that reached nobody; they go out with the next report."""
        with self._lock:
            self._notes = [*places.each_note(notes), *self._notes]

    def learn_notes(self, notes: places.Notes) -> None:
        """Take the notes of other boxes, and one's own once more."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for note in places.each_note(notes):
                self._places.note(note, now_s)

    def candidates(
        self,
        endpoints: list[membership.Endpoint],
        state: router_state.RouterState,
        held_tokens: dict[str, int],
    ) -> list[selection.Candidate]:
        """Return the endpoints with their loads: the others' as last heard, ours as it is."""
        age_s = self._clock.monotonic_s() - state.loads_at_s
        with self._lock:
            return [
                selection.Candidate(
                    name=each.name,
                    hall=each.hall,
                    load=self._load(each.name, state),
                    avoid_until_s=self._avoid_until_s(each.name, state),
                    reading_tokens=self._reading_tokens(each.name, state, age_s),
                    held_tokens=held_tokens.get(each.name, 0),
                )
                for each in endpoints
            ]

    def _load(self, endpoint: str, state: router_state.RouterState) -> int:
        others = state.loads.get(endpoint, 0) - state.own_loads.get(endpoint, 0)
        return max(0, others) + self._in_flight.get(endpoint, 0)

    def _reading_tokens(
        self, endpoint: str, state: router_state.RouterState, age_s: float
    ) -> float:
        """Return what is to be read: the others' part has been read on since it was reported."""
        heard = state.reading_tokens.get(endpoint, 0)
        others = heard - state.own_reading_tokens.get(endpoint, 0)
        read_since = self._rates.read_tokens_a_ms * 1000 * age_s
        return max(0.0, others - read_since) + self._reading.get(endpoint, 0)

    def _avoid_until_s(self, endpoint: str, state: router_state.RouterState) -> float:
        """Return until when an endpoint is avoided; one that is held off, until that is lifted."""
        if endpoint in state.held_off:
            return float("inf")
        known = self._trust.get(endpoint)
        return known.avoid_until_s if known else float("-inf")

    def failed(self, endpoint: str) -> None:
        """Note that an endpoint could not be reached or broke off."""
        with self._lock:
            self._ended_badly[endpoint] += 1
            self._known(endpoint).failed(self._clock.monotonic_s())

    def gone(self, endpoint: str) -> None:
        """Note that another incarnation has an endpoint's address."""
        with self._lock:
            self._known(endpoint).gone(self._clock.monotonic_s())

    def answered(self, endpoint: str) -> None:
        """Note a whole answer that is no error of the endpoint's."""
        with self._lock:
            self._ended_well[endpoint] += 1
            known = self._trust.get(endpoint)
            if known is not None:
                known.answered()

    def erred(self, endpoint: str) -> None:
        """Note an answer that is an error of the endpoint's: it works, if not for this request."""
        with self._lock:
            self._ended_badly[endpoint] += 1

    def take_outcomes(self) -> outcomes.Counts:
        """Return how requests ended since the last call, well and badly, by endpoint."""
        with self._lock:
            well, self._ended_well = self._ended_well, collections.Counter()
            badly, self._ended_badly = self._ended_badly, collections.Counter()
        return {name: (well[name], badly[name]) for name in well.keys() | badly.keys()}

    def _known(self, endpoint: str) -> trust.Trust:
        return self._trust.setdefault(endpoint, trust.Trust())

    def forget_all_but(self, endpoints: set[str]) -> None:
        """Drop the records of endpoints that are listed no more."""
        with self._lock:
            for name in set(self._trust) - endpoints:
                del self._trust[name]

    def request(self, pool: str) -> None:
        """Count a request towards the pool's retry budget."""
        with self._lock:
            self._budget(pool).request(self._clock.monotonic_s())

    def may_repeat(self, pool: str, boxes: int) -> bool:
        """Take one repeat from the pool's retry budget, if there is one."""
        with self._lock:
            return self._budget(pool).take(self._clock.monotonic_s(), boxes)

    def _budget(self, pool: str) -> retry_budget.RetryBudget:
        return self._budgets.setdefault(pool, retry_budget.RetryBudget(self._allowance))
