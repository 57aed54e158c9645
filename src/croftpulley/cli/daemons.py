"""``croftpulley entry``, ``control``, ``router`` and ``replica``."""

from __future__ import annotations

import signal
import sys
import threading
from typing import NoReturn

import click

from croftpulley.daemons import control as control_daemon
from croftpulley.daemons import entry as entry_daemon
from croftpulley.daemons import replica as replica_daemon
from croftpulley.daemons import router as router_daemon
from croftpulley.observe import logs
from croftpulley.settings import loader, schema

_SETTINGS = click.option(
    "--settings", "path", required=True, type=click.Path(), help="JSON with comments."
)


def stop_signal() -> threading.Event:
    """Return an event that SIGTERM or SIGINT sets."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: stopped.set())
    return stopped


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
    _run_entry_box(entry_daemon.EntryDaemon(settings))


@click.command()
@_SETTINGS
def control(path: str) -> None:
    """Run a control box: keep the agreed state, grant leases, place engines.

    Example: croftpulley control --settings control-1.jsonc
    """
    settings = loader.load(path, schema.ControlSettings)
    logs.set_up(settings.box, settings.log_level)
    _run_control_box(control_daemon.ControlDaemon(settings))


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
    _run_entry_box(router_daemon.RouterDaemon(settings))


@click.command()
@_SETTINGS
def replica(path: str) -> None:
    """Run a control box that shares the agreed state with others.

    Example: croftpulley replica --settings replica-1.jsonc
    """
    settings = loader.load(path, schema.ReplicaSettings)
    logs.set_up(settings.box, settings.log_level)
    _run_control_box(replica_daemon.ReplicaDaemon(settings))


def _run_entry_box(daemon: entry_daemon.EntryDaemon | router_daemon.RouterDaemon) -> NoReturn:
    """Serve until SIGTERM, then drain; the exit code tells whether every stream ended."""
    stopped = stop_signal()
    daemon.start()
    stopped.wait()
    ended = daemon.drain()
    daemon.stop()
    sys.exit(0 if ended else 1)


def _run_control_box(daemon: control_daemon.ControlDaemon | replica_daemon.ReplicaDaemon) -> None:
    """Serve until SIGTERM."""
    stopped = stop_signal()
    daemon.start()
    stopped.wait()
    daemon.stop()
