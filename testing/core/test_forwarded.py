"""The cores of forwarded requests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import (
    calls,
    event_cut,
    membership,
    places,
    retry_budget,
    selection,
    sessions,
    spread,
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


class TestRetryBudget:
    """The shared budget, earned by each box alone."""

    @given(
        st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 3), st.booleans()), max_size=300),
        st.integers(1, 4),
    )
    def test_all_boxes_together_never_exceed_it_in_any_window(self, steps, boxes):
        allowance = retry_budget.Allowance(ratio=0.2, extra=8, window_s=2.0)
        budgets = [retry_budget.RetryBudget(allowance) for _ in range(boxes)]
        now_s = 0.0
        requests, repeats = [], []
        for wait_s, box, is_request in steps:
            now_s += wait_s
            budget = budgets[box % boxes]
            if is_request:
                budget.request(now_s)
                requests.append(now_s)
            elif budget.take(now_s, boxes):
                repeats.append(now_s)
            inside = [each for each in requests if each > now_s - 2.0]
            used = [each for each in repeats if each > now_s - 2.0]
            # A repeat may rest on requests of its own window, whose first half may since be gone.
            earlier = [each for each in requests if each > now_s - 4.0]
            assert len(used) <= 0.2 * max(len(inside), len(earlier)) + 8


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

    @given(st.lists(st.integers(0, 50), min_size=2, max_size=12), st.text(max_size=5))
    def test_no_choice_takes_an_engine_far_above_the_mean(self, loads, key):
        spill = selection.Spill()
        chosen = selection.by_affinity(affinity(key), self.candidates(loads), spill)
        assert chosen.load + 1 <= spill.most(loads) or chosen.load == min(loads)

    def test_all_boxes_with_the_same_facts_choose_alike(self):
        same = self.candidates([3, 3, 3, 3])
        first = selection.by_affinity(affinity(), same, selection.Spill())
        assert selection.by_affinity(affinity(), same[::-1], selection.Spill()) == first

    def test_the_preferred_engine_is_left_only_while_it_is_busy(self):
        free = self.candidates([1, 1, 1, 1])
        first = selection.by_affinity(affinity(), free, selection.Spill())
        position = free.index(first)
        busy = self.candidates([9 if n == position else 1 for n in range(4)])
        assert selection.by_affinity(affinity(), busy, selection.Spill()).name != first.name

    def test_prompts_with_one_first_part_go_to_as_many_engines_as_its_spread(self):
        free = self.candidates([0] * 8)
        chosen = {
            selection.by_affinity(affinity(f"last-{n}", spread=3), free, selection.Spill()).name
            for n in range(60)
        }
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
        made.renew(self.BOX, "1", 3, {}, 0.0)
        assert made.waiting_for(4, 1.0) == ("box",)
        assert made.waiting_for(3, 1.0) == ()
        assert made.waiting_for(4, 2.2) == ()

    def test_a_new_leader_waits_for_boxes_that_it_has_not_heard(self, made):
        made.begin(("box", "other"), 0.0)
        made.renew(self.BOX, "1", 4, {}, 0.5)
        assert made.waiting_for(4, 1.0) == ("other",)
        assert made.waiting_for(4, 2.2) == ()

    def test_a_silent_box_is_named_no_more_before_its_lease_ends(self, made):
        made.renew(self.BOX, "1", 3, {}, 0.0)
        assert made.boxes(0.5) == (self.BOX,)
        assert made.boxes(1.5) == ()
        assert made.waiting_for(4, 1.5) == ("box",)

    def test_loads_are_summed_over_boxes(self, made):
        made.renew(self.BOX, "1", 3, {"e": 2, "f": 1}, 0.0)
        made.renew(membership.Box("b2", "h", "", ""), "1", 3, {"e": 3}, 0.0)
        assert made.loads() == {"e": 5, "f": 1}


def test_all_parts_but_the_last_are_shared():
    facts = calls.CallFacts(request_id="r", prompt=calls.parse_prompt("a:1,b:2,c:3"))
    assert [part.part for part in facts.shared] == ["a", "b"]
    assert facts.prompt_tokens == 6


class TestSpread:
    """Over how many engines a first part is spread."""

    def test_a_part_gets_engines_by_its_share_of_the_work(self):
        work = spread.PartWork()
        work.add({"a": 500, "b": 250, **{f"c{n}": 25 for n in range(10)}}, 0.0)
        assert work.spreads(12) == {"a": 8, "b": 4}

    def test_a_small_change_of_the_share_changes_nothing(self):
        work = spread.PartWork()
        work.add({"a": 250, "b": 750}, 0.0)
        before = dict(work.spreads(12))
        work.add({"a": 15}, 0.1)
        assert work.spreads(12) == before

    def test_old_work_is_forgotten(self):
        work = spread.PartWork()
        work.add({"a": 1000}, 0.0)
        work.add({"b": 1000}, 40.0)
        assert set(work.spreads(12)) == {"b"}


def affinity(last="k", **changes):
    return selection.Affinity(first_part="first", last_part=last, **changes)


class TestPlaces:
    """Where the parts of prompts lie."""

    def test_notes_of_others_are_learned_in_order_and_once(self):
        bulletin = places.Bulletin(100)
        bulletin.post([places.Note("p", "a"), places.Note("q", "b")])
        first = bulletin.since(0)
        bulletin.post([places.Note("r", "c")])
        assert first == (places.Note("p", "a"), places.Note("q", "b"))
        assert bulletin.since(102) == (places.Note("r", "c"),)
        assert bulletin.since(103) == ()

    def test_numbers_of_another_leader_get_everything(self):
        bulletin = places.Bulletin(1 << 33)
        bulletin.post([places.Note("p", "a")])
        assert bulletin.since(1 << 32) == (places.Note("p", "a"),)

    def test_late_readers_get_what_is_kept(self):
        bulletin = places.Bulletin()
        bulletin.post(places.Note(f"p{n}", "a") for n in range(places.MOST_NOTES + 5))
        assert len(bulletin.since(0)) == places.MOST_NOTES

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(places, "MOST_PARTS", 3)
        known = places.Places()
        for number in range(10):
            known.note(places.Note(f"p{number}", "a"), float(number))
        assert [known.holders(f"p{n}", 10.0) for n in (6, 7, 9)] == [[], ["a"], ["a"]]

    def test_a_holder_that_is_too_busy_is_not_chosen(self):
        busy = TestSelection.candidates([9, 0, 0])
        assert selection.by_holding(["e-0"], busy, selection.Spill()) is None
        chosen = selection.by_holding(["e-0", "e-2"], busy, selection.Spill())
        assert chosen is not None
        assert chosen.name == "e-2"
