"""Whose each header is, in the fleet's own words and in the platform's."""

from __future__ import annotations

import pytest

from croftpulley.controllers import router_state
from croftpulley.core import calls, membership
from croftpulley.forwarding import base, headers, ownership, vocabulary
from croftpulley.platform import names
from croftpulley.settings import fleet

ENDPOINT = membership.Endpoint("e", membership.EndpointKind.ENGINE, "p", "a:1", "h", "this-life")
ROUTE = fleet.Route(
    name="chat",
    host="h",
    path_prefix="/",
    kind=fleet.RouteKind.STREAM,
    shares=(fleet.Share(pool="p"),),
    time_limit_ms=1000.0,
    sticky=True,
)
VOCABULARIES = [vocabulary.OWN, names.VOCABULARY]
CLAIMED = "what-the-caller-sent"


def passed_on(given, spoken):
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
    return headers.to_endpoint(exchange, outgoing, spoken)


@pytest.mark.parametrize("spoken", VOCABULARIES, ids=["own", "platform"])
def test_nothing_of_the_fleet_or_of_one_connection_comes_from_the_caller(spoken):
    given = dict.fromkeys(ownership.owners(spoken), CLAIMED)
    assert CLAIMED not in passed_on(given, spoken).values()


@pytest.mark.parametrize("spoken", VOCABULARIES, ids=["own", "platform"])
def test_the_callers_own_headers_are_passed_on(spoken):
    given = {spoken.request_id: "r", spoken.prompt_parts: "a:1", "x-anything": "y"}
    sent = passed_on(given, spoken)
    assert given.items() <= sent.items()
    assert sent[spoken.expected_incarnation] == "this-life"
