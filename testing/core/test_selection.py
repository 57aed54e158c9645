"""Selection of the endpoint for a request."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import selection


class TestSelection:
    """Choice among candidates by cached tokens, load and suspicion."""

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
        fit = selection.OverloadLimit().eligible(candidates)
        return selection.choose_for_prompt(prompt, fit, most_held, selection.CostRates())

    @given(st.lists(st.integers(0, 50), min_size=2, max_size=12), st.integers(0, 11))
    def test_chosen_engine_is_within_the_load_limit_or_least_loaded(self, loads, holder):
        candidates = [
            attrs.evolve(each, held_tokens=900 if n == holder else 0)
            for n, each in enumerate(self.candidates(loads))
        ]
        chosen = self.choose(candidates, 900)
        spill = selection.OverloadLimit()
        most = spill.multiple * sum(loads) / len(loads) + spill.slack
        assert chosen.load + 1 <= most or chosen.load == min(loads)

    def test_choice_does_not_depend_on_the_order_of_candidates(self):
        same = self.candidates([3, 3, 3, 3])
        assert self.choose(same[::-1]) == self.choose(same)

    def test_least_busy_engine_with_the_prefix_is_chosen_unless_far_busier_than_others(self):
        free = self.candidates([1, 1, 1, 1])
        holders = [attrs.evolve(each, held_tokens=8000) for each in free[2:]]
        assert self.choose([*free[:2], *holders], 8000, 8100).name == "e-2"
        busier = attrs.evolve(holders[0], load=2)
        assert self.choose([*free[:2], busier, holders[1]], 8000, 8100).name == "e-3"
        far = [attrs.evolve(each, load=20) for each in holders]
        assert self.choose([*free[:2], *far], 8000, 8100).name in ("e-0", "e-1")

    def test_engine_with_less_queued_prefill_is_chosen_if_none_has_the_prefix(self):
        reading = attrs.evolve(self.candidates([1, 1])[0], reading_tokens=20_000)
        assert self.choose([reading, self.candidates([1, 1])[1]], 0, 8100).name == "e-1"

    def test_partly_cached_prefix_outweighs_waiting_unless_it_can_be_fetched(self):
        free = self.candidates([1, 1])
        part = attrs.evolve(free[0], held_tokens=4000, reading_tokens=6000)
        assert self.choose([part, free[1]], 0, 8100).name == "e-0"
        assert self.choose([part, free[1]], 4000, 8100).name == "e-1"

    def test_new_prompts_spread_over_engines_busy_with_prefill(self):
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
        assert selection.without_avoided(self.candidates([1, 2], avoid=(0, 1)), 0.0)
        (trusted,) = selection.without_avoided(self.candidates([1, 2], avoid=(0,)), 0.0)
        assert trusted.name == "e-1"

    def test_among_the_least_busy_one_in_the_same_hall_is_chosen(self):
        assert selection.choose_least_busy("k", self.candidates([1, 1, 1, 1]), "a").hall == "a"
