"""Commands on their way into the replicated log, and who waits for what comes of them."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import pykka

from croftpulley import codes, errors
from croftpulley.core import agreed


@attrs.frozen
class Propose:
    """A command to commit; the future gets its result."""

    command: agreed.Command
    result: pykka.Future[agreed.Result]

    def fail(
        self, run_state: codes.RunState, code: codes.ResultCode = codes.ResultCode.NOT_LEADER
    ) -> None:
        """Have the future raise, saying whether the command may still take effect."""
        failure = errors.CroftpulleyError(code, run_state=run_state)
        self.result.set_exception((type(failure), failure, None))


@attrs.frozen
class _Waiting:
    term: int
    proposal: Propose


@attrs.define
class Proposals:
    """Those that gather for the next write, and those in the log that are not committed yet."""

    _gathered: list[Propose] = attrs.field(factory=list)
    _pending: dict[int, _Waiting] = attrs.field(factory=dict)

    def gather(self, proposal: Propose) -> bool:
        """Add a proposal to the next batch; tell whether it is the first of it."""
        self._gathered.append(proposal)
        return len(self._gathered) == 1

    def take_batch(self) -> list[Propose]:
        """Return what has gathered, and begin another batch."""
        batch, self._gathered = self._gathered, []
        return batch

    def proposed(self, term: int, indexes: Sequence[int], batch: Sequence[Propose]) -> None:
        """Note where in the log the proposals of a batch stand."""
        for index, proposal in zip(indexes, batch, strict=True):
            self._pending[index] = _Waiting(term, proposal)

    def take(self, index: int, term: int) -> Propose | None:
        """Return the proposal that the entry committed at an index is; ``None`` for another's.

        One of an earlier term that stood there has been replaced, and will never be committed.
        """
        waiting = self._pending.pop(index, None)
        if waiting is None:
            return None
        if waiting.term != term:
            waiting.proposal.fail(codes.RunState.NOT_RUN)
            return None
        return waiting.proposal

    def fail_pending(self) -> None:
        """Nobody knows whether these will be committed by another leader."""
        pending, self._pending = self._pending, {}
        for each in pending.values():
            each.proposal.fail(codes.RunState.UNKNOWN)
