"""The application for operators of a control box: submissions over health, metrics and status."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import orjson

from croftpulley import codes, errors
from croftpulley.controllers import directory
from croftpulley.core import submissions
from croftpulley.http import health_app, tokens, wsgi
from croftpulley.interfaces import base
from croftpulley.settings import decoding

_SUBMISSIONS = "/v1/config/submissions"


class ControlApp:
    """Submissions of the configuration, over the health application."""

    def __init__(
        self,
        health: health_app.HealthApp,
        token: tokens.TokenCheck,
        submit: Callable[[submissions.Submission], submissions.SubmissionAnswer],
        read: Callable[[], submissions.ConfigurationRegister],
        waiting_for: Callable[[int], tuple[str, ...]],
        status: Callable[[], directory.StatusAnswer],
    ) -> None:
        self._health = health
        self._token = token
        self._submit = submit
        self._read = read
        self._waiting_for = waiting_for
        self._status = status

    def handle(self, request: wsgi.Request) -> wsgi.Response:
        """Answer one request; all but health and metrics need the token."""
        if not request.path.startswith("/v1/"):
            return self._health.handle(request)
        self._token.check(request)
        if request.path == _SUBMISSIONS and request.method == "POST":
            return self._take_submission(request)
        wsgi.require_method(request, "GET")
        if request.path == _SUBMISSIONS:
            return self._history()
        if request.path.startswith(f"{_SUBMISSIONS}/"):
            return self._submission(request.path.removeprefix(f"{_SUBMISSIONS}/"))
        if request.path == "/v1/config":
            return self._current()
        if request.path == "/v1/status":
            return self._fleet_status()
        raise errors.CroftpulleyError(codes.ResultCode.NOT_FOUND, f"got path {request.path!r}")

    def _take_submission(self, request: wsgi.Request) -> wsgi.Response:
        submission = decoding.decode(_parse_submission, request.body)
        answer = self._submit(submission)
        if answer.code is not codes.ResultCode.OK:
            raise errors.CroftpulleyError(
                answer.code,
                f"number {submission.number} belongs to operator {answer.winner.operator!r},"
                f" version {answer.winner.version}",
            )
        return self._described(answer.winner)

    def _submission(self, number: str) -> wsgi.Response:
        accepted = self._read().find(int(number)) if number.isdecimal() else None
        if accepted is None:
            raise errors.CroftpulleyError(
                codes.ResultCode.NOT_FOUND, f"no submission has number {number!r}"
            )
        return self._described(accepted)

    def _described(self, accepted: submissions.AcceptedSubmission) -> wsgi.Response:
        """Describe a submission; it is in force once no box is waited for."""
        waiting_for = self._waiting_for(accepted.version)
        document = {
            **attrs.asdict(accepted),
            "in_force": not waiting_for,
            "waiting_for": list(waiting_for),
        }
        return wsgi.json_response(document, 202 if waiting_for else 200)

    def _history(self) -> wsgi.Response:
        accepted = self._read().history()
        return wsgi.json_response({"submissions": [attrs.asdict(each) for each in accepted]})

    def _current(self) -> wsgi.Response:
        known = self._read().held
        document = {"version": known.version, "document": orjson.Fragment(known.document_json)}
        return wsgi.json_response(document)

    def _fleet_status(self) -> wsgi.Response:
        answer = self._status()
        document = {
            "configuration_version": self._read().held.version,
            "boxes": [
                {
                    **attrs.asdict(box),
                    "configuration_version": answer.configuration_versions.get(box.name, 0),
                }
                for box in answer.directory.boxes
            ],
            "engines": [
                {"name": each.name, "pool": each.pool, "leaving": each.leaving}
                for each in answer.directory.engines
            ],
            "owners": [attrs.asdict(each) for each in answer.directory.owners],
        }
        return wsgi.json_response(document)


def _parse_submission(body: bytes) -> submissions.Submission:
    """Read a submission; its document is checked before it may enter the log."""
    try:
        fields = orjson.loads(body)
        operator, number, document = fields["operator"], fields["number"], fields["document"]
    except (ValueError, KeyError, TypeError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST,
            'expected a JSON object with "operator", "number" and "document"',
        ) from failure
    if not isinstance(operator, str) or not operator or type(number) is not int or number < 1:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST,
            f"got operator {errors.shown(operator)} and number {errors.shown(number)}, "
            "expected a name and a number from 1",
        )
    document_json = base.document_json(document, orjson.OPT_SORT_KEYS)
    base.NativeFormat().parse(document_json)
    return submissions.Submission(operator, number, document_json)
