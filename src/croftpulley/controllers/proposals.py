"""Proposed commands that are not committed yet, and the futures of their results."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import pykka

from croftpulley import codes, errors
from croftpulley.core import replicated_state


@attrs.frozen
class Proposal:
    """A command to commit, and the future that receives its result."""

    command: replicated_state.Command
    result: pykka.Future[replicated_state.Result]

    def fail(
        self, run_state: codes.RunState, code: codes.ResultCode = codes.ResultCode.NOT_LEADER
    ) -> None:
        """Make the future raise; ``run_state`` says whether the command may still be applied."""
        failure = errors.CroftpulleyError(code, run_state=run_state)
        self.result.set_exception((type(failure), failure, None))


@attrs.frozen
class _PendingProposal:
    term: int
    proposal: Proposal


@attrs.define
class ProposalTracker:
    """Proposals queued for the next batch, and those in the log that are not committed yet."""

    _queued: list[Proposal] = attrs.field(factory=list)
    _pending: dict[int, _PendingProposal] = attrs.field(factory=dict)

    def enqueue(self, proposal: Proposal) -> bool:
        """Add a proposal to the next batch; return whether it is the first in the batch."""
        self._queued.append(proposal)
        return len(self._queued) == 1

    def take_batch(self) -> list[Proposal]:
        """Return the queued proposals and start a new batch."""
        batch, self._queued = self._queued, []
        return batch

    def mark_appended(self, term: int, indexes: Sequence[int], batch: Sequence[Proposal]) -> None:
        """Record the log indexes of the proposals of a batch, which were appended in ``term``."""
        for index, proposal in zip(indexes, batch, strict=True):
            self._pending[index] = _PendingProposal(term, proposal)

    def pop_committed(self, index: int, term: int) -> Proposal | None:
        """Remove and return the proposal committed at ``index``; ``None`` if not proposed here.

        A proposal of another term at that index was overwritten and can't be committed any more;
        its future fails with NOT_RUN.
        """
        pending = self._pending.pop(index, None)
        if pending is None:
            return None
        if pending.term != term:
            pending.proposal.fail(codes.RunState.NOT_RUN)
            return None
        return pending.proposal

    def fail_pending(self) -> None:
        """Fail the appended proposals with run state UNKNOWN: another leader may commit them."""
        pending, self._pending = self._pending, {}
        for each in pending.values():
            each.proposal.fail(codes.RunState.UNKNOWN)
