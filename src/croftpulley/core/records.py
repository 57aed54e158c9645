"""What a router knows of each endpoint from its own requests, by incarnation.

All of it is kept here, so that it goes at once when an incarnation leaves the list; messages that
arrive later (a response to an earlier request, a note on its way) change nothing. Only what an
endpoint announced of itself (`withdrawal`) outlives the list entry: a list may miss an endpoint
that still runs, and show it again as if it had announced nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set

import attrs

from croftpulley.core import (
    failure_backoff,
    load_reports,
    outlier_detection,
    prompt_part_index,
    window,
    withdrawal,
)


@attrs.define
class Record:
    """State of one incarnation: requests in flight, prompt tokens not processed yet, outcomes, and
    what the endpoint announced of itself.
    """

    in_flight: int = 0
    reading_tokens: int = 0
    backoff: failure_backoff.FailureBackoff = attrs.field(factory=failure_backoff.FailureBackoff)
    succeeded: int = 0
    failed: int = 0
    withdrawal: withdrawal.Withdrawal = attrs.field(factory=withdrawal.Withdrawal)
    window: window.CongestionWindow = attrs.field(factory=window.CongestionWindow)
    reported_load: load_reports.ReportedLoad | None = None
    reported_load_at_s: float = float("-inf")

    def reported_requests(self, now_s: float) -> int:
        """Return the endpoint's reported number of requests, 0 without a fresh report."""
        if (
            self.reported_load is None
            or now_s >= self.reported_load_at_s + load_reports.REPORT_TTL_S
        ):
            return 0
        return self.reported_load.request_count

    @property
    def is_blank(self) -> bool:
        """Tell whether the record equals a new one."""
        counted = self.in_flight or self.reading_tokens or self.succeeded or self.failed
        spoken = not (self.withdrawal.is_blank and self.window.is_blank)
        return not counted and self.backoff.is_blank and not spoken and self.reported_load is None

    @property
    def is_full(self) -> bool:
        """Tell whether the congestion window admits no further request of this box."""
        return not self.window.admits(self.in_flight)


@attrs.define
class Records:
    """All endpoint records of a router, and where prompt parts are cached.

    Every key is accepted until the first list (`update_listed`), afterwards only listed ones.

    >>> records = Records()
    >>> records.update("w@1", lambda record: record.backoff.failed(0.0))
    >>> records.update_listed({"w@2"}, 1.0)
    >>> records.update("w@1", lambda record: record.backoff.failed(9.0))
    >>> records.get("w@1") is None, records.note(prompt_part_index.Note("part", "w@1"), 9.0)
    (True, False)
    """

    _records: dict[str, Record] = attrs.field(factory=dict)
    _places: prompt_part_index.PromptPartIndex = attrs.field(
        factory=prompt_part_index.PromptPartIndex
    )
    _new_notes: list[prompt_part_index.Note] = attrs.field(factory=list)
    _listed: frozenset[str] | None = None

    def update_listed(self, listed: Iterable[str], now_s: float) -> None:
        """Take the keys of all listed incarnations; drop the state of all others.

        The withdrawal of an unlisted one is kept for as long as it applies.
        """
        keys = frozenset(listed)
        ended = (self._listed or frozenset()) - keys
        if self._listed is not None and not ended:
            self._listed = keys
            return
        self._listed = keys
        self._records = {
            key: each if key in keys else Record(withdrawal=each.withdrawal)
            for key, each in self._records.items()
            if key in keys or each.withdrawal.outlives_listing(now_s)
        }
        self._places.retain_engines(keys)
        self._new_notes = [note for note in self._new_notes if note.engine in keys]

    def may_be_listed(self, key: str) -> bool:
        """Tell whether a key is listed, or no list has arrived yet."""
        return self._listed is None or key in self._listed

    def get(self, key: str) -> Record | None:
        """Return the record of an incarnation, ``None`` if there is none."""
        return self._records.get(key)

    def update(self, key: str, apply: Callable[[Record], None]) -> None:
        """Call ``apply`` on the record of a listed incarnation; drop it if it is blank
        afterwards.
        """
        if not self.may_be_listed(key):
            return
        record = self._records.setdefault(key, Record())
        apply(record)
        if record.is_blank:
            del self._records[key]

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight by key, zeros left out."""
        return {key: each.in_flight for key, each in self._records.items() if each.in_flight}

    def reading_tokens(self) -> dict[str, int]:
        """Return the prompt tokens not processed yet by key, zeros left out."""
        told = self._records.items()
        return {key: each.reading_tokens for key, each in told if each.reading_tokens}

    def take_outcomes(self) -> outlier_detection.Counts:
        """Return the succeeded and failed requests since the last call, and reset them."""
        taken: dict[str, tuple[int, int]] = {}
        for key, record in list(self._records.items()):
            if not (record.succeeded or record.failed):
                continue
            taken[key] = (record.succeeded, record.failed)
            record.succeeded = record.failed = 0
            if record.is_blank:
                del self._records[key]
        return taken

    def apply_notice(
        self, key: str, notice: withdrawal.Notice, now_s: float
    ) -> withdrawal.NoticeNews:
        """Apply a notice of an endpoint, listed or not; return what in it is new."""
        record = self._records.setdefault(key, Record())
        if notice.rest_s and not record.withdrawal.is_in_effect(now_s):
            record.window.turned_away(record.in_flight, now_s)
        return record.withdrawal.apply(notice, now_s)

    def store_load_report(self, key: str, report: load_reports.ReportedLoad, now_s: float) -> None:
        """Store the load that a listed endpoint reports."""
        if self.may_be_listed(key):
            record = self._records.setdefault(key, Record())
            record.reported_load = report
            record.reported_load_at_s = now_s

    def sent(self, key: str, now_s: float) -> None:
        """Count a request that was sent although the endpoint had asked for none."""
        record = self._records.get(key)
        if record is not None and record.withdrawal.is_in_effect(now_s):
            record.withdrawal.sent_since += 1

    def expire_rests(self, now_s: float) -> list[withdrawal.EndedRest]:
        """Remove expired rests, windows, load reports and records; return the rests."""
        expired = []
        for key, record in list(self._records.items()):
            record.window.forget(now_s)
            if now_s >= record.reported_load_at_s + load_reports.REPORT_TTL_S:
                record.reported_load = None
            ended = record.withdrawal.end_rest(now_s)
            if ended is not None:
                expired.append(withdrawal.EndedRest(key, *ended))
            is_kept = self.may_be_listed(key) or record.withdrawal.outlives_listing(now_s)
            if record.is_blank or not is_kept:
                del self._records[key]
        return expired

    def withdrawn(self, now_s: float) -> dict[str, withdrawal.Withdrawal]:
        """Return copies of the withdrawals in effect, by key."""
        return {
            key: attrs.evolve(each.withdrawal)
            for key, each in self._records.items()
            if each.withdrawal.is_in_effect(now_s)
        }

    def resting_s(self, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each rest, by key."""
        left = {key: each.withdrawal.rest_until_s - now_s for key, each in self._records.items()}
        return {key: round(left_s, 1) for key, left_s in left.items() if left_s > 0}

    def leaving_keys(self) -> set[str]:
        """Return the keys of endpoints that announced their shutdown."""
        return {key for key, each in self._records.items() if each.withdrawal.leaves}

    def note(self, note: prompt_part_index.Note, now_s: float) -> bool:
        """Store where a prompt part is cached; return whether other boxes should learn of it."""
        return self.may_be_listed(note.engine) and self._places.record(note, now_s)

    def note_own(self, note: prompt_part_index.Note, now_s: float) -> None:
        """Store a note of this box, and queue it for the other boxes if it is new."""
        if self.note(note, now_s):
            self._new_notes.append(note)

    def take_notes(self) -> prompt_part_index.NotesByEngine:
        """Return and clear the queued notes."""
        taken, self._new_notes = self._new_notes, []
        return prompt_part_index.group_by_engine(taken)

    def requeue_notes(self, notes: prompt_part_index.NotesByEngine) -> None:
        """Queue undelivered notes again, without those of unlisted incarnations."""
        returned = [
            note
            for note in prompt_part_index.iterate_notes(notes)
            if self.may_be_listed(note.engine)
        ]
        self._new_notes = [*returned, *self._new_notes]

    def holders(self, part: str, now_s: float) -> list[str]:
        """Return the engines that probably have a prompt part cached."""
        return self._places.holders(part, now_s)

    def recorded_keys(self) -> Set[str]:
        """Return the keys that have a record."""
        return self._records.keys()

    def keys(self) -> set[str]:
        """Return every key that has a record, a place or a queued note."""
        noted = self._places.engines() | {note.engine for note in self._new_notes}
        return noted | set(self._records)
