"""Incarnations of endpoints: which one counts, and what is kept of each."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import (
    incarnation_tracker,
    listed_counts,
    membership,
    prompt_part_index,
    records,
    withdrawal,
)

PAGE_LAG_S = 1.2


def born(at_ms, name="w", leaving=False, address="127.0.0.1:1"):
    kind = membership.EndpointKind.WORKER
    return membership.Endpoint(name, kind, "desk", address, "a", name, leaving, at_ms)


def names_and_starts(endpoints):
    return [(each.name, each.born_ms) for each in endpoints]


class TestListed:
    """Resolution of incarnations from a list that lags."""

    def test_the_later_of_two_incarnations_counts_in_any_order(self):
        for order in ((1, 2), (2, 1)):
            assert names_and_starts(
                incarnation_tracker.IncarnationTracker().update([born(at) for at in order], 0.0)
            ) == [("w", 2)]

    def test_stale_page_does_not_restore_an_older_incarnation(self):
        tracker = incarnation_tracker.IncarnationTracker()
        tracker.update([born(1)], 0.0)
        tracker.update([born(2)], 1.0)
        assert names_and_starts(tracker.update([born(1)], 1.0 + PAGE_LAG_S)) == [("w", 2)]
        assert names_and_starts(tracker.update([born(2)], 2.0 + PAGE_LAG_S)) == [("w", 2)]

    def test_older_incarnation_does_not_replace_a_long_listed_one_at_once(self):
        tracker = incarnation_tracker.IncarnationTracker()
        for now_s in range(100):
            tracker.update([born(2)], float(now_s))
        assert names_and_starts(tracker.update([born(1)], 100.0)) == [("w", 2)]

    def test_endpoint_whose_clock_was_set_back_is_accepted_eventually(self):
        tracker = incarnation_tracker.IncarnationTracker()
        tracker.update([born(5_000)], 0.0)
        seen = [
            names_and_starts(tracker.update([born(1_000)], float(now_s))) for now_s in range(1, 12)
        ]
        assert seen[0] == [("w", 5_000)]
        assert seen[-1] == [("w", 1_000)]

    def test_leaving_applies_to_one_incarnation_only(self):
        tracker = incarnation_tracker.IncarnationTracker()
        tracker.update([born(1, leaving=True)], 0.0)
        assert tracker.update([born(1)], 1.0)[0].leaving
        assert not tracker.update([born(2)], 2.0)[0].leaving

    def test_incarnation_marked_as_leaving_stays_so_whatever_the_list_says(self):
        tracker = incarnation_tracker.IncarnationTracker()
        tracker.update([born(1), born(1, "v")], 0.0)
        assert names_and_starts(tracker.mark_leaving([born(1).key, "unknown"])) == [("w", 1)]
        assert tracker.mark_leaving([born(1).key]) == ()
        taken = tracker.update([born(1), born(1, "v")], 1.0)
        assert [(each.name, each.leaving) for each in taken] == [("w", True), ("v", False)]
        assert not tracker.update([born(2)], 2.0)[0].leaving

    def test_duplicate_entries_are_merged_and_leaving_if_either_is(self):
        taken = incarnation_tracker.IncarnationTracker().update(
            [born(1), born(1, leaving=True)], 0.0
        )
        assert [each.leaving for each in taken] == [True]

    def test_list_without_start_times_is_accepted_unchanged(self):
        tracker = incarnation_tracker.IncarnationTracker()
        old = attrs.evolve(born(None), address="127.0.0.1:2")
        assert tracker.update([old], 0.0) == (old,)
        assert tracker.update([born(None)], 0.1) == (born(None),)

    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 3.0), st.lists(st.tuples(st.sampled_from("vw"), st.integers(1, 4)))
            ),
            max_size=12,
        )
    )
    def test_each_name_is_returned_once_and_does_not_revert_early(self, readings):
        tracker = incarnation_tracker.IncarnationTracker()
        now_s = 0.0
        last: dict[str, tuple[int, float]] = {}
        for pause_s, entries in readings:
            now_s += pause_s
            taken = tracker.update([born(at, name) for name, at in entries], now_s)
            assert len({each.name for each in taken}) == len(taken)
            assert {each.name for each in taken} == {name for name, _ in entries}
            for each in taken:
                latest, at_s = last.get(each.name, (0, 0.0))
                assert (
                    each.born_ms >= latest
                    or now_s - at_s >= incarnation_tracker.STALE_INCARNATION_S
                )
                shown = max(at for name, at in entries if name == each.name)
                if shown >= latest or each.born_ms != latest:
                    last[each.name] = (each.born_ms, now_s)


KEYS = ("e@1", "e@2", "f@1")
STEPS = st.one_of(
    st.tuples(st.just("keep"), st.sets(st.sampled_from(KEYS))),
    st.tuples(st.just("enter"), st.sampled_from(KEYS)),
    st.tuples(st.just("leave"), st.sampled_from(KEYS)),
    st.tuples(st.just("fail"), st.sampled_from(KEYS)),
    st.tuples(st.just("note"), st.sampled_from(KEYS)),
    st.tuples(st.just("hear"), st.sampled_from(KEYS)),
    st.tuples(st.just("give back"), st.sampled_from(KEYS)),
    st.tuples(st.just("take"), st.none()),
)


def enter(record):
    record.in_flight += 1
    record.reading_tokens += 10


def leave(record):
    record.in_flight = max(0, record.in_flight - 1)
    record.reading_tokens = max(0, record.reading_tokens - 10)


def apply(known, step, key, now_s):
    """Apply one action of a router, possibly after the incarnation has ended."""
    note = prompt_part_index.Note(f"part {key}", key or "")
    match step:
        case "keep":
            known.update_listed(key, now_s)
        case "enter":
            known.update(key, enter)
        case "leave":
            known.update(key, leave)
        case "fail":
            known.update(key, lambda record: record.backoff.failed(now_s))
        case "note":
            known.note_own(note, now_s)
        case "hear":
            known.note(note, now_s)
        case "give back":
            known.requeue_notes({key: (note.part_id,)})
        case "take":
            known.take_notes()
            known.take_outcomes()


@given(st.lists(STEPS, max_size=30))
def test_no_record_of_an_ended_incarnation_remains(steps):
    known = records.Records()
    live_keys = None
    for number, (step, key) in enumerate(steps):
        apply(known, step, key, float(number))
        if step == "keep":
            live_keys = key
        if live_keys is not None:
            assert known.keys() <= live_keys
            assert all(
                set(known.holders(f"part {key}", float(number))) <= live_keys for key in KEYS
            )


def test_notices_are_kept_while_the_list_omits_the_incarnation():
    known = records.Records()
    known.update_listed({"e@1", "f@1"}, 0.0)
    known.update("e@1", enter)
    known.apply_notice("e@1", withdrawal.Notice(leaves=True), 0.0)
    known.apply_notice("f@1", withdrawal.Notice(rest_s=5.0), 0.0)
    known.update_listed({"g@1"}, 1.0)
    # A response that was in flight when the list omitted the endpoint.
    known.apply_notice("e@1", withdrawal.Notice(rest_s=1.0, leaves=True), 1.0)
    known.update_listed({"e@1", "f@1"}, 2.0)
    assert known.in_flight() == {}
    assert set(known.withdrawn(4.9)) == {"e@1", "f@1"}
    assert set(known.withdrawn(5.0)) == {"e@1"}


def test_successor_of_a_leaving_incarnation_is_not_leaving():
    known = records.Records()
    known.update_listed({"e@1"}, 0.0)
    known.apply_notice("e@1", withdrawal.Notice(rest_s=60.0, leaves=True), 0.0)
    known.update_listed({"e@2"}, 1.0)
    assert "e@2" not in known.withdrawn(1.0)


def test_notices_of_incarnations_that_are_long_gone_expire():
    known = records.Records()
    known.apply_notice("e@1", withdrawal.Notice(leaves=True), 0.0)
    known.apply_notice("f@1", withdrawal.Notice(rest_s=5.0), 0.0)
    known.update_listed({"g@1"}, 1.0)
    known.expire_rests(withdrawal.LEAVING_TTL_S - 1.0)
    assert known.keys() == {"e@1"}
    known.expire_rests(withdrawal.LEAVING_TTL_S)
    assert known.keys() == set()


def test_incarnation_that_is_listed_again_starts_without_records():
    known = records.Records()
    known.update("e@1", enter)
    known.note_own(prompt_part_index.Note("p", "e@1"), 0.0)
    known.update_listed({"e@2"}, 1.0)
    known.update_listed({"e@1"}, 2.0)
    assert known.in_flight() == {}
    assert known.take_notes() == {}
    assert known.holders("p", 0.0) == []


def test_empty_records_are_dropped():
    known = records.Records()
    known.update("e@1", enter)
    known.update("e@1", leave)
    assert known.keys() == set()


@given(st.dictionaries(st.sampled_from("abcdefgh"), st.integers(0, 9)), st.permutations("abcdef"))
def test_encoded_counts_decode_to_the_same_counts(counts, keys):
    numbers = listed_counts.encode_counts(counts, keys)
    expected = {key: count for key, count in counts.items() if count and key in keys}
    assert listed_counts.decode_counts(numbers, keys) == expected
    assert len(numbers) <= len(keys)
