"""The shared budget of repeats, as one box keeps its part of it."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

import shared_budget
from croftpulley.core import retry_budget


class TestRetryBudget:
    """The shared budget, earned by each box alone."""

    ALLOWANCE = retry_budget.Allowance(ratio=0.2, extra=8, window_s=2.0)

    @given(
        st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 3), st.booleans()), max_size=300),
        st.integers(1, 4),
    )
    def test_all_boxes_together_never_exceed_it_in_any_window(self, steps, boxes):
        budgets = [retry_budget.RetryBudget(self.ALLOWANCE) for _ in range(boxes)]
        now_s = 0.0
        requests, repeats = [], []
        for wait_s, box, is_request in steps:
            now_s += wait_s
            budget = budgets[box % boxes]
            if is_request:
                budget.request(now_s)
                requests.append(now_s)
            elif budget.take(now_s, 1 / boxes).is_granted:
                repeats.append(now_s)
        assert shared_budget.worst_excess(self.ALLOWANCE, requests, repeats) is None

    def test_callers_that_move_to_another_box_are_not_spent_on_by_both(self):
        """Each box sends what it earned by the same traffic: before the move, and after it."""
        before, after = (retry_budget.RetryBudget(self.ALLOWANCE) for _ in range(2))
        requests, repeats = [], []

        def come_to(budget, from_s):
            for n in range(200):
                requests.append(from_s + n / 100)
                budget.request(requests[-1])

        def spend(budget, at_s):
            while budget.take(at_s, fraction=0.5).is_granted:
                repeats.append(at_s)

        come_to(before, 0.0)
        spend(before, 2.0)
        come_to(after, 2.0)
        spend(after, 3.99)
        assert shared_budget.worst_excess(self.ALLOWANCE, requests, repeats) is None

    def test_a_repeat_that_leaves_late_counts_from_then(self):
        """Its box stood still between the decision and the first byte."""
        budget = retry_budget.RetryBudget(self.ALLOWANCE)
        one = 1 / self.ALLOWANCE.extra
        late = budget.take(0.0, one).repeat
        late.at_s = 5.0
        assert not budget.take(5.0, one).is_granted
        assert not budget.take(5.0 + self.ALLOWANCE.window_s, one).is_granted
        assert budget.take(5.0 + self.ALLOWANCE.counted_s, one).is_granted


class TestExtraShare:
    """When a box may use its share of the extra."""

    GRANT = retry_budget.Grant(lease_s=3.0, until_s=12.5, boxes=4, kept_s=12.0)

    def renewed(self, share, now_s, **changes):
        grant = attrs.evolve(self.GRANT, until_s=now_s + 2.5, **changes)
        return share.renewed(grant, now_s, counted_s=12.0)

    def test_a_lease_regained_while_the_box_is_registered_goes_on_where_it_was(self):
        share = self.renewed(self.renewed(retry_budget.ExtraShare(), 0.0), 14.0)
        assert share.from_s == 15.0
        assert self.renewed(share, 28.4).fraction(28.5) == 0.25

    def test_a_box_that_may_have_been_forgotten_waits_again(self):
        share = self.renewed(self.renewed(retry_budget.ExtraShare(), 0.0), 14.5)
        assert share.from_s == 29.5

    def test_a_leader_that_keeps_boxes_for_less_than_repeats_count_grants_no_share(self):
        share = self.renewed(retry_budget.ExtraShare(), 0.0, kept_s=11.0)
        share = self.renewed(share, 12.0, kept_s=11.0)
        assert self.renewed(share, 15.5, kept_s=11.0).fraction(16.0) == 0.0
