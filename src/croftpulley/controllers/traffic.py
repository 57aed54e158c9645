"""The requests that this router has in flight, by endpoint, and the outcomes of earlier ones.

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

_EMPTY_RECORD = records.Record()
"""The record of an endpoint without one; never changed."""


class Traffic:
    """Request counts, back-off and retry budgets of one router.

    Endpoints are identified by `membership.Endpoint.key`; `core.records` holds their records.
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
        self._send_limiter = send_quotas.SendLimiter.after_restart(clock.monotonic_s())
        self._heard_loads = heard_loads.RemoteLoadCache()
        self._shares_room = shares_room
        self._brittle = brittle.BrittleEndpoints()

    def enter(self, endpoint: str) -> None:
        """Count one more request in flight at an endpoint."""

        def count(record: records.Record) -> None:
            record.in_flight += 1

        self._update(endpoint, count)

    def leave(self, endpoint: str) -> None:
        """Count one request in flight less at an endpoint."""

        def count(record: records.Record) -> None:
            # An incarnation that was unlisted for a moment starts again at 0.
            record.in_flight = max(0, record.in_flight - 1)

        self._update(endpoint, count)

    def load(self) -> listed_counts.EndpointLoads:
        """Return the requests in flight, tokens to prefill and rests that are not 0."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return listed_counts.EndpointLoads(
                self._records.in_flight(),
                self._records.reading_tokens(),
                self._records.resting_s(now_s),
            )

    def begin_prefill(self, facts: calls.CallFacts, engine: str, tokens: int) -> None:
        """Add the tokens that an engine has to prefill, and note that it caches shared parts."""
        now_s = self._clock.monotonic_s()

        def count(record: records.Record) -> None:
            record.reading_tokens += tokens

        with self._lock:
            self._records.update(engine, count)
            for part in facts.shared_prefix:
                self._records.note_own(prompt_part_index.Note(part.part_id, engine), now_s)

    def end_prefill(self, engine: str, tokens: int) -> None:
        """Subtract tokens whose prefill is complete or was given up."""

        def count(record: records.Record) -> None:
            record.reading_tokens = max(0, record.reading_tokens - tokens)

        self._update(engine, count)

    def held_tokens(self, facts: calls.CallFacts) -> dict[str, int]:
        """Return how many tokens of a prompt's shared prefix each engine has probably cached."""
        now_s = self._clock.monotonic_s()
        held: dict[str, int] = {}
        tokens = 0
        with self._lock:
            for part in facts.shared_prefix:
                tokens += part.tokens
                for engine in self._records.holders(part.part_id, now_s):
                    # An engine that was sent a part was also sent all parts before it.
                    held[engine] = tokens
        return held

    def take_notes(self) -> prompt_part_index.NotesByEngine:
        """Return the notes made since the last call."""
        with self._lock:
            return self._records.take_notes()

    def requeue_notes(self, notes: prompt_part_index.NotesByEngine) -> None:
        """Take back notes that could not be delivered; the next report has them again."""
        with self._lock:
            self._records.requeue_notes(notes)

    def apply_notes(self, notes: prompt_part_index.NotesByEngine) -> None:
        """Apply notes from the control box: those of other boxes and, again, this box's own."""
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
        """Return the endpoints with their loads: other boxes' as last heard, this box's current.

        Most candidates are shared by all requests until the next renewal. Only endpoints that this
        box has a record of, and those that differ for the prompt, are computed for each request.
        """
        heard = self._heard_loads.for_pool(members, state)
        # Engines have gone on with the prefill of other boxes' requests since it was reported.
        now_s = self._clock.monotonic_s()
        age_s = now_s - state.loads_at_s
        prefilled_since = self._rates.prefill_tokens_per_ms * 1000 * age_s
        with self._lock:
            differs = heard.prefilling | held_tokens.keys() | self._records.recorded_keys()
            return [
                self._candidate(each, prefilled_since, held_tokens, now_s)
                if each.name in differs
                else each
                for each in heard.candidates
            ]

    def _candidate(
        self,
        heard: selection.Candidate,
        prefilled_since: float,
        held_tokens: dict[str, int],
        now_s: float,
    ) -> selection.Candidate:
        own = self._records.get(heard.name) or _EMPTY_RECORD
        others_prefill_tokens = max(0.0, heard.reading_tokens - prefilled_since)
        return selection.Candidate(
            name=heard.name,
            hall=heard.hall,
            load=max(heard.load + own.in_flight, own.reported_requests(now_s)),
            avoid_until_s=max(heard.avoid_until_s, own.backoff.avoid_until_s),
            withdrawn_until_s=max(own.withdrawal.until_s, own.backoff.blocked_until_s),
            is_full=own.is_full,
            reading_tokens=others_prefill_tokens + own.reading_tokens,
            held_tokens=held_tokens.get(heard.name, 0),
            own_load=own.in_flight,
        )

    def failed(self, endpoint: str) -> None:
        """Count a failure: an endpoint could not be reached or its connection broke."""
        now_s = self._clock.monotonic_s()

        def note(record: records.Record) -> None:
            record.failed += 1
            record.backoff.failed(now_s)

        self._update(endpoint, note)

    def start_backoff(self, endpoint: str) -> None:
        """Start a back-off for an endpoint without counting a failure of it."""
        now_s = self._clock.monotonic_s()
        self._update(endpoint, lambda record: record.backoff.failed(now_s))

    def end_backoff(self, endpoints: Iterable[str]) -> None:
        """End the back-off of endpoints."""
        with self._lock:
            for each in endpoints:
                self._records.update(each, lambda record: record.backoff.answered())

    def address_reused(self, endpoint: str) -> None:
        """Note that another endpoint uses an endpoint's address now."""
        now_s = self._clock.monotonic_s()
        self._update(endpoint, lambda record: record.backoff.address_reused(now_s))

    def answered(self, endpoint: str) -> None:
        """Count a complete response that is no error of the endpoint's."""

        def note(record: records.Record) -> None:
            record.succeeded += 1
            record.backoff.answered()

        self._update(endpoint, note)

    def erred(self, endpoint: str) -> None:
        """Count an error response of an endpoint; no back-off, since the endpoint still works."""

        def note(record: records.Record) -> None:
            record.failed += 1

        self._update(endpoint, note)

    def apply_notice(self, endpoint: str, notice: withdrawal.Notice) -> withdrawal.NoticeNews:
        """Apply a notice in the response headers of an endpoint; return what is new in it."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._records.apply_notice(endpoint, notice, now_s)

    def store_load_report(self, endpoint: str, report: load_reports.ReportedLoad) -> None:
        """Store a load report from the response headers of an endpoint, if boxes share capacity."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._shares_room = self._shares_room or report.time_percent is not None
            if self._shares_room:
                self._records.store_load_report(endpoint, report, now_s)

    @property
    def shares_room(self) -> bool:
        """Tell whether boxes share the capacity of pools.

        They do if settings say so, or once an endpoint has reported how long work takes there now,
        as endpoints do that share their machines with others.
        """
        return self._shares_room

    def note_rejection_limit(self, endpoint: membership.Endpoint, limit: int | None) -> bool:
        """Store how many requests an endpoint can reject in a second; ``None``: any number.

        Returns whether that is new.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._brittle.note_limit(endpoint.key, endpoint.pool, limit, now_s)

    def most_turned_away(self, pool: str) -> int | None:
        """Return how many requests an endpoint of a pool can reject in a second.

        That is ``None`` if none of them is brittle.
        """
        with self._lock:
            return self._brittle.most_turned_away(pool, self._clock.monotonic_s())

    def is_brittle(self, endpoint: str) -> bool:
        """Tell whether an endpoint announced recently that it is brittle."""
        with self._lock:
            return self._brittle.is_brittle(endpoint, self._clock.monotonic_s())

    def block_for(self, endpoint: str, seconds_s: float) -> None:
        """Send no requests from this box to an endpoint for a time."""
        until_s = self._clock.monotonic_s() + seconds_s
        self._update(endpoint, lambda record: record.backoff.block_until(until_s))

    def needs_permit(self, pool: str) -> bool:
        """Tell whether a request needs a permit of its pool.

        It does if boxes share the capacity of pools, or if endpoints of the pool are brittle.
        """
        return self._shares_room or self.most_turned_away(pool) is not None

    def is_full(self, endpoint: str) -> bool:
        """Tell whether an endpoint's current load report has no free slot."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            record = self._records.get(endpoint)
            report = (
                record.reported_load
                if record is not None and record.reported_requests(now_s)
                else None
            )
            return report is not None and report.is_full

    def accepted(self, endpoint: str) -> None:
        """Note that an endpoint did not reject a request."""
        with self._lock:
            record = self._records.get(endpoint)
            if record is not None:
                record.window.accepted()

    def is_withdrawn(self, endpoint: str) -> bool:
        """Tell whether an endpoint announced that it wants no requests from this box now.

        Also true while the endpoint's back-off blocks requests.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            record = self._records.get(endpoint)
            if record is None:
                return False
            return record.withdrawal.is_in_effect(now_s) or now_s < record.backoff.blocked_until_s

    def sent(self, endpoint: str) -> None:
        """Note that a request was sent to an endpoint."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._records.sent(endpoint, now_s)

    def expire_rests(self) -> list[withdrawal.EndedRest]:
        """Remove the rests that are over and return them."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._records.expire_rests(now_s)

    def newly_leaving(self, endpoints: Iterable[membership.Endpoint]) -> tuple[str, ...]:
        """Return the keys of endpoints that announced shutdown and are not listed as leaving."""
        with self._lock:
            announced = self._records.leaving_keys()
            return tuple(
                each.key for each in endpoints if each.key in announced and not each.leaving
            )

    def withdrawn(self) -> dict[str, withdrawal.Withdrawal]:
        """Return the endpoints that want no requests now, with what they announced."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._records.withdrawn(now_s)

    def take_outcomes(self) -> outlier_detection.Counts:
        """Return the numbers of successes and failures since the last call, by endpoint."""
        with self._lock:
            return self._records.take_outcomes()

    def _update(self, endpoint: str, apply: Callable[[records.Record], None]) -> None:
        with self._lock:
            self._records.update(endpoint, apply)

    def update_listed(self, endpoints: Iterable[membership.Endpoint]) -> None:
        """Remove the records of incarnations that are not listed any more."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._records.update_listed((each.key for each in endpoints), now_s)

    def may_send_cold(self, endpoint: str, quota_per_s: int) -> bool:
        """Tell whether the quota, in requests per second, allows one more to a cold endpoint."""
        with self._lock:
            return self._send_limiter.may_send(endpoint, quota_per_s, self._clock.monotonic_s())

    def reserve_cold_send(self, endpoint: str, quota_per_s: int) -> send_quotas.SendRecord | None:
        """Reserve one request of a cold endpoint's quota; ``None`` if the quota is used up."""
        with self._lock:
            return self._send_limiter.try_reserve(endpoint, quota_per_s, self._clock.monotonic_s())

    def mark_cold_sent(self, record: send_quotas.SendRecord) -> None:
        """Count a request to a cold endpoint from now on: it is being sent, or never will be."""
        with self._lock:
            record.sent_at_s = self._clock.monotonic_s()

    def request(self, pool: str) -> None:
        """Count a request towards the pool's retry budget."""
        with self._lock:
            self._budget(pool).request(self._clock.monotonic_s())

    def renew_extra_share(self, grant: retry_budget.Grant) -> None:
        """Apply the share of the extra of all budgets that came with a newly granted lease."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._extra_share = self._extra_share.renewed(grant, now_s, self._allowance.counted_s)

    def acquire_repeat(self, pool: str) -> retry_budget.Decision:
        """Acquire one repeat from the pool's retry budget; return the budget's decision."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            return self._budget(pool).acquire(now_s, self._extra_share.fraction(now_s))

    def retry_share(self) -> float:
        """Return the share of the extra of all budgets that this box may use."""
        with self._lock:
            return self._extra_share.fraction(self._clock.monotonic_s())

    def mark_repeat_sent(self, repeat: retry_budget.Repeat) -> None:
        """Count a repeat from now on: it is being sent."""
        with self._lock:
            repeat.at_s = self._clock.monotonic_s()

    @property
    def arrival_s(self) -> float:
        """Longest time that a repeat may take to arrive at its endpoint."""
        return self._allowance.arrival_s

    def _budget(self, pool: str) -> retry_budget.RetryBudget:
        return self._budgets.setdefault(pool, retry_budget.RetryBudget(self._allowance))
