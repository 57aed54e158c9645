"""``croftpulley fake``: stand-ins for trials."""

from __future__ import annotations

import click

from croftpulley.daemons import signals
from croftpulley.fakes import engine, platform_list, stub, worker
from croftpulley.settings import loader, schema

_KINDS: dict[str, type[stub.Stub]] = {
    "engine": engine.FakeEngine,
    "worker": worker.FakeWorker,
    "platform": platform_list.FakePlatformList,
}


@click.command()
@click.argument("kind", type=click.Choice(sorted(_KINDS)))
@click.option("--settings", "path", required=True, type=click.Path())
def fake(kind: str, path: str) -> None:
    """Run a stand-in of one KIND until SIGTERM.

    Example: croftpulley fake engine --settings engine-1.jsonc
    """
    stand_in = _KINDS[kind](loader.load(path, schema.FakeSettings))  # type: ignore[arg-type]
    stop = signals.StopSignal()
    stand_in.start()
    stop.wait()
    stand_in.stop()
