"""The data types of the filter chain for forwarded requests."""

from __future__ import annotations

import contextlib
import functools
from collections.abc import Callable, Iterator, Mapping

import attrs

from croftpulley import cancel, errors, steps
from croftpulley.controllers import router_state
from croftpulley.core import (
    attempts,
    calls,
    fingerprints,
    halls,
    origins,
    retry_budget,
    tables,
)
from croftpulley.settings import fleet

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class ForwardRequest:
    """A request as received.

    Header names are in lower case; ``target`` is the path and query as sent. ``caller_gone`` tells
    whether the caller has disconnected.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    arrived_s: float
    caller_gone: Callable[[], bool] = lambda: False

    @property
    def host(self) -> str:
        """The Host header, empty if there is none."""
        return self.headers.get("host", "")

    @property
    def path(self) -> str:
        """The path without the query, as sent."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class Hop:
    """What the box that forwarded a request to this one says about it."""

    box: str
    configuration_version: int


@attrs.define(kw_only=True, slots=False)
class Exchange:
    """The state of one request in the chain; the steps fill it in.

    ``at_end`` holds callbacks for when the reply's body has ended, however it ended. ``arm`` names
    the operators' experiment arm that the request is assigned to, empty if there are none.
    ``repeat`` is the shared retry budget's last decision on this request. ``trial`` names the trial
    that the request is sent as, empty if it is none, and ``tried_features`` are the suspected
    features under trial. ``hop`` is set if another box forwarded the request to this one.
    """

    request: ForwardRequest
    facts: calls.CallFacts
    state: router_state.RouterState
    route: fleet.Route | None = None
    workspace: fleet.Workspace | None = None
    arm: str = ""
    deadline_s: float = float("inf")
    token: cancel.CancelToken = attrs.field(factory=cancel.CancelToken)
    attempts: attempts.AttemptLog = attrs.field(factory=attempts.AttemptLog)
    repeat: retry_budget.Decision | None = None
    hop: Hop | None = None
    origin: origins.Origin | None = None
    trial: str = ""
    tried_features: tuple[str, ...] = ()
    attempts_before_trial: int = 0
    at_end: contextlib.ExitStack = attrs.field(factory=contextlib.ExitStack)

    @property
    def known_route(self) -> fleet.Route:
        """The route; raises `RuntimeError` before the step that finds it has run."""
        if self.route is None:
            raise RuntimeError("the request has no route yet")
        return self.route

    @property
    def pool(self) -> str:
        """The pool that serves the request; raises `RuntimeError` before its route is known."""
        if self.origin is not None:
            return self.origin.pool
        return tables.pool_for(self.known_route, self.stream_id.request_id)

    @property
    def resumes_stream(self) -> bool:
        """Tell whether it resumes a stream that an earlier request began."""
        return self.known_route.is_resumable_stream and bool(self.facts.last_event_id)

    @property
    def stream_id(self) -> origins.StreamId:
        """The stream that it begins or resumes."""
        resumes = self.facts.resumes if self.resumes_stream else ""
        return origins.StreamId(self.workspace_name, resumes or self.facts.request_id)

    @property
    def required_version(self) -> str | None:
        """The software version that endpoints must have, ``None`` for any."""
        return self.origin.version if self.origin is not None else None

    @property
    def home_regions(self) -> frozenset[str] | None:
        """The regions in which its route and workspace let it run, ``None`` for any."""
        of_workspace = self.workspace.home_regions if self.workspace else ()
        return halls.allowed_regions(self.known_route.home_regions, of_workspace)

    @property
    def workspace_name(self) -> str:
        """The workspace's name, empty if there is none."""
        return self.workspace.name if self.workspace else ""

    @property
    def route_name(self) -> str:
        """The route's name, empty before it is known."""
        return self.route.name if self.route else ""

    @functools.cached_property
    def fingerprint(self) -> str:
        """Identifies the request when it is sent again; valid once its workspace is known."""
        request = self.request
        return fingerprints.fingerprint(
            self.workspace_name, request.method, request.host, request.target, request.body
        )

    @functools.cached_property
    def part_features(self) -> tuple[str, ...]:
        """The features of the shared parts of its prompt, without duplicates."""
        return tuple(
            dict.fromkeys(
                fingerprints.part_feature(each.part_id) for each in self.facts.shared_prefix
            )
        )

    def end_if_over(self, failure: errors.CroftpulleyError) -> None:
        """Raise ``failure`` if the request is cancelled or its deadline has passed."""
        if self.token.reason is not None:
            raise failure


@attrs.frozen
class ForwardReply:
    """The response for the caller; whoever reads its body must close the exchange's ``at_end``."""

    status: int
    headers: Headers
    body: bytes | Iterator[bytes]


Proceed = Callable[[Exchange], ForwardReply]


class ForwardFilter(steps.Step[Exchange, ForwardReply]):
    """One step of the filter chain for forwarded requests."""
