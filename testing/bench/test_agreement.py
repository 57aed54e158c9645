"""The experiment on what a leading control box spends."""

from __future__ import annotations

from croftpulley.bench import agreement


def test_a_renewal_with_nothing_new_is_as_long_for_many_routers_as_for_few():
    # Only loads, which this experiment keeps alike, go out with every answer. Sums of as many
    # digits are compared: 40 numbers with a digit more are 2.7% of an answer that names nothing.
    key = "bytes_per_s_per_router"
    few = {row.key: row.value for row in agreement.measure(5, 20)}
    many = {row.key: row.value for row in agreement.measure(30, 20)}
    assert many[f"renew_30_routers_{key}"] < 1.02 * few[f"renew_5_routers_{key}"]
    assert many[f"start_30_routers_{key}"] > many[f"renew_30_routers_{key}"]


def test_a_renewal_is_as_long_for_a_large_configuration_as_for_a_small_one():
    def bytes_of(routes):
        rows = agreement.measure(3, 20, routes)
        return [row.value for row in rows if "bytes" in row.key]

    assert bytes_of(2_800) == bytes_of(12)


def test_a_configuration_is_fetched_in_parts_of_a_bounded_length():
    rows = {row.key: row.value for row in agreement.fetch(2_800)}
    few = {row.key: row.value for row in agreement.fetch(12)}
    assert few["fetch_12_routes_parts"] == 1 < rows["fetch_2800_routes_parts"]
    assert rows["fetch_2800_routes_longest_bytes"] < 24 * 1024


def test_a_log_is_read_back_whatever_its_length():
    assert agreement.restart(3).value > 0
