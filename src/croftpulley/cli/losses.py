"""``croftpulley losses``: what a fleet's logs say of the requests it lost."""

from __future__ import annotations

import itertools

import click
import orjson

from croftpulley.cli import explain
from croftpulley.observe import explain as explaining
from croftpulley.observe import losses as tabulating


@click.command()
@explain.logs_option("router")
@click.option(
    "--window-s",
    default=2.0,
    show_default=True,
    type=click.FloatRange(min=0.001),
    help="The span of time of a row.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def losses(files: tuple[str, ...], window_s: float, as_json: bool) -> None:
    """Split the requests that were late, failed or refused by second, route and reason.

    Example: croftpulley losses --logs router-1.log --logs router-2.log
    """
    texts = itertools.chain.from_iterable(explain.lines_of(each) for each in files)
    table = tabulating.tabulate(explaining.parse_lines(texts), window_s)
    if as_json:
        rows = [
            {
                "begin_s": cell.begin_s,
                "route": cell.route,
                "loss": cell.loss,
                "reason": cell.reason,
                "requests": count,
            }
            for cell, count in table.losses.items()
        ]
        document = {"requests": table.requests, "left_out": table.left_out, "losses": rows}
        click.echo(orjson.dumps(document).decode())
        return
    click.echo(f"{'from s':>8}  {'requests':>8}  {'loss':<8} {'route':<24} reason")
    for cell, count in table.losses.items():
        click.echo(
            f"{cell.begin_s:>8.1f}  {count:>8}  {cell.loss:<8} {cell.route:<24} {cell.reason}"
        )
    click.echo(
        f"{sum(table.losses.values())} of {table.requests} requests that ended; "
        f"{table.left_out} log lines were left out"
    )
