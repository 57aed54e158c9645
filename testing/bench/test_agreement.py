"""The experiment on what a leading control box spends."""

from __future__ import annotations

from croftpulley.bench import agreement


def test_a_renewal_with_nothing_new_is_as_long_for_many_routers_as_for_few():
    # Only loads, which this experiment keeps alike, go out with every answer.
    key = "bytes_per_s_per_router"
    few = {row.key: row.value for row in agreement.measure(3, 20)}
    many = {row.key: row.value for row in agreement.measure(30, 20)}
    assert many[f"renew_30_routers_{key}"] < 1.02 * few[f"renew_3_routers_{key}"]
    assert many[f"start_30_routers_{key}"] > many[f"renew_30_routers_{key}"]


def test_a_log_is_read_back_whatever_its_length():
    assert agreement.restart(3).value > 0
