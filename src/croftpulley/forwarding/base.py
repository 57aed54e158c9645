"""What passes along the chain of a forwarded request."""

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
    """A request as it came.

    Header names are in lower case; ``target`` is the path and query as they were sent.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    arrived_s: float
    caller_gone: Callable[[], bool] = lambda: False

    @property
    def host(self) -> str:
        """The host that the caller named."""
        return self.headers.get("host", "")

    @property
    def path(self) -> str:
        """The path without the query, as sent."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class Hop:
    """What a box that hands a request over says of it."""

    box: str
    configuration_version: int


@attrs.define(kw_only=True, slots=False)
class Exchange:
    """One request on its way; the steps fill it in.

    ``at_end`` holds what must happen when the reply's body has ended, however it ended. ``arm`` is
    the name of the operators' arm that the request falls to, empty if there are none. ``repeat`` is
    what the shared budget last said to sending this request once more. ``trial`` is the name of the
    trial that the request is on, empty if it is on none, and ``tried_features`` what is tried.
    ``hop`` is there if another box has handed the request over.
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
        """The route, for the steps after the one that finds it."""
        if self.route is None:
            raise RuntimeError("the request has no route yet")
        return self.route

    @property
    def pool(self) -> str:
        """The pool that the request goes to, for the steps after the one that finds its route."""
        if self.origin is not None:
            return self.origin.pool
        return tables.pool_for(self.known_route, self.stream.request_id)

    @property
    def takes_up(self) -> bool:
        """Tell whether it takes a stream up that an earlier request began."""
        return self.known_route.is_resumable_stream and bool(self.facts.last_event_id)

    @property
    def stream(self) -> origins.StreamId:
        """The stream that it begins or takes up."""
        resumes = self.facts.resumes if self.takes_up else ""
        return origins.StreamId(self.workspace_name, resumes or self.facts.request_id)

    @property
    def version(self) -> str | None:
        """The version of endpoints that may be asked, ``None``: any."""
        return self.origin.version if self.origin is not None else None

    @property
    def home_regions(self) -> frozenset[str] | None:
        """Where it may run, by its route and its workspace; ``None``: anywhere."""
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
        """What names the request when it comes again; for the steps after the one that finds whose
        it is.
        """
        request = self.request
        return fingerprints.fingerprint(
            self.workspace_name, request.method, request.host, request.target, request.body
        )

    @functools.cached_property
    def part_features(self) -> tuple[str, ...]:
        """The features that the shared parts of its prompt are, each once."""
        return tuple(
            dict.fromkeys(
                fingerprints.part_feature(each.part_id) for each in self.facts.shared_prefix
            )
        )

    def end_if_over(self, failure: errors.CroftpulleyError) -> None:
        """Raise ``failure`` if no further attempt can help."""
        if self.token.reason is not None:
            raise failure


@attrs.frozen
class ForwardReply:
    """An endpoint's answer for the caller; whoever reads it must end the exchange's ``at_end``."""

    status: int
    headers: Headers
    body: bytes | Iterator[bytes]


Proceed = Callable[[Exchange], ForwardReply]


class ForwardFilter(steps.Step[Exchange, ForwardReply]):
    """One step of the chain of forwarded requests."""
