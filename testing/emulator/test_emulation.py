"""The emulator: engines, traffic, and what ways of choosing come to."""

from __future__ import annotations

import pathlib

import orjson
import pytest
from click import testing as click_testing

from croftpulley.cli import main
from croftpulley.core import calls
from croftpulley.emulator import choosers, drawn, engines, run, traffic

SECONDS_S = 60.0
SHIFA = traffic.DEPLOYMENTS["shifa"]
POLICIES = pathlib.Path(__file__).parents[2] / "examples" / "policies"


def part(name, tokens):
    return calls.PromptPart(name, tokens)


def engine(**size):
    return engines.Engine("e", engines.EngineSize(**size))


def figures(*ways, seed=3):
    made = {
        "least_loaded": choosers.LeastLoaded(),
        "hashed": choosers.Hashed(),
        "built_in": choosers.BuiltIn(),
    }
    rows = run.compare(SHIFA, {name: made[name] for name in ways}, SECONDS_S, seed)
    return {row.key: row.value for row in rows}


class TestEngine:
    def test_prompts_are_read_one_after_the_other(self):
        made = engine(read_tokens_a_ms=10.0)
        assert made.begin(0.0, (part("a", 1000),), 1).first_s == pytest.approx(0.1)
        assert made.begin(0.0, (part("b", 1000),), 1).first_s == pytest.approx(0.2)

    def test_a_part_is_kept_only_behind_those_before_it(self):
        made = engine()
        made.begin(0.0, (part("a", 100), part("b", 200)), 1)
        assert made.held_tokens((part("a", 100), part("b", 200), part("c", 5))) == 300
        assert made.held_tokens((part("x", 100), part("b", 200))) == 0

    def test_what_is_unused_longest_gives_way(self):
        made = engine(cache_tokens=250)
        for name in "abac":
            made.begin(0.0, (part(name, 100),), 1)
        assert [made.held_tokens((part(name, 100),)) for name in "abc"] == [100, 0, 100]

    def test_beyond_its_slots_requests_wait_for_one_to_end(self):
        made = engine(slots=1, read_tokens_a_ms=1e9, step_ms=10.0, step_ms_per_request=0.0)
        assert made.begin(0.0, (part("a", 1),), 100).end_s == pytest.approx(1.0)
        assert made.begin(0.5, (part("b", 1),), 100).first_s == pytest.approx(1.0)

    def test_those_that_wait_for_a_slot_do_not_slow_the_batch(self):
        made = engine(slots=1, read_tokens_a_ms=1e9, step_ms=10.0, step_ms_per_request=10.0)
        ends_s = [made.begin(0.0, (part("a", 1),), 10).end_s for _ in range(4)]
        assert ends_s == pytest.approx([0.2, 0.4, 0.6, 0.8])


@pytest.mark.parametrize("seed", range(20))
def test_a_drawn_deployment_stays_within_its_bounds_and_is_the_same_for_its_seed(seed):
    made = drawn.deployment(seed)
    assert made == drawn.deployment(seed)
    assert made != drawn.deployment(seed + 1)
    assert drawn.ENGINES[0] <= made.engines <= drawn.ENGINES[1]
    assert drawn.ROUTERS[0] <= made.routers <= drawn.ROUTERS[1]
    assert drawn.READ_TOKENS_A_MS[0] <= made.engine.read_tokens_a_ms <= drawn.READ_TOKENS_A_MS[1]
    assert drawn.KINDS[0] <= len(made.kinds) <= drawn.KINDS[1]
    assert all(each.per_s > 0 for each in made.kinds)


def test_a_drawn_deployment_is_played_by_the_command():
    arguments = ["bench", "policy", "--deployment", "random", "--seed", "3", "--seconds", "5"]
    result = click_testing.CliRunner().invoke(main.cli, [*arguments, "--json"])
    assert result.exit_code == 0
    assert orjson.loads(result.output)["built_in_cache_reuse_ratio"] > 0


def test_the_same_seed_gives_the_same_traffic_and_figures():
    assert list(traffic.arrivals(SHIFA, 5.0, 1)) == list(traffic.arrivals(SHIFA, 5.0, 1))
    assert list(traffic.arrivals(SHIFA, 5.0, 1)) != list(traffic.arrivals(SHIFA, 5.0, 2))
    assert figures("built_in") == figures("built_in")


def test_the_built_in_rule_reuses_what_engines_hold_without_burying_one():
    found = figures("least_loaded", "hashed", "built_in")
    assert found["built_in_cache_reuse_ratio"] > found["least_loaded_cache_reuse_ratio"] + 0.25
    assert found["built_in_skew_max_ratio"] < found["hashed_skew_max_ratio"]
    assert found["built_in_in_time_ratio"] > 0.99


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_program_for_those_who_weigh_skew_lowers_it(seed):
    arguments = ["bench", "policy", "--deployment", "shifa", "--seconds", "60", "--json"]
    program = ["--program", str(POLICIES / "shifa.policy"), "--seed", str(seed)]
    result = click_testing.CliRunner().invoke(main.cli, arguments + program)
    found = orjson.loads(result.output)
    assert found["program_skew_max_ratio"] < found["built_in_skew_max_ratio"]


def test_a_run_too_short_for_any_figure_gives_zeros():
    rows = run.Emulation(SHIFA, choosers.BuiltIn()).play([], 1.0).rows("none")
    assert {row.key: row.value for row in rows}["none_skew_max_ratio"] == 0
