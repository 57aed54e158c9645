"""Operators' configuration submissions, numbered so that a resend never reverts a newer one."""

from __future__ import annotations

import abc
import hashlib

import attrs

from croftpulley import codes


@attrs.frozen
class Submission:
    """A configuration and its number; operators choose numbers and may collide."""

    operator: str
    number: int
    document_json: str

    @property
    def digest(self) -> str:
        """SHA-256 of the content, which identifies a resend of the same submission."""
        return hashlib.sha256(self.document_json.encode()).hexdigest()


@attrs.frozen
class AcceptedSubmission:
    """The record of an accepted submission."""

    operator: str
    number: int
    digest: str
    version: int


@attrs.frozen
class SubmissionAnswer:
    """``code`` is OK or SUBMISSION_CONFLICT; ``winner`` is the submission that is in effect for the
    number, or the current one (`HighestNumber`).
    """

    code: codes.ResultCode
    winner: AcceptedSubmission


@attrs.frozen
class VersionedDocument:
    """A document and its version in one immutable value.

    So a thread that reads while a submission is applied gets both of the same submission.
    """

    version: int = 0
    document_json: str = "{}"


@attrs.define
class ConfigurationRegister(abc.ABC):
    """The current document, and the rule that decides which submissions replace it."""

    held: VersionedDocument = VersionedDocument()

    @abc.abstractmethod
    def submit(self, submission: Submission) -> SubmissionAnswer:
        """Apply a submission if the rule accepts it, and return the answer."""

    @abc.abstractmethod
    def history(self) -> tuple[AcceptedSubmission, ...]:
        """Return the recorded submissions, oldest first."""

    def find(self, number: int) -> AcceptedSubmission | None:
        """Return the recorded submission with this number, or ``None``."""
        return next((each for each in self.history() if each.number == number), None)


@attrs.define
class Submissions(ConfigurationRegister):
    """The first submission with a number gets it; the version counts accepted submissions."""

    by_number: dict[int, AcceptedSubmission] = attrs.field(factory=dict)

    def submit(self, submission: Submission) -> SubmissionAnswer:
        """Apply a submission, or repeat the earlier answer.

        The same operator with the same content gets the first answer again, however late; any other
        submission with a used number is a conflict and changes nothing.
        """
        winner = self.by_number.get(submission.number)
        if winner is None:
            return SubmissionAnswer(codes.ResultCode.OK, self._accept(submission))
        same = (winner.operator, winner.digest) == (submission.operator, submission.digest)
        code = codes.ResultCode.OK if same else codes.ResultCode.SUBMISSION_CONFLICT
        return SubmissionAnswer(code, winner)

    def history(self) -> tuple[AcceptedSubmission, ...]:
        """Return all accepted submissions."""
        return tuple(self.by_number.values())

    def find(self, number: int) -> AcceptedSubmission | None:
        """Return the accepted submission with this number, or ``None``."""
        return self.by_number.get(number)

    def _accept(self, submission: Submission) -> AcceptedSubmission:
        version = self.held.version + 1
        self.held = VersionedDocument(version, submission.document_json)
        accepted = AcceptedSubmission(
            submission.operator, submission.number, submission.digest, version
        )
        self.by_number[submission.number] = accepted
        return accepted


@attrs.define
class HighestNumber(ConfigurationRegister):
    """The submission with the highest number is current, and its number is the version.

    A submission with a lower or equal number is acknowledged and changes nothing: a newer one has
    replaced it, or it is a resend whose first answer was lost. Of two with equal numbers the first
    wins.
    """

    current: AcceptedSubmission = AcceptedSubmission("", 0, "", 0)

    def submit(self, submission: Submission) -> SubmissionAnswer:
        """Apply a submission if its number is the highest so far; the code is always OK."""
        if submission.number > self.held.version:
            self.held = VersionedDocument(submission.number, submission.document_json)
            self.current = AcceptedSubmission(
                submission.operator, submission.number, submission.digest, submission.number
            )
        return SubmissionAnswer(codes.ResultCode.OK, self.current)

    def history(self) -> tuple[AcceptedSubmission, ...]:
        """Return the current submission, if any; earlier ones are not kept."""
        return (self.current,) if self.held.version else ()
