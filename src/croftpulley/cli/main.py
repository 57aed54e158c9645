"""``croftpulley``: the command and its groups."""

from __future__ import annotations

import sys

import click

import croftpulley
from croftpulley import codes, errors
from croftpulley.cli import bench, ctl, daemons, explain, fakes, losses, policy, settings


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(croftpulley.__version__)
def cli() -> None:
    """A router fleet for very many returning chats.

    A box that takes callers runs "croftpulley entry", a box with a disk "croftpulley control".
    Operators use "croftpulley ctl". Exit codes are the result codes of docs/RESULT-CODES.md.
    """


cli.add_command(daemons.entry)
cli.add_command(daemons.control)
cli.add_command(daemons.router)
cli.add_command(daemons.replica)
cli.add_command(daemons.redirector)
cli.add_command(settings.check_settings)
cli.add_command(ctl.ctl)
cli.add_command(fakes.fake)
cli.add_command(bench.bench)
cli.add_command(policy.policy)
cli.add_command(explain.explain)
cli.add_command(losses.losses)


def main() -> None:
    """Run the command; an error of ours becomes a message and its result code the exit code."""
    try:
        cli()
    except errors.SettingsErrorGroup as group:
        for fault in group.exceptions:
            click.echo(f"error: {fault}", err=True)
        sys.exit(codes.ResultCode.SETTINGS_INVALID.value)
    except errors.CroftpulleyError as failure:
        click.echo(f"error: {failure}", err=True)
        sys.exit(failure.code.value)
