"""``croftpulley bench``: experiments against a running fleet."""

from __future__ import annotations

import time

import click
import urllib3

from croftpulley import codes, errors
from croftpulley.bench import agreement as agreement_bench
from croftpulley.bench import cold_starts as cold_bench
from croftpulley.bench import control as control_bench
from croftpulley.bench import demo as demo_bench
from croftpulley.bench import fleet_files, scrape, table
from croftpulley.bench import origins as origins_bench
from croftpulley.bench import path as path_bench
from croftpulley.bench import rests as rests_bench
from croftpulley.cli import policy as policy_cli
from croftpulley.emulator import choosers, drawn, traffic
from croftpulley.emulator import run as emulation
from croftpulley.policy import arms

_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.1
_DRAWN = "random"

_EXAMPLES = click.option(
    "--examples",
    default="examples/demo",
    show_default=True,
    help="Folder with the settings that the running fleet was started with.",
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def bench() -> None:
    """Measure; figures are printed as a table or as JSON."""


@bench.command("wait-ready")
@_EXAMPLES
def wait_ready(examples: str) -> None:
    """Wait until every entry box is ready and every engine has an owner."""
    fleet = fleet_files.read(examples)
    ends_at_s = time.monotonic() + _READY_TIMEOUT_S
    while not _ready(fleet):
        if time.monotonic() > ends_at_s:
            raise errors.CroftpulleyError(codes.ResultCode.CHECK_FAILED, "the fleet is not ready")
        time.sleep(_POLL_INTERVAL_S)


def _ready(fleet: fleet_files.Fleet) -> bool:
    owned = set()
    for entry in fleet.entries:
        try:
            if not scrape.get_json(entry.operator_address, "/readyz")["ready"]:
                return False
            owned.update(scrape.get_json(entry.operator_address, "/v1/status")["owned_engines"])
        except urllib3.exceptions.HTTPError:
            return False
    return {engine.name for engine in fleet.engines} <= owned


@bench.command()
@_EXAMPLES
@_JSON
@click.option("--seed", default=1, show_default=True, help="Seed of the traffic.")
def demo(examples: str, as_json: bool, seed: int) -> None:
    """Run returning chats and bookings, check every answer, and print a short table.

    Example: make demo-up && croftpulley bench demo --json
    """
    rows, wrong = demo_bench.run(examples, seed)
    click.echo(table.as_json(rows) if as_json else table.plain(rows))
    if wrong:
        for each in wrong:
            click.echo(f"wrong: {each}", err=True)
        raise errors.CroftpulleyError(codes.ResultCode.CHECK_FAILED, f"{len(wrong)} wrong answers")


@bench.command()
@click.option("--examples", default="examples/bench", show_default=True)
@click.option(
    "--streams",
    multiple=True,
    type=click.Tuple([click.Choice(["direct", "forwarded"]), int]),
    help="Measure only this way with this many streams, such as --streams direct 500.",
)
@_JSON
def path(examples: str, streams: tuple[tuple[str, int], ...], as_json: bool) -> None:
    """Measure what the path adds and what one entry process can relay.

    Example: make bench-path
    """
    rows = [] if streams else path_bench.latency(examples)
    for way, count in streams:
        rows += path_bench.streams(examples, (way,), (count,))
    if not streams:
        rows += path_bench.streams(examples)
    click.echo(table.as_json(rows) if as_json else table.plain(rows))


@bench.command()
@click.option("--examples", default="examples/bench", show_default=True)
@_JSON
def control(examples: str, as_json: bool) -> None:
    """Measure renewals by number of boxes, claims, the directory's size and one choice.

    Example: make bench-control
    """
    rows = control_bench.run(examples)
    click.echo(table.as_json(rows) if as_json else table.plain(rows))


@bench.command()
@_JSON
def agreement(as_json: bool) -> None:
    """Measure what a leading control box spends on each router, without a fleet.

    Example: croftpulley bench agreement --json
    """
    rows = agreement_bench.run()
    click.echo(table.as_json(rows) if as_json else table.plain(rows))


@bench.command("cold")
@_JSON
def cold(as_json: bool) -> None:
    """Compare ways of keeping a cold endpoint within what it takes, in virtual time.

    Example: croftpulley bench cold
    """
    rows = cold_bench.run()
    click.echo(table.as_json(rows) if as_json else table.plain(rows))


@bench.command("rests")
@click.option("--seed", default=1, show_default=True, help="Seed of the callers.")
@_JSON
def rests(seed: int, as_json: bool) -> None:
    """Compare ways of dealing with endpoints that ask for rest, in virtual time; takes minutes.

    Example: croftpulley bench rests --seed 2
    """
    rows = rests_bench.run(seed)
    click.echo(table.as_json(rows) if as_json else table.plain(rows))


@bench.command("origins")
@_JSON
def stream_origins(as_json: bool) -> None:
    """Measure what remembering and telling where streams began costs a router.

    Example: croftpulley bench origins
    """
    rows = origins_bench.measure()
    click.echo(table.as_json(rows) if as_json else table.plain(rows))


@bench.command("policy")
@click.option(
    "--deployment",
    type=click.Choice([*sorted(traffic.DEPLOYMENTS), _DRAWN]),
    required=True,
    help=f"One of today's users, or {_DRAWN}: engines and requests drawn from the seed.",
)
@click.option("--program", type=click.Path(), help="A program for scores to compare as well.")
@click.option("--seconds", default=120.0, show_default=True, help="Of virtual time.")
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the traffic, and of what is drawn."
)
@_JSON
def policies(
    deployment: str, program: str | None, seconds: float, seed: int, as_json: bool
) -> None:
    """Compare ways of choosing an engine in virtual time, with the users' sizes of today.

    Example: croftpulley bench policy --deployment shifa --program examples/policies/shifa.policy
    """
    ways: dict[str, choosers.Chooser] = {
        "random": choosers.Random(seed),
        "least_loaded": choosers.LeastLoaded(),
        "hashed": choosers.Hashed(),
        "built_in": choosers.BuiltIn(),
    }
    if program is not None:
        score = policy_cli.read_program(program, arms.CANDIDATE_VARIABLES)
        ways["program"] = choosers.ByProgram(arms.Arm(name="program", score=score))
    played = drawn.deployment(seed) if deployment == _DRAWN else traffic.DEPLOYMENTS[deployment]
    rows = emulation.compare(played, ways, seconds, seed)
    click.echo(table.as_json(rows) if as_json else table.plain(rows))
