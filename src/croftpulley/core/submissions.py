"""Operators' submissions of the configuration: numbered, remembered, never reverted by a resend."""

from __future__ import annotations

import abc
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


@attrs.frozen
class Held:
    """A document and its version, in one value: whoever reads while another is applied gets both
    of the same submission.
    """

    version: int = 0
    document_json: str = "{}"


@attrs.define
class Register(abc.ABC):
    """The current document, and the rule by which a submission becomes it."""

    held: Held = Held()

    @abc.abstractmethod
    def submit(self, submission: Submission) -> SubmissionAnswer:
        """Apply a submission, or find what is to be answered without a change."""

    @abc.abstractmethod
    def history(self) -> tuple[Accepted, ...]:
        """Return the accepted submissions that are remembered, oldest first."""

    def find(self, number: int) -> Accepted | None:
        """Return the remembered submission with this number."""
        return next((each for each in self.history() if each.number == number), None)


@attrs.define
class Submissions(Register):
    """A number belongs to the first submission that used it; versions count the accepted ones."""

    by_number: dict[int, Accepted] = attrs.field(factory=dict)

    def submit(self, submission: Submission) -> SubmissionAnswer:
        """Apply a submission, or find what was answered to it before.

        The same operator with the same content gets the first answer again, however late;
        anything else under a number that was used is a conflict and changes nothing.
        """
        winner = self.by_number.get(submission.number)
        if winner is None:
            return SubmissionAnswer(codes.ResultCode.OK, self._accept(submission))
        same = (winner.operator, winner.digest) == (submission.operator, submission.digest)
        code = codes.ResultCode.OK if same else codes.ResultCode.SUBMISSION_CONFLICT
        return SubmissionAnswer(code, winner)

    def history(self) -> tuple[Accepted, ...]:
        """Return all accepted submissions."""
        return tuple(self.by_number.values())

    def find(self, number: int) -> Accepted | None:
        """Return the submission that holds this number."""
        return self.by_number.get(number)

    def _accept(self, submission: Submission) -> Accepted:
        version = self.held.version + 1
        self.held = Held(version, submission.document_json)
        accepted = Accepted(submission.operator, submission.number, submission.digest, version)
        self.by_number[submission.number] = accepted
        return accepted


@attrs.define
class HighestNumber(Register):
    """The submission with the highest number holds, and its number is the version.

    A number that is not above it is acknowledged and changes nothing: it was overtaken, or is a
    resend whose first answer was lost. Of two with an equal number the first holds.
    """

    current: Accepted = Accepted("", 0, "", 0)

    def submit(self, submission: Submission) -> SubmissionAnswer:
        """Apply a submission if its number is the highest so far."""
        if submission.number > self.held.version:
            self.held = Held(submission.number, submission.document_json)
            self.current = Accepted(
                submission.operator, submission.number, submission.digest, submission.number
            )
        return SubmissionAnswer(codes.ResultCode.OK, self.current)

    def history(self) -> tuple[Accepted, ...]:
        """Return the one that holds; the others are not remembered."""
        return (self.current,) if self.held.version else ()
