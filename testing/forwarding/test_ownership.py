"""Which headers are forwarded to endpoints, with the fleet's own names and the platform's."""

from __future__ import annotations

import pytest

from croftpulley.controllers import router_state
from croftpulley.core import calls, membership
from croftpulley.forwarding import base, headers, ownership, vocabulary
from croftpulley.platform import names
from croftpulley.settings import fleet

ENDPOINT = membership.Endpoint(
    "e", membership.EndpointKind.ENGINE, "p", "a:1", "h", "this-incarnation"
)
ROUTE = fleet.Route(
    name="chat",
    host="h",
    path_prefix="/",
    kind=fleet.RouteKind.STREAM,
    shares=(fleet.Share(pool="p"),),
    time_limit_ms=1000.0,
    sticky=True,
)
HEADER_NAMES = [vocabulary.FLEET_HEADER_NAMES, names.VOCABULARY]
CALLER_VALUE = "what-the-caller-sent"


def forwarded_headers(given, header_names):
    request = base.ForwardRequest(
        method="POST", target="/x", headers=given, body=b"", arrived_s=0.0
    )
    exchange = base.Exchange(
        request=request,
        facts=calls.CallFacts(request_id="r"),
        state=router_state.RouterState(),
        route=ROUTE,
    )
    outgoing = headers.Outgoing(endpoint=ENDPOINT, budget_s=1.0, last_event_id="")
    return headers.to_endpoint(exchange, outgoing, header_names)


@pytest.mark.parametrize("header_names", HEADER_NAMES, ids=["own", "platform"])
def test_fleet_and_hop_by_hop_headers_from_caller_are_not_forwarded(header_names):
    given = dict.fromkeys(ownership.owners(header_names), CALLER_VALUE)
    assert CALLER_VALUE not in forwarded_headers(given, header_names).values()


@pytest.mark.parametrize("header_names", HEADER_NAMES, ids=["own", "platform"])
def test_callers_own_headers_are_forwarded(header_names):
    given = {header_names.request_id: "r", header_names.prompt_parts: "a:1", "x-anything": "y"}
    sent = forwarded_headers(given, header_names)
    assert given.items() <= sent.items()
    assert sent[header_names.expected_incarnation] == "this-incarnation"
