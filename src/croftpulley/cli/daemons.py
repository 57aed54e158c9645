"""``croftpulley entry``, ``control``, ``router``, ``replica`` and ``redirector``."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

import click

from croftpulley.daemons import control as control_daemon
from croftpulley.daemons import entry as entry_daemon
from croftpulley.daemons import entry_box, settings_watch, signals, start_up
from croftpulley.daemons import redirector as redirector_daemon
from croftpulley.daemons import replica as replica_daemon
from croftpulley.daemons import router as router_daemon
from croftpulley.observe import logs
from croftpulley.settings import loader, schema

T = TypeVar(
    "T",
    schema.EntrySettings,
    schema.ControlSettings,
    schema.RouterSettings,
    schema.ReplicaSettings,
    schema.RedirectorSettings,
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
    watch = _watch(path, schema.EntrySettings)
    sys.setswitchinterval(watch.in_use.thread_switch_ms / 1000)
    _run_entry_box(entry_daemon.EntryDaemon, watch)


@click.command()
@_SETTINGS
def control(path: str) -> None:
    """Run a control box: keep the agreed state, grant leases, place engines.

    Example: croftpulley control --settings control-1.jsonc
    """
    watch = _watch(path, schema.ControlSettings)
    _run_control_box(control_daemon.ControlDaemon, watch)


@click.command()
@_SETTINGS
def router(path: str) -> None:
    """Run a router: an entry box that forwards requests by the configured routes.

    SIGTERM is a planned stop: the box is named no more, serves who still comes, ends every stream
    and exits 0; it exits 1 if its grace ran out first.

    Example: croftpulley router --settings router-1.jsonc
    """
    watch = _watch(path, schema.RouterSettings)
    _run_entry_box(router_daemon.RouterDaemon, watch)


@click.command()
@_SETTINGS
def replica(path: str) -> None:
    """Run a control box that shares the agreed state with others.

    Example: croftpulley replica --settings replica-1.jsonc
    """
    watch = _watch(path, schema.ReplicaSettings)
    _run_control_box(replica_daemon.ReplicaDaemon, watch)


@click.command()
@_SETTINGS
def redirector(path: str) -> None:
    """Run a control box without a disk, which sends others on to those that have one.

    Example: croftpulley redirector --settings redirector-1.jsonc
    """
    watch = _watch(path, schema.RedirectorSettings)
    _run_control_box(redirector_daemon.RedirectorDaemon, watch)


def _watch(path: str, kind: type[T]) -> settings_watch.SettingsWatch[T]:
    """Read the settings, and log as they say; no thread has been started yet."""
    start_up.share_allocator()
    watch = settings_watch.SettingsWatch(path, lambda: loader.load(path, kind))
    logs.set_up(watch.in_use.box, watch.in_use.log_level)
    return watch


def _run_entry_box(
    make: Callable[[Any], entry_box.EntryBox], watch: settings_watch.SettingsWatch[Any]
) -> NoReturn:
    """Serve until SIGTERM, then drain; the exit code tells whether every stream ended."""

    def run() -> int:
        daemon = make(watch.in_use)
        stop = signals.StopSignal(watch.signalled)
        watch.begin(daemon.use_settings)
        return daemon.run(stop)

    sys.exit(logs.run(run))


def _run_control_box(
    make: Callable[
        [Any],
        control_daemon.ControlDaemon
        | replica_daemon.ReplicaDaemon
        | redirector_daemon.RedirectorDaemon,
    ],
    watch: settings_watch.SettingsWatch[Any],
) -> NoReturn:
    """Serve until SIGTERM."""

    def run() -> int:
        daemon = make(watch.in_use)
        stop = signals.StopSignal(watch.signalled)
        watch.begin(daemon.use_settings)
        daemon.start()
        stop.wait()
        daemon.stop()
        return 0

    sys.exit(logs.run(run))
