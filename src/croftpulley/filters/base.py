"""The filter base class, and the requests and replies that filters pass along the chain."""

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
    """The service and the call that the request's path names."""

    service: str
    call: str


@attrs.frozen(kw_only=True)
class ChatCall:
    """A chat completion request, parsed from the body.

    ``chat_key`` is the same for all turns of a chat.
    """

    model: str
    pool: str
    stream: bool
    include_usage: bool
    chat_key: str


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's HTTP request; header names are in lower case.

    ``arrived_s`` is a time of the monotonic clock; ``caller_gone`` tells whether the caller has
    disconnected.
    """

    request_id: str
    headers: Mapping[str, str]
    content_type: str
    body: bytes
    arrived_s: float
    service_call: ServiceCall | None = None
    caller_gone: Callable[[], bool] = lambda: False

    def header(self, name: str) -> str:
        """Return a header's value, empty if the header is absent."""
        return self.headers.get(name, "")


@attrs.define(kw_only=True)
class Exchange:
    """The state of one request in the chain; filters fill it in.

    ``at_end`` holds callbacks to run when the reply's body ends, also after a failure.
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

    def raise_if_final(self, failure: errors.CroftpulleyError) -> None:
        """Raise ``failure`` if the request is cancelled or its deadline has passed.

        The owner of an engine watches the same deadline and may report it before this box does;
        then the request is cancelled here.
        """
        if failure.code is codes.ResultCode.DEADLINE_PASSED:
            self.token.cancel(failure.code)
        if self.token.reason is not None:
            raise failure

    @property
    def untried(self) -> list[membership.Endpoint]:
        """The candidates without a failed attempt, preferred first."""
        return [each for each in self.candidates if each.name not in self.failed_engines]

    @property
    def workspace_name(self) -> str:
        """The workspace's name, empty before the request is identified."""
        return self.workspace.name if self.workspace else ""

    @property
    def class_name(self) -> str:
        """The request class's name, empty before the request is identified."""
        return self.request_class.name if self.request_class else ""


@attrs.frozen
class CompleteReply:
    """A reply whose body is complete before it is sent."""

    http_status: int
    content_type: str
    body: bytes


@attrs.frozen
class TextPart:
    """The next text of a response."""

    text: str


@attrs.frozen
class EndPart:
    """The end of a response, with the token counts of the attempt that finished it."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@attrs.frozen
class StreamedReply:
    """A chat's response as it arrives; its reader must close the exchange's ``at_end``."""

    parts: Iterator[TextPart | EndPart]


@attrs.frozen
class AttemptReply:
    """An accepted attempt, returned by the dispatch filter to the relay filter.

    ``path`` is the metric label: direct or forwarded to the owner.
    """

    attempt: attempts.Attempt
    stream: endpoints.EngineStream
    path: str


Reply = CompleteReply | StreamedReply | AttemptReply
Proceed = Callable[[Exchange], Reply]


class Filter(steps.Step[Exchange, Reply]):
    """A step of the filter chains for chats and services."""
