"""``croftpulley policy``: check operators' programs and compare their arms on live traffic."""

from __future__ import annotations

import pathlib

import click

from croftpulley.bench import comparison, scrape, table
from croftpulley.policy import arms, language


def read_program(file: str, names: tuple[str, ...]) -> language.Program:
    """Read a program that is given ``names``; a fault ends the command with one line."""
    try:
        return language.parse(pathlib.Path(file).read_text(encoding="utf-8"), names)
    except (OSError, language.ProgramError) as failure:
        raise click.ClickException(f"{file}: {failure}") from failure


@click.group()
def policy() -> None:
    """Check operators' programs and compare the arms of a configuration."""


@policy.command()
@click.argument("file", type=click.Path())
@click.option("--admit", is_flag=True, help="It is a program for admission, not for scores.")
def check(file: str, admit: bool) -> None:
    """Check the program in FILE without submitting it.

    Example: croftpulley policy check examples/policies/shifa.policy
    """
    read_program(file, arms.REQUEST_VARIABLES if admit else arms.CANDIDATE_VARIABLES)
    click.echo(f"{file}: in order")


@policy.command()
@click.option("--metrics", "addresses", multiple=True, required=True, help="A router's address.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def compare(addresses: tuple[str, ...], as_json: bool) -> None:
    """Compare the arms by what all routers have counted since they started.

    Each share has the range in which it lies with a confidence of 95 %.

    Example: croftpulley policy compare --metrics 127.0.0.1:8431 --metrics 127.0.0.1:8432
    """
    samples = [sample for address in addresses for sample in scrape.metrics(address)]
    results = comparison.of(samples)
    if not as_json:
        click.echo(comparison.as_text(results))
        return
    click.echo(table.as_json([row for each in results for row in comparison.rows(each)]))
