"""``croftpulley check-settings``."""

from __future__ import annotations

import click

from croftpulley.settings import loader, schema

_KINDS = {
    "entry": schema.EntrySettings,
    "control": schema.ControlSettings,
    "router": schema.RouterSettings,
    "replica": schema.ReplicaSettings,
    "redirector": schema.RedirectorSettings,
    "fake": schema.FakeSettings,
}


@click.command("check-settings")
@click.argument("file", type=click.Path())
@click.option("--kind", type=click.Choice(sorted(_KINDS)), default="entry", show_default=True)
def check_settings(file: str, kind: str) -> None:
    """Check a settings FILE and report every fault in it at once.

    Example: croftpulley check-settings --kind control control-1.jsonc
    """
    loader.load(file, _KINDS[kind])
    click.echo(f"{file}: valid {kind} settings")
