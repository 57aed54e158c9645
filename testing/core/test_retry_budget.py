"""One box's part of the shared retry budget."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

import shared_budget
from croftpulley.core import retry_budget


class TestRetryBudget:
    """All boxes together stay within the budget, though each knows only its own requests."""

    ALLOWANCE = retry_budget.Allowance(ratio=0.2, extra=8, window_s=2.0)

    @given(
        st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 3), st.booleans()), max_size=300),
        st.integers(1, 4),
    )
    def test_all_boxes_together_never_exceed_the_budget_in_any_window(self, steps, boxes):
        budgets = [retry_budget.RetryBudget(self.ALLOWANCE) for _ in range(boxes)]
        now_s = 0.0
        requests, repeats = [], []
        for wait_s, box, is_request in steps:
            now_s += wait_s
            budget = budgets[box % boxes]
            if is_request:
                budget.request(now_s)
                requests.append(now_s)
            elif budget.acquire(now_s, 1 / boxes).is_granted:
                repeats.append(now_s)
        assert shared_budget.worst_excess(self.ALLOWANCE, requests, repeats) is None

    def test_requests_of_callers_that_change_boxes_do_not_exceed_the_budget(self):
        """Both boxes spend what they earned by the same callers, before and after the change."""
        before, after = (retry_budget.RetryBudget(self.ALLOWANCE) for _ in range(2))
        requests, repeats = [], []

        def send_requests(budget, from_s):
            for n in range(200):
                requests.append(from_s + n / 100)
                budget.request(requests[-1])

        def spend(budget, at_s):
            while budget.acquire(at_s, fraction=0.5).is_granted:
                repeats.append(at_s)

        send_requests(before, 0.0)
        spend(before, 2.0)
        send_requests(after, 2.0)
        spend(after, 3.99)
        assert shared_budget.worst_excess(self.ALLOWANCE, requests, repeats) is None

    def test_a_repeat_that_is_sent_late_counts_from_then(self):
        """The box may stall between the decision and the first byte."""
        budget = retry_budget.RetryBudget(self.ALLOWANCE)
        one = 1 / self.ALLOWANCE.extra
        late = budget.acquire(0.0, one).repeat
        late.at_s = 5.0
        assert not budget.acquire(5.0, one).is_granted
        assert not budget.acquire(5.0 + self.ALLOWANCE.window_s, one).is_granted
        assert budget.acquire(5.0 + self.ALLOWANCE.counted_s, one).is_granted


class TestExtraShare:
    """When a box may use its share of the extra."""

    GRANT = retry_budget.Grant(lease_s=3.0, until_s=12.5, boxes=4, kept_s=12.0)

    def renewed(self, share, now_s, **changes):
        grant = attrs.evolve(self.GRANT, until_s=now_s + 2.5, **changes)
        return share.renewed(grant, now_s, counted_s=12.0)

    def test_a_lease_regained_while_registered_keeps_the_start_of_the_share(self):
        share = self.renewed(self.renewed(retry_budget.ExtraShare(), 0.0), 14.0)
        assert share.from_s == 15.0
        assert self.renewed(share, 28.4).fraction(28.5) == 0.25

    def test_a_box_whose_registration_may_have_lapsed_waits_again(self):
        share = self.renewed(self.renewed(retry_budget.ExtraShare(), 0.0), 14.5)
        assert share.from_s == 29.5

    def test_no_share_if_registrations_are_kept_for_less_than_repeats_count(self):
        share = self.renewed(retry_budget.ExtraShare(), 0.0, kept_s=11.0)
        share = self.renewed(share, 12.0, kept_s=11.0)
        assert self.renewed(share, 15.5, kept_s=11.0).fraction(16.0) == 0.0
