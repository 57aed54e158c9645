"""``croftpulley entry``, ``control``, ``router`` and ``replica``."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import NoReturn

import click

from croftpulley.daemons import control as control_daemon
from croftpulley.daemons import entry as entry_daemon
from croftpulley.daemons import entry_box, signals
from croftpulley.daemons import replica as replica_daemon
from croftpulley.daemons import router as router_daemon
from croftpulley.observe import logs
from croftpulley.settings import loader, schema

_Settings = (
    schema.EntrySettings | schema.ControlSettings | schema.RouterSettings | schema.ReplicaSettings
)
_SETTINGS = click.option(
    "--settings", "path", required=True, type=click.Path(), help="JSON with comments."
)


@click.command()
@_SETTINGS
def entry(path: str) -> None:
    """Run an entry box: take callers' requests and own some engines.

    SIGTERM is a planned stop: the box is named no more, gives up its engines, ends every stream
    and exits 0; it exits 1 if the drain limit ran out first.

    Example: croftpulley entry --settings entry-1.jsonc
    """
    settings = loader.load(path, schema.EntrySettings)
    logs.set_up(settings.box, settings.log_level)
    sys.setswitchinterval(settings.thread_switch_ms / 1000)
    _run_entry_box(entry_daemon.EntryDaemon(settings), _level_reader(path, settings))


@click.command()
@_SETTINGS
def control(path: str) -> None:
    """Run a control box: keep the agreed state, grant leases, place engines.

    Example: croftpulley control --settings control-1.jsonc
    """
    settings = loader.load(path, schema.ControlSettings)
    logs.set_up(settings.box, settings.log_level)
    _run_control_box(control_daemon.ControlDaemon(settings), _level_reader(path, settings))


@click.command()
@_SETTINGS
def router(path: str) -> None:
    """Run a router: an entry box that forwards requests by the configured routes.

    SIGTERM is a planned stop: the box is named no more, serves who still comes, ends every stream
    and exits 0; it exits 1 if its grace ran out first.

    Example: croftpulley router --settings router-1.jsonc
    """
    settings = loader.load(path, schema.RouterSettings)
    logs.set_up(settings.box, settings.log_level)
    _run_entry_box(router_daemon.RouterDaemon(settings), _level_reader(path, settings))


@click.command()
@_SETTINGS
def replica(path: str) -> None:
    """Run a control box that shares the agreed state with others.

    Example: croftpulley replica --settings replica-1.jsonc
    """
    settings = loader.load(path, schema.ReplicaSettings)
    logs.set_up(settings.box, settings.log_level)
    _run_control_box(replica_daemon.ReplicaDaemon(settings), _level_reader(path, settings))


def _level_reader(path: str, settings: _Settings) -> Callable[[], str]:
    """Return what reads the log level anew from the file that ``settings`` came from."""
    return lambda: loader.load(path, type(settings)).log_level


def _run_entry_box(daemon: entry_box.EntryBox, read_level: Callable[[], str]) -> NoReturn:
    """Serve until SIGTERM, then drain; the exit code tells whether every stream ended."""
    sys.exit(daemon.run(signals.stop_signal(read_level)))


def _run_control_box(
    daemon: control_daemon.ControlDaemon | replica_daemon.ReplicaDaemon,
    read_level: Callable[[], str],
) -> None:
    """Serve until SIGTERM."""
    stopped = signals.stop_signal(read_level)
    daemon.start()
    stopped.wait()
    daemon.stop()
