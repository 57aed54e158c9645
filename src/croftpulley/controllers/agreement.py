"""The agreement controller: makes commands durable and applies them, in one order.

This is the seam for replication: whatever stands behind `Agreement`, a command has been applied
only once it is durable, and its result is the one that every control box computes.
"""

from __future__ import annotations

import abc
import logging
import pathlib
from collections.abc import Callable

import attrs
import pykka

from croftpulley.controllers import actors
from croftpulley.core import agreed
from croftpulley.observe import events
from croftpulley.storage import commands, files, record_log

_LOG = logging.getLogger(__name__)
LOG_FILE = "commands.log"


class Agreement(abc.ABC):
    """The agreed state and the way to change it."""

    @abc.abstractmethod
    def propose(self, command: agreed.Command) -> pykka.Future[agreed.Result]:
        """Return a future of the command's result; an error means that it may not have counted."""

    @abc.abstractmethod
    def read(self) -> agreed.AgreedState:
        """Return the state as applied; it is not to be changed and may grow while it is read."""


@attrs.frozen
class _Propose:
    command: agreed.Command
    result: pykka.Future[agreed.Result]


@attrs.frozen
class _Flush:
    """Write what has gathered; sent behind the proposals that it makes durable."""


class _LogController(actors.Controller):
    """Gathers proposals that wait and writes them with one sync (group commit)."""

    def __init__(self, log: record_log.RecordLog, state: agreed.AgreedState) -> None:
        super().__init__()
        self._log = log
        self._state = state
        self._waiting: list[_Propose] = []

    def handle(self, message: object) -> None:
        match message:
            case _Propose():
                if not self._waiting:
                    self.actor_ref.tell(_Flush())
                self._waiting.append(message)
            case _Flush():
                self._flush()

    def _flush(self) -> None:
        batch, self._waiting = self._waiting, []
        try:
            self._log.append([commands.encode(proposal.command) for proposal in batch])
        except OSError:
            for proposal in batch:
                proposal.result.set_exception()
            return
        for proposal in batch:
            self._apply(proposal)

    def _apply(self, proposal: _Propose) -> None:
        try:
            proposal.result.set(self._state.apply(proposal.command))
        except Exception:
            proposal.result.set_exception()

    def on_stop(self) -> None:
        self._log.close()


class SingleLog(Agreement):
    """Agreement with oneself: one control box, one synced log."""

    def __init__(
        self,
        data_folder: pathlib.Path,
        open_file: Callable[[pathlib.Path], files.AppendFile] = files.DiskFile,
    ) -> None:
        data_folder.mkdir(parents=True, exist_ok=True)
        log, replay = record_log.open_log(data_folder / LOG_FILE, open_file)
        self._state = agreed.AgreedState()
        for record in replay.payloads:
            self._state.apply(commands.decode(record))
        self._announce(replay)
        self._controller = _LogController.start(log, self._state)

    def propose(self, command: agreed.Command) -> pykka.Future[agreed.Result]:
        """Queue the command for the next write."""
        result: pykka.Future[agreed.Result] = pykka.ThreadingFuture()
        self._controller.tell(_Propose(command, result))
        return result

    def read(self) -> agreed.AgreedState:
        """Return the state as applied."""
        return self._state

    def stop(self) -> None:
        """Write what waits and close the log."""
        self._controller.stop()

    @staticmethod
    def _announce(replay: record_log.Replay) -> None:
        events.emit(_LOG, events.Event.LOG_REPLAYED, records=len(replay.payloads))
        if replay.cut_bytes:
            events.emit(
                _LOG,
                events.Event.LOG_TAIL_CUT,
                level=logging.WARNING,
                cut_bytes=replay.cut_bytes,
            )
