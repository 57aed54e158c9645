"""The agreed command log: makes commands durable and applies them to the state in log order.

`CommandLog` is the interface to both the local and the replicated log. In either, a command is
applied only after it is durable, and its result is the same on every control box.
"""

from __future__ import annotations

import abc
import logging
import pathlib
from collections.abc import Callable

import attrs
import pykka

from croftpulley.controllers import actors
from croftpulley.core import replicated_state
from croftpulley.observe import events
from croftpulley.storage import commands, files, record_log

_LOG = logging.getLogger(__name__)
LOG_FILE = "commands.log"


class CommandLog(abc.ABC):
    """A command log and the state that results from applying it."""

    @abc.abstractmethod
    def propose(self, command: replicated_state.Command) -> pykka.Future[replicated_state.Result]:
        """Append a command; return a future of its result.

        The future raises if the command may not have been applied.
        """

    @abc.abstractmethod
    def read(self) -> replicated_state.ReplicatedState:
        """Return the applied state.

        Callers must not modify it; it may change while they read it.
        """


@attrs.frozen
class _Propose:
    command: replicated_state.Command
    result: pykka.Future[replicated_state.Result]


@attrs.frozen
class _Flush:
    """Writes the pending proposals; queued after the first of them."""


class _LogController(actors.Controller):
    """Collects pending proposals and writes them with one sync (group commit)."""

    def __init__(self, log: record_log.RecordLog, state: replicated_state.ReplicatedState) -> None:
        super().__init__()
        self._log = log
        self._state = state
        self._pending: list[_Propose] = []

    def handle(self, message: object) -> None:
        match message:
            case _Propose():
                if not self._pending:
                    self.actor_ref.tell(_Flush())
                self._pending.append(message)
            case _Flush():
                self._flush()

    def _flush(self) -> None:
        batch, self._pending = self._pending, []
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


class SingleNodeLog(CommandLog):
    """The log of a fleet with a single control box: one file, synced at each write."""

    def __init__(
        self,
        data_folder: pathlib.Path,
        open_file: Callable[[pathlib.Path], files.AppendFile] = files.DiskFile,
    ) -> None:
        data_folder.mkdir(parents=True, exist_ok=True)
        log, replay = record_log.open_log(data_folder / LOG_FILE, open_file)
        self._state = replicated_state.ReplicatedState()
        for record in replay.payloads:
            self._state.apply(commands.decode(record))
        self._log_replay(replay)
        self._controller = _LogController.start(log, self._state)

    def propose(self, command: replicated_state.Command) -> pykka.Future[replicated_state.Result]:
        """Queue a command for the next write; return a future of its result."""
        result: pykka.Future[replicated_state.Result] = pykka.ThreadingFuture()
        self._controller.tell(_Propose(command, result))
        return result

    def read(self) -> replicated_state.ReplicatedState:
        """Return the applied state."""
        return self._state

    def stop(self) -> None:
        """Write the pending proposals and close the log."""
        actors.stop_controllers((self._controller,))

    @staticmethod
    def _log_replay(replay: record_log.Replay) -> None:
        events.emit(_LOG, events.Event.LOG_REPLAYED, records=len(replay.payloads))
        if replay.cut_bytes:
            events.emit(
                _LOG,
                events.Event.LOG_TAIL_CUT,
                level=logging.WARNING,
                cut_bytes=replay.cut_bytes,
            )
