"""Arms compared by the counters of routers."""

from __future__ import annotations

import random

from croftpulley.bench import comparison, scrape
from croftpulley.observe import metrics


def samples_of(*counters):
    return [sample for each in counters for sample in scrape.parse(each.render())]


def test_the_counts_of_all_routers_are_added_up():
    first, second = metrics.Metrics(), metrics.Metrics()
    for counters, arm, result in (
        (first, "a", "in_time"),
        (second, "a", "late"),
        (second, "a", "in_time"),
        (second, "b", "failed"),
    ):
        counters.arm_request(arm, result)
    first.arm_tokens("a", 300, 100)
    second.arm_tokens("a", 100, 0)
    first.arm_decision("a", "alike")
    first.arm_decision("a", "failed")
    a, b = comparison.of(samples_of(first, second))
    assert (a.arm, a.in_time.part, a.in_time.total) == ("a", 2, 3)
    assert (a.held_tokens.value, a.as_built_in.value, a.program_failed.value) == (0.8, 0.5, 0.5)
    assert (b.arm, b.failed.value, b.in_time.value) == ("b", 1.0, 0.0)
    assert "0.667 (0.208-0.939)" in comparison.as_text([a, b])


def test_the_range_holds_the_true_share_about_as_often_as_it_says():
    chance = random.Random(1)
    held = 0
    for _ in range(1000):
        part = sum(chance.random() < 0.9 for _ in range(60))
        share = comparison.Share(part, 60)
        held += share.low <= 0.9 <= share.high
    assert 930 <= held <= 980


def test_without_requests_nothing_is_claimed():
    assert comparison.of([]) == []
    assert comparison.as_text([]) == "no arm has had a request"
    nothing = comparison.Share(0, 0)
    assert (nothing.value, nothing.low, nothing.high) == (0.0, 0.0, 1.0)
