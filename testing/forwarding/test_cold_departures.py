"""Requests to cold endpoints that are never sent free their place in the quota."""

from __future__ import annotations

import pytest

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import router_state, traffic
from croftpulley.core import calls, membership, retry_budget, selection
from croftpulley.forwarding import attempt, base, place, vocabulary

ENDPOINT = membership.Endpoint("e", membership.EndpointKind.ENGINE, "llm", "127.0.0.1:1", "h", "e")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def counts(clock):
    made = traffic.Traffic(retry_budget.Allowance(), selection.CostRates(), clock)
    clock.advance(2.0)
    return made


def test_a_request_that_times_out_before_it_is_sent_frees_its_quota(counts, clock):
    departure = counts.reserve_cold_send("e", 1)
    placed = place.PlacementDecision(endpoint=ENDPOINT, send_record=departure)
    request = base.ForwardRequest(method="GET", target="/", headers={}, body=b"", arrived_s=0.0)
    exchange = base.Exchange(
        request=request,
        facts=calls.CallFacts(request_id="r"),
        state=router_state.RouterState(),
        deadline_s=clock.monotonic_s(),
    )
    opener = attempt.AttemptOpener(
        None, counts, None, None, None, None, vocabulary.FLEET_HEADER_NAMES, clock
    )
    with pytest.raises(errors.CroftpulleyError, match="DEADLINE_PASSED"):
        opener.open(exchange, placed, "")
    clock.advance(1.2)
    assert counts.may_send_cold("e", 1)
