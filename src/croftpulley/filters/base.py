"""What a filter is, and what passes along the chain."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator, Mapping

import attrs

from croftpulley import cancel, codes, errors, steps
from croftpulley.core import attempts, membership
from croftpulley.endpoints import base as endpoints
from croftpulley.settings import fleet


@attrs.frozen(kw_only=True)
class ServiceCall:
    """A call to a plain service, as the path names it."""

    service: str
    call: str


@attrs.frozen(kw_only=True)
class ChatCall:
    """A chat completion, as the body asks for it.

    ``chat_key`` is what the chat's turns have in common.
    """

    model: str
    pool: str
    stream: bool
    include_usage: bool
    chat_key: str


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as it came over HTTP; header names are in lower case."""

    request_id: str
    headers: Mapping[str, str]
    content_type: str
    body: bytes
    arrived_s: float
    service_call: ServiceCall | None = None
    caller_gone: Callable[[], bool] = lambda: False

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is not there."""
        return self.headers.get(name, "")


@attrs.define(kw_only=True)
class Exchange:
    """One request on its way through the chain; filters fill it in.

    ``at_end`` holds what must happen when the reply's body has ended, however it ended.
    """

    request: CallerRequest
    configuration: fleet.FleetConfiguration
    directory: membership.Directory
    workspace: fleet.Workspace | None = None
    request_class: fleet.RequestClass | None = None
    chat: ChatCall | None = None
    service: fleet.Service | None = None
    deadline_s: float = float("inf")
    candidates: list[membership.Endpoint] = attrs.field(factory=list)
    failed_engines: set[str] = attrs.field(factory=set)
    token: cancel.CancelToken = attrs.field(factory=cancel.CancelToken)
    attempts: attempts.AttemptLog = attrs.field(factory=attempts.AttemptLog)
    answer_so_far: str = ""
    at_end: contextlib.ExitStack = attrs.field(factory=contextlib.ExitStack)

    def end_if_over(self, failure: errors.CroftpulleyError) -> None:
        """Raise ``failure`` if no further attempt can help.

        The owner of an engine watches the same deadline and may be the first to say so.
        """
        if failure.code is codes.ResultCode.DEADLINE_PASSED:
            self.token.cancel(failure.code)
        if self.token.reason is not None:
            raise failure

    @property
    def untried(self) -> list[membership.Endpoint]:
        """The candidates at which no attempt has failed yet, preferred first."""
        return [each for each in self.candidates if each.name not in self.failed_engines]

    @property
    def workspace_name(self) -> str:
        """The workspace's name, empty before it is known."""
        return self.workspace.name if self.workspace else ""

    @property
    def class_name(self) -> str:
        """The class's name, empty before it is known."""
        return self.request_class.name if self.request_class else ""


@attrs.frozen
class WholeReply:
    """A reply whose body is known."""

    http_status: int
    content_type: str
    body: bytes


@attrs.frozen
class TextPart:
    """Text of an answer that is now next."""

    text: str


@attrs.frozen
class EndPart:
    """The end of an answer, with the counts of the attempt that finished it."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@attrs.frozen
class AnswerReply:
    """A chat's answer as it arrives; whoever reads it must end the exchange's ``at_end``."""

    parts: Iterator[TextPart | EndPart]


@attrs.frozen
class AttemptReply:
    """What the dispatch filter gives the relay filter: one attempt that was accepted."""

    attempt: attempts.Attempt
    stream: endpoints.EngineStream
    path: str


Reply = WholeReply | AnswerReply | AttemptReply
Proceed = Callable[[Exchange], Reply]


class Filter(steps.Step[Exchange, Reply]):
    """One step of the chains for chats and services."""
