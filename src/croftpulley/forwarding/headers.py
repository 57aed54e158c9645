"""Parses the headers of forwarded requests and selects those to pass on in each direction."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from croftpulley.core import calls, membership
from croftpulley.forwarding import base, ownership, vocabulary

_LOWEST_URGENCY = 9


def parse_call_facts(headers: Mapping[str, str], names: vocabulary.HeaderNames) -> calls.CallFacts:
    """Parse what the fleet must know of a request from its headers."""
    return calls.CallFacts(
        request_id=headers.get(names.request_id, ""),
        key=headers.get(names.key, ""),
        budget_s=calls.parse_budget_s(headers.get(names.budget_ms, "")),
        prompt=calls.parse_prompt(headers.get(names.prompt_parts, "")),
        last_event_id=headers.get(names.last_event_id, ""),
        resumes=headers.get(names.resumes, ""),
    )


@attrs.frozen(kw_only=True)
class Outgoing:
    """What the headers of one attempt tell the endpoint."""

    endpoint: membership.Endpoint
    budget_s: float
    last_event_id: str
    cache_from: str = ""
    """The address of an engine whose cache holds the part of the prompt that this one lacks."""


def to_endpoint(
    exchange: base.Exchange, outgoing: Outgoing, names: vocabulary.HeaderNames
) -> dict[str, str]:
    """Return the headers for the endpoint: the caller's own ones and those that this box sets."""
    headers = {
        name: value
        for name, value in end_to_end_headers(exchange.request).items()
        if ownership.owner(name, names) is ownership.Owner.CALLER
    }
    headers[names.budget_ms] = str(max(1, int(outgoing.budget_s * 1000)))
    headers[names.expected_incarnation] = outgoing.endpoint.incarnation
    if exchange.workspace is not None:
        headers[names.workspace] = exchange.workspace.name
    if exchange.known_route.sticky:
        headers[names.priority] = str(urgency(exchange))
    if outgoing.cache_from:
        headers[names.cache_from] = outgoing.cache_from
    if outgoing.last_event_id:
        headers[names.last_event_id] = outgoing.last_event_id
    return headers


def end_to_end_headers(request: base.ForwardRequest) -> dict[str, str]:
    """Return the end-to-end headers of a request, without those of the connection."""
    connection_options = _connection_options(request.headers.get("connection", ""))
    left_out = ownership.HOP_BY_HOP_HEADERS | connection_options
    return {name: value for name, value in request.headers.items() if name not in left_out}


def urgency(exchange: base.Exchange) -> int:
    """Return a request's urgency, from 0 (highest) to 9; the workspace's priority comes first.

    Each workspace priority has room for three route priorities; higher numbers share the last.
    """
    of_workspace = exchange.workspace.priority if exchange.workspace else 0
    of_route = min(2, exchange.known_route.priority)
    return min(_LOWEST_URGENCY, 3 * of_workspace + of_route)


def to_caller(headers: Iterable[tuple[str, str]]) -> base.Headers:
    """Return the end-to-end headers of a response; those of the connection are set anew."""
    pairs = list(headers)
    connection = ",".join(value for name, value in pairs if name.lower() == "connection")
    left_out = ownership.HOP_BY_HOP_HEADERS | _connection_options(connection)
    return tuple((name, value) for name, value in pairs if name.lower() not in left_out)


def _connection_options(value: str) -> frozenset[str]:
    """Return the names that a Connection header lists as hop-by-hop headers."""
    return frozenset(name.strip().lower() for name in value.split(",") if name.strip())
