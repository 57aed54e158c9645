"""The cores of forwarded requests."""

from __future__ import annotations

import collections

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import (
    calls,
    event_cut,
    membership,
    places,
    selection,
    sessions,
    tables,
    verdicts,
)
from croftpulley.settings import fleet


def route(name, host, prefix):
    return fleet.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=fleet.RouteKind.ONCE,
        shares=(fleet.Share(pool="p"),),
        time_limit_ms=1.0,
    )


class TestRouteTable:
    """Host and longest prefix."""

    @given(st.lists(st.sampled_from(["a", "b", "ab"]), max_size=5))
    def test_the_longest_prefix_is_found_among_many(self, segments):
        prefixes = ["/", "/a/", "/a/b/", "/ab/", "/b/a/b/"]
        routes = tuple(route(prefix, "h", prefix) for prefix in prefixes)
        path = "/" + "/".join(segments)
        expected = max((each for each in prefixes if path.startswith(each)), key=len)
        found = tables.RouteTable(routes).find("h", path)
        assert found is not None
        assert found.name == expected

    def test_another_host_has_no_route(self):
        assert tables.RouteTable((route("a", "h", "/"),)).find("i", "/") is None

    def test_shares_get_requests_in_proportion(self):
        shares = (fleet.Share(pool="a", weight=9), fleet.Share(pool="b", weight=1))
        split = fleet.Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=fleet.RouteKind.ONCE,
            shares=shares,
            time_limit_ms=1.0,
        )
        pools = [tables.pool_for(split, f"request-{n}") for n in range(1000)]
        assert 70 <= pools.count("b") <= 130


class TestSelection:
    """Which endpoint."""

    @staticmethod
    def candidates(loads, avoid=()):
        return [
            selection.Candidate(
                name=f"e-{n}",
                hall="a" if n % 2 else "b",
                load=load,
                avoid_until_s=10.0 if n in avoid else float("-inf"),
            )
            for n, load in enumerate(loads)
        ]

    @staticmethod
    def choose(candidates, most_held=0, tokens=1000):
        prompt = selection.Prompt(key="k", tokens=tokens, shared_tokens=tokens - 100)
        fit = selection.Spill().fit(candidates)
        return selection.for_prompt(prompt, fit, most_held, selection.Rates())

    @given(st.lists(st.integers(0, 50), min_size=2, max_size=12), st.integers(0, 11))
    def test_no_choice_takes_an_engine_far_above_the_mean(self, loads, holder):
        candidates = [
            attrs.evolve(each, held_tokens=900 if n == holder else 0)
            for n, each in enumerate(self.candidates(loads))
        ]
        chosen = self.choose(candidates, 900)
        spill = selection.Spill()
        most = spill.multiple * sum(loads) / len(loads) + spill.slack
        assert chosen.load + 1 <= most or chosen.load == min(loads)

    def test_all_boxes_with_the_same_facts_choose_alike(self):
        same = self.candidates([3, 3, 3, 3])
        assert self.choose(same[::-1]) == self.choose(same)

    def test_the_least_busy_holder_is_chosen_unless_it_is_far_busier_than_others(self):
        free = self.candidates([1, 1, 1, 1])
        holders = [attrs.evolve(each, held_tokens=8000) for each in free[2:]]
        assert self.choose([*free[:2], *holders], 8000, 8100).name == "e-2"
        busier = attrs.evolve(holders[0], load=2)
        assert self.choose([*free[:2], busier, holders[1]], 8000, 8100).name == "e-3"
        far = [attrs.evolve(each, load=20) for each in holders]
        assert self.choose([*free[:2], *far], 8000, 8100).name in ("e-0", "e-1")

    def test_without_a_holder_the_engine_with_less_to_read_is_chosen(self):
        reading = attrs.evolve(self.candidates([1, 1])[0], reading_tokens=20_000)
        assert self.choose([reading, self.candidates([1, 1])[1]], 0, 8100).name == "e-1"

    def test_part_of_the_beginning_is_worth_waiting_for_unless_it_can_be_fetched(self):
        free = self.candidates([1, 1])
        part = attrs.evolve(free[0], held_tokens=4000, reading_tokens=6000)
        assert self.choose([part, free[1]], 0, 8100).name == "e-0"
        assert self.choose([part, free[1]], 4000, 8100).name == "e-1"

    def test_new_prompts_spread_over_engines_that_are_reading(self):
        candidates = self.candidates([0, 0, 0])
        chosen = set()
        for _ in range(3):
            taken = self.choose(candidates, 0, 8600)
            chosen.add(taken.name)
            candidates = [
                attrs.evolve(each, reading_tokens=8600.0) if each == taken else each
                for each in candidates
            ]
        assert len(chosen) == 3

    def test_suspicion_alone_leaves_no_request_without_an_endpoint(self):
        assert selection.trusted(self.candidates([1, 2], avoid=(0, 1)), 0.0)
        (trusted,) = selection.trusted(self.candidates([1, 2], avoid=(0,)), 0.0)
        assert trusted.name == "e-1"

    def test_among_the_least_busy_one_of_the_same_hall_is_taken(self):
        assert selection.least_busy("k", self.candidates([1, 1, 1, 1]), "a").hall == "a"


class TestEventCutter:
    """Whole events only."""

    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_cut_into_pieces_gives_the_same_events(self, sizes):
        stream = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(20))
        cutter = event_cut.EventCutter()
        out = b""
        start = 0
        for size in [*sizes, len(stream)]:
            out += cutter.feed(stream[start : start + size])
            start += size
        assert out == stream
        assert cutter.last_id == "19"
        assert cutter.is_between_events

    def test_half_an_event_is_held_back(self):
        cutter = event_cut.EventCutter()
        assert cutter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
        assert not cutter.is_between_events
        assert cutter.last_id == "1"


class TestVerdicts:
    """What an answer's head means."""

    @pytest.mark.parametrize(
        ("status", "declined", "proof", "matches", "verdict"),
        [
            (200, False, True, True, verdicts.Verdict.PASS_ON),
            (404, False, True, True, verdicts.Verdict.PASS_ON),
            (200, False, False, True, verdicts.Verdict.MISLEADING),
            (200, False, True, False, verdicts.Verdict.MISLEADING),
            (503, False, True, True, verdicts.Verdict.MISLEADING),
            (429, False, True, True, verdicts.Verdict.MISLEADING),
            (503, True, False, True, verdicts.Verdict.NOT_RUN),
            (400, True, False, False, verdicts.Verdict.NOT_RUN),
            (421, False, False, True, verdicts.Verdict.NOT_RUN),
            (500, False, True, True, verdicts.Verdict.FAILED),
        ],
    )
    def test_each_head(self, status, declined, proof, matches, verdict):
        facts = verdicts.AnswerFacts(
            status=status, declined=declined, has_proof=proof, id_matches=matches
        )
        assert verdicts.judge(facts) is verdict


class TestSessions:
    """Leases as their leader knows them."""

    BOX = membership.Box("box", "hall", "127.0.0.1:1", "127.0.0.1:2")

    @pytest.fixture
    def made(self):
        return sessions.Sessions(lease_s=2.0, margin_s=0.1)

    def test_a_box_is_waited_for_until_it_uses_the_version_or_its_lease_has_ended(self, made):
        made.renew(self.BOX, 3, sessions.Load(), 0.0)
        assert made.waiting_for(4, 1.0) == ("box",)
        assert made.waiting_for(3, 1.0) == ()
        assert made.waiting_for(4, 2.2) == ()

    def test_a_new_leader_waits_for_boxes_that_it_has_not_heard(self, made):
        made.begin(("box", "other"), 0.0)
        made.renew(self.BOX, 4, sessions.Load(), 0.5)
        assert made.waiting_for(4, 1.0) == ("other",)
        assert made.waiting_for(4, 2.2) == ()

    def test_a_silent_box_is_named_no_more_before_its_lease_ends(self, made):
        made.renew(self.BOX, 3, sessions.Load(), 0.0)
        assert made.boxes(0.5) == (self.BOX,)
        assert made.boxes(1.5) == ()
        assert made.waiting_for(4, 1.5) == ("box",)

    def test_loads_are_summed_over_boxes(self, made):
        made.renew(self.BOX, 3, sessions.Load({"e": 2, "f": 1}, {"e": 70}), 0.0)
        made.renew(membership.Box("b2", "h", "", ""), 3, sessions.Load({"e": 3}), 0.0)
        assert made.loads() == sessions.Load({"e": 5, "f": 1}, {"e": 70})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"), st.dictionaries(st.sampled_from("efg"), st.integers(1, 9))
            ),
            max_size=20,
        )
    )
    def test_sums_stay_those_of_the_last_reports_whatever_comes_and_ends(self, reports):
        made = sessions.Sessions(lease_s=2.0, margin_s=0.1)
        last = {}
        for number, (name, load) in enumerate(reports):
            now_s = number * 0.5
            for ended in made.expire(now_s):
                del last[ended]
            box = membership.Box(name, "h", "", "")
            made.renew(box, 1, sessions.Load(load, load), now_s)
            last[name] = load
        sums = dict(
            sum((collections.Counter(each) for each in last.values()), collections.Counter())
        )
        assert made.loads() == sessions.Load(sums, sums)
        made.begin((), 100.0)
        assert made.loads() == sessions.Load()

    def test_it_is_told_when_a_box_comes_to_use_another_version(self, made):
        assert made.renew(self.BOX, 3, sessions.Load(), 0.0)
        assert not made.renew(self.BOX, 3, sessions.Load(), 0.1)
        assert made.renew(self.BOX, 4, sessions.Load(), 0.2)


def test_all_parts_but_the_last_are_shared():
    facts = calls.CallFacts(request_id="r", prompt=calls.parse_prompt("a:1,b:2,c:3"))
    assert [part.part for part in facts.shared] == ["a", "b"]
    assert facts.prompt_tokens == 6


class TestPlaces:
    """Where the parts of prompts lie."""

    def test_notes_of_others_are_learned_in_order_and_once(self):
        bulletin = places.Bulletin(100)
        bulletin.post([places.Note("p", "a"), places.Note("q", "b")])
        first = bulletin.since(0).notes
        bulletin.post([places.Note("r", "c")])
        assert first == (places.Note("p", "a"), places.Note("q", "b"))
        assert bulletin.since(102).notes == (places.Note("r", "c"),)
        assert bulletin.since(103) == places.Page((), 103)

    def test_numbers_of_another_leader_get_everything(self):
        bulletin = places.Bulletin(1 << 33)
        bulletin.post([places.Note("p", "a")])
        assert bulletin.since(1 << 32).notes == (places.Note("p", "a"),)

    def test_late_readers_get_what_is_kept(self):
        bulletin = places.Bulletin()
        bulletin.post(places.Note(f"p{n}", "a") for n in range(places.MOST_NOTES + 5))
        assert len(bulletin.since(0, places.MOST_NOTES + 5).notes) == places.MOST_NOTES

    def test_a_box_that_comes_late_gets_all_notes_page_by_page(self):
        # On the grown site one answer held all: 250 KB for each of 69 boxes at once.
        bulletin = places.Bulletin(1 << 33)
        posted = [places.Note(f"p{n}", "a") for n in range(2 * places.NOTES_AN_ANSWER + 5)]
        bulletin.post(posted)
        got: list[places.Note] = []
        number = 0
        while number != bulletin.next_number:
            page = bulletin.since(number)
            assert len(page.notes) <= places.NOTES_AN_ANSWER
            got += page.notes
            number = page.next_number
        assert got == posted

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(places, "MOST_PARTS", 3)
        known = places.Places()
        for number in range(10):
            known.note(places.Note(f"p{number}", "a"), float(number))
        assert [known.holders(f"p{n}", 10.0) for n in (6, 7, 9)] == [[], ["a"], ["a"]]
