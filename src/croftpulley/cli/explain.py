"""``croftpulley explain``: from a request's id to its cause."""

from __future__ import annotations

import itertools
import pathlib
from collections.abc import Callable, Iterator

import click
import orjson

from croftpulley.observe import explain as explaining


def lines_of(file: str) -> Iterator[str]:
    """Read a log line by line: a reader keeps in memory only what concerns it."""
    with pathlib.Path(file).open(encoding="utf-8", errors="replace") as log:
        yield from log


def logs_option(of: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Return the option that names log files, those ``of`` a process or of a router."""
    return click.option(
        "--logs",
        "files",
        multiple=True,
        required=True,
        type=click.Path(exists=True, dir_okay=False),
        help=f"What a {of} wrote to standard output; give those of all.",
    )


@click.command()
@click.argument("request_id")
@logs_option("process")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(request_id: str, files: tuple[str, ...], as_json: bool) -> None:
    """Put the lines of one request over all processes in order, and name the cause.

    Example: croftpulley explain 9c41d07be2a35f68 --logs router-1.log --logs control-1.log
    """
    texts = [lines_of(each) for each in files]
    story = explaining.explain(
        request_id, explaining.parse_lines(itertools.chain.from_iterable(texts))
    )
    if as_json:
        lines = [str(line) for line in story.lines]
        click.echo(orjson.dumps({"cause": story.cause, "lines": lines}).decode())
        return
    for line in story.lines:
        click.echo(str(line))
    click.echo(story.cause)
