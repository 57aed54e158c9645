"""Operators' submissions of the configuration: numbered, remembered, never reverted by a resend."""

from __future__ import annotations

import hashlib

import attrs

from croftpulley import codes


@attrs.frozen
class Submission:
    """What an operator sends; the operator numbers submissions, racing ones may share a number."""

    operator: str
    number: int
    document_json: str

    @property
    def digest(self) -> str:
        """Stands for the content when a resend is compared with the first."""
        return hashlib.sha256(self.document_json.encode()).hexdigest()


@attrs.frozen
class Accepted:
    """The remembered answer to a submission."""

    operator: str
    number: int
    digest: str
    version: int


@attrs.frozen
class SubmissionAnswer:
    """``code`` OK or SUBMISSION_CONFLICT; ``winner`` is what holds the number."""

    code: codes.ResultCode
    winner: Accepted
    first_time: bool


@attrs.define
class Submissions:
    """All accepted submissions by number, and the current document."""

    by_number: dict[int, Accepted] = attrs.field(factory=dict)
    version: int = 0
    document_json: str = "{}"

    def submit(self, submission: Submission) -> SubmissionAnswer:
        """Apply a submission, or find what was answered to it before.

        A number belongs to the first that used it. The same operator with the same content gets
        the first answer again, however late; anything else is a conflict and changes nothing.
        """
        winner = self.by_number.get(submission.number)
        if winner is None:
            return SubmissionAnswer(codes.ResultCode.OK, self._accept(submission), True)
        same = (winner.operator, winner.digest) == (submission.operator, submission.digest)
        code = codes.ResultCode.OK if same else codes.ResultCode.SUBMISSION_CONFLICT
        return SubmissionAnswer(code, winner, False)

    def _accept(self, submission: Submission) -> Accepted:
        self.version += 1
        self.document_json = submission.document_json
        accepted = Accepted(submission.operator, submission.number, submission.digest, self.version)
        self.by_number[submission.number] = accepted
        return accepted
