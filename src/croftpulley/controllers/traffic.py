"""The requests that this router has in flight, by endpoint, and what became of earlier ones.

Shared by all request threads and guarded by a lock, since every request passes it (see
``docs/HOUSE-STYLE.md``).
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping

from croftpulley import clock as clocks
from croftpulley.controllers import heard_loads, router_state
from croftpulley.core import (
    brittle,
    calls,
    listed_counts,
    load_reports,
    membership,
    outlier_detection,
    prompt_part_index,
    records,
    retry_budget,
    selection,
    send_quotas,
    withdrawal,
)

_BLANK = records.Record()
"""What is remembered of an endpoint that nothing was sent to; never changed."""


class Traffic:
    """Counts, trust and retry budgets of one router.

    Endpoints go by `membership.Endpoint.key`; `core.records` holds all that is remembered of them.
    """

    def __init__(
        self,
        allowance: retry_budget.Allowance,
        rates: selection.CostRates,
        clock: clocks.Clock,
        *,
        shares_room: bool = False,
    ) -> None:
        self._allowance = allowance
        self._rates = rates
        self._clock = clock
        self._lock = threading.Lock()
        self._records = records.Records()
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._extra_share = retry_budget.ExtraShare()
        self._pace = send_quotas.SendLimiter.after_restart(clock.monotonic_s())
        self._heard = heard_loads.HeardLoads()
        self._shares_room = shares_room
        self._brittle = brittle.BrittleEndpoints()

    def enter(self, endpoint: str) -> None:
        """Count a request in."""

        def count(record: records.Record) -> None:
            record.in_flight += 1

        self._change(endpoint, count)

    def leave(self, endpoint: str) -> None:
        """Count a request out."""

        def count(record: records.Record) -> None:
            # A life that was unlisted for a moment is counted anew.
            record.in_flight = max(0, record.in_flight - 1)

        self._change(endpoint, count)

    def load(self) -> listed_counts.EndpointLoads:
        """Return what is not 0 of requests, of tokens to be read and of rests."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return listed_counts.EndpointLoads(
                self._records.in_flight(),
                self._records.reading_tokens(),
                self._records.resting_s(now_s),
            )

    def begin_reading(self, facts: calls.CallFacts, engine: str, tokens: int) -> None:
        """Count the tokens that an engine has to read, and note where the shared parts lie."""
        now_s = self._clock.monotonic_s()

        def count(record: records.Record) -> None:
            record.reading_tokens += tokens

        with self._lock:
            self._records.update(engine, count)
            for part in facts.shared_prefix:
                self._records.note_own(prompt_part_index.Note(part.part_id, engine), now_s)

    def end_reading(self, engine: str, tokens: int) -> None:
        """Count out tokens that were read, or are read no more."""

        def count(record: records.Record) -> None:
            record.reading_tokens = max(0, record.reading_tokens - tokens)

        self._change(engine, count)

    def held_tokens(self, facts: calls.CallFacts) -> dict[str, int]:
        """Return how many tokens of a prompt's shared beginning each engine likely holds."""
        now_s = self._clock.monotonic_s()
        held: dict[str, int] = {}
        tokens = 0
        with self._lock:
            for part in facts.shared_prefix:
                tokens += part.tokens
                for engine in self._records.holders(part.part_id, now_s):
                    # Whoever was sent a part was sent all parts before it.
                    held[engine] = tokens
        return held

    def take_notes(self) -> prompt_part_index.NotesByEngine:
        """Return the notes made since the last call."""
        with self._lock:
            return self._records.take_notes()

    def give_back_notes(self, notes: prompt_part_index.NotesByEngine) -> None:
        """Take back notes that reached nobody; they go out with the next report."""
        with self._lock:
            self._records.requeue_notes(notes)

    def learn_notes(self, notes: prompt_part_index.NotesByEngine) -> None:
        """Take the notes of other boxes, and one's own once more."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for note in prompt_part_index.iterate_notes(notes):
                self._records.note(note, now_s)

    def candidates(
        self,
        members: Mapping[str, membership.Endpoint],
        state: router_state.RouterState,
        held_tokens: dict[str, int],
    ) -> list[selection.Candidate]:
        """Return the endpoints with their loads: the others' as last heard, ours as it is.

        Most are as they were heard of for all requests until the next renewal: only what this box
        itself has to do with, or what differs for a prompt, is made anew for each request.
        """
        heard = self._heard.of(members, state)
        # What others' requests had to read has been read on since it was reported.
        now_s = self._clock.monotonic_s()
        age_s = now_s - state.loads_at_s
        read_since = self._rates.prefill_tokens_per_ms * 1000 * age_s
        with self._lock:
            differs = heard.reads | held_tokens.keys() | self._records.recorded_keys()
            return [
                self._candidate(each, read_since, held_tokens, now_s)
                if each.name in differs
                else each
                for each in heard.candidates
            ]

    def _candidate(
        self,
        heard: selection.Candidate,
        read_since: float,
        held_tokens: dict[str, int],
        now_s: float,
    ) -> selection.Candidate:
        own = self._records.get(heard.name) or _BLANK
        others_reading = max(0.0, heard.reading_tokens - read_since)
        return selection.Candidate(
            name=heard.name,
            hall=heard.hall,
            load=max(heard.load + own.in_flight, own.reported_requests(now_s)),
            avoid_until_s=max(heard.avoid_until_s, own.backoff.avoid_until_s),
            withdrawn_until_s=max(own.withdrawal.until_s, own.backoff.blocked_until_s),
            is_full=own.is_full,
            reading_tokens=others_reading + own.reading_tokens,
            held_tokens=held_tokens.get(heard.name, 0),
            own_load=own.in_flight,
        )

    def failed(self, endpoint: str) -> None:
        """Note that an endpoint could not be reached or broke off."""
        now_s = self._clock.monotonic_s()

        def note(record: records.Record) -> None:
            record.failed += 1
            record.backoff.failed(now_s)

        self._change(endpoint, note)

    def avoid(self, endpoint: str) -> None:
        """Have this box avoid an endpoint for a while, whoever is to blame."""
        now_s = self._clock.monotonic_s()
        self._change(endpoint, lambda record: record.backoff.failed(now_s))

    def trust_again(self, endpoints: Iterable[str]) -> None:
        """Have this box avoid endpoints no more."""
        with self._lock:
            for each in endpoints:
                self._records.update(each, lambda record: record.backoff.answered())

    def gone(self, endpoint: str) -> None:
        """Note that another endpoint has an endpoint's address."""
        now_s = self._clock.monotonic_s()
        self._change(endpoint, lambda record: record.backoff.address_reused(now_s))

    def answered(self, endpoint: str) -> None:
        """Note a whole answer that is no error of the endpoint's."""

        def note(record: records.Record) -> None:
            record.succeeded += 1
            record.backoff.answered()

        self._change(endpoint, note)

    def erred(self, endpoint: str) -> None:
        """Note an answer that is an error of the endpoint's: it works, if not for this request."""

        def note(record: records.Record) -> None:
            record.failed += 1

        self._change(endpoint, note)

    def hear(self, endpoint: str, notice: withdrawal.Notice) -> withdrawal.NoticeNews:
        """Take what an endpoint says of itself in an answer whose head has just been read."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._records.apply_notice(endpoint, notice, now_s)

    def hear_load(self, endpoint: str, told: load_reports.ReportedLoad) -> None:
        """Take what an endpoint tells of its load in an answer whose head has just been read."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._shares_room = self._shares_room or told.time_percent is not None
            if self._shares_room:
                self._records.store_load_report(endpoint, told, now_s)

    @property
    def shares_room(self) -> bool:
        """Tell whether boxes share the room of pools: settings say so, or an endpoint has told how
        long work takes there now, as those do that have their machines with others.
        """
        return self._shares_room

    def hear_brittle(self, endpoint: membership.Endpoint, most: int | None) -> bool:
        """Take how many requests an endpoint bears to turn away in a second; ``None``: any number.

        Returns whether that is news.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._brittle.note_limit(endpoint.key, endpoint.pool, most, now_s)

    def most_turned_away(self, pool: str) -> int | None:
        """Return how many requests an endpoint of a pool bears to turn away in a second.

        That is ``None`` where none of them is brittle.
        """
        with self._lock:
            return self._brittle.most_turned_away(pool, self._clock.monotonic_s())

    def is_brittle(self, endpoint: str) -> bool:
        """Tell whether an endpoint said lately that it is brittle."""
        with self._lock:
            return self._brittle.is_brittle(endpoint, self._clock.monotonic_s())

    def stay_away(self, endpoint: str, seconds_s: float) -> None:
        """Have this box avoid an endpoint for so long."""
        until_s = self._clock.monotonic_s() + seconds_s
        self._change(endpoint, lambda record: record.backoff.block_until(until_s))

    def bounds_room(self, pool: str) -> bool:
        """Tell whether a request needs a permit of its pool: where boxes share room, or endpoints
        are brittle.
        """
        return self._shares_room or self.most_turned_away(pool) is not None

    def is_full(self, endpoint: str) -> bool:
        """Tell whether an endpoint has just told that it has no slot free."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            record = self._records.get(endpoint)
            told = (
                record.reported_load
                if record is not None and record.reported_requests(now_s)
                else None
            )
            return told is not None and told.is_full

    def accepted(self, endpoint: str) -> None:
        """Note that an endpoint did not turn a request away."""
        with self._lock:
            record = self._records.get(endpoint)
            if record is not None:
                record.window.accepted()

    def is_withdrawn(self, endpoint: str) -> bool:
        """Tell whether an endpoint should get no requests from this box now, by its own words."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            record = self._records.get(endpoint)
            if record is None:
                return False
            return record.withdrawal.is_in_effect(now_s) or now_s < record.backoff.blocked_until_s

    def sent(self, endpoint: str) -> None:
        """Note that a request has left for an endpoint."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._records.sent(endpoint, now_s)

    def end_rests(self) -> list[withdrawal.EndedRest]:
        """Forget the rests that are over and return them."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._records.expire_rests(now_s)

    def said_leaving(self, endpoints: Iterable[membership.Endpoint]) -> tuple[str, ...]:
        """Return which of these said that they leave, where that is not known of them."""
        with self._lock:
            said = self._records.leaving_keys()
            return tuple(each.key for each in endpoints if each.key in said and not each.leaving)

    def withdrawn(self) -> dict[str, withdrawal.Withdrawal]:
        """Return the endpoints that want no requests now, with what they said."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._records.withdrawn(now_s)

    def take_outcomes(self) -> outlier_detection.Counts:
        """Return how requests ended since the last call, well and badly, by endpoint."""
        with self._lock:
            return self._records.take_outcomes()

    def _change(self, endpoint: str, change: Callable[[records.Record], None]) -> None:
        with self._lock:
            self._records.update(endpoint, change)

    def keep(self, endpoints: Iterable[membership.Endpoint]) -> None:
        """Forget every life of an endpoint that is listed no more."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._records.update_listed((each.key for each in endpoints), now_s)

    def may_send_cold(self, endpoint: str, a_second: int) -> bool:
        """Tell whether a cold endpoint may be sent one more request now."""
        with self._lock:
            return self._pace.may_send(endpoint, a_second, self._clock.monotonic_s())

    def take_cold(self, endpoint: str, a_second: int) -> send_quotas.SendRecord | None:
        """Count a request towards a cold endpoint's pace, if it may have one more."""
        with self._lock:
            return self._pace.try_reserve(endpoint, a_second, self._clock.monotonic_s())

    def cold_leaves(self, departure: send_quotas.SendRecord) -> None:
        """Have a request to a cold endpoint count from now on: its bytes leave, or never will."""
        with self._lock:
            departure.sent_at_s = self._clock.monotonic_s()

    def request(self, pool: str) -> None:
        """Count a request towards the pool's retry budget."""
        with self._lock:
            self._budget(pool).request(self._clock.monotonic_s())

    def renew_extra_share(self, grant: retry_budget.Grant) -> None:
        """Take what a lease that has just been granted says of the extra of all budgets."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._extra_share = self._extra_share.renewed(grant, now_s, self._allowance.counted_s)

    def take_repeat(self, pool: str) -> retry_budget.Decision:
        """Take one repeat from the pool's retry budget, if there is one."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            return self._budget(pool).acquire(now_s, self._extra_share.fraction(now_s))

    def retry_share(self) -> float:
        """Return the share of the extra of all budgets that this box may use."""
        with self._lock:
            return self._extra_share.fraction(self._clock.monotonic_s())

    def repeat_leaves(self, repeat: retry_budget.Repeat) -> None:
        """Have a repeat count from now on: its bytes leave."""
        with self._lock:
            repeat.at_s = self._clock.monotonic_s()

    @property
    def arrival_s(self) -> float:
        """How long a repeat may be on its way to its endpoint."""
        return self._allowance.arrival_s

    def _budget(self, pool: str) -> retry_budget.RetryBudget:
        return self._budgets.setdefault(pool, retry_budget.RetryBudget(self._allowance))
