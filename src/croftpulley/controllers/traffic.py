"""The requests that this router has in flight, by endpoint, and what became of earlier ones.

Shared by all request threads and guarded by a lock, since every request passes it (see
``docs/HOUSE-STYLE.md``).
"""

from __future__ import annotations

import collections
import threading

from croftpulley import clock as clocks
from croftpulley.controllers import router_state
from croftpulley.core import calls, membership, places, retry_budget, selection, trust


class Traffic:
    """Counts, trust and retry budgets of one router."""

    def __init__(self, allowance: retry_budget.Allowance, clock: clocks.Clock) -> None:
        self._allowance = allowance
        self._clock = clock
        self._lock = threading.Lock()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._part_tokens: collections.Counter[str] = collections.Counter()
        self._places = places.Places()
        self._notes: list[places.Note] = []
        self._trust: dict[str, trust.Trust] = {}
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

    def in_flight(self) -> dict[str, int]:
        """Return the counts that are not 0."""
        with self._lock:
            return dict(self._in_flight)

    def sent_prompt(self, facts: calls.CallFacts, engine: str) -> None:
        """Count the prompt of a request that was sent, and note where its shared parts lie."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._part_tokens[facts.shared[0].part] += facts.prompt_tokens
            for part in facts.shared:
                note = places.Note(part.part, engine)
                if self._places.note(note, now_s):
                    self._notes.append(note)

    def holders(self, part: str) -> list[str]:
        """Return the engines that likely hold a part."""
        with self._lock:
            return self._places.holders(part, self._clock.monotonic_s())

    def take_notes(self) -> tuple[places.Note, ...]:
        """Return the notes made since the last call."""
        with self._lock:
            taken = tuple(self._notes)
            self._notes.clear()
            return taken

    def learn_notes(self, notes: tuple[places.Note, ...]) -> None:
        """Take the notes of other routers, and one's own once more."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for note in notes:
                self._places.note(note, now_s)

    def take_part_tokens(self) -> dict[str, int]:
        """Return the prompt tokens counted since the last call."""
        with self._lock:
            taken = dict(self._part_tokens)
            self._part_tokens.clear()
            return taken

    def candidates(
        self, endpoints: list[membership.Endpoint], state: router_state.RouterState
    ) -> list[selection.Candidate]:
        """Return the endpoints with their loads: the others' as last heard, ours as it is."""
        with self._lock:
            return [
                selection.Candidate(
                    name=each.name,
                    hall=each.hall,
                    load=self._load(each.name, state),
                    avoid_until_s=self._avoid_until_s(each.name),
                )
                for each in endpoints
            ]

    def _load(self, endpoint: str, state: router_state.RouterState) -> int:
        others = state.loads.get(endpoint, 0) - state.own_loads.get(endpoint, 0)
        return max(0, others) + self._in_flight.get(endpoint, 0)

    def _avoid_until_s(self, endpoint: str) -> float:
        known = self._trust.get(endpoint)
        return known.avoid_until_s if known else float("-inf")

    def failed(self, endpoint: str) -> None:
        """Note that an endpoint could not be reached or broke off."""
        with self._lock:
            self._known(endpoint).failed(self._clock.monotonic_s())

    def gone(self, endpoint: str) -> None:
        """Note that another incarnation has an endpoint's address."""
        with self._lock:
            self._known(endpoint).gone(self._clock.monotonic_s())

    def answered(self, endpoint: str) -> None:
        """Note a whole answer."""
        with self._lock:
            known = self._trust.get(endpoint)
            if known is not None:
                known.answered()

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
