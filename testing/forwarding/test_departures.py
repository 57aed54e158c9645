"""The check between the choice of an endpoint and the first byte of a request."""

from __future__ import annotations

import attrs
import pytest

from croftpulley import clock as clocks
from croftpulley.controllers import actors, router_state, traffic
from croftpulley.core import (
    calls,
    halls,
    membership,
    retry_budget,
    selection,
    send_quotas,
    withdrawal,
)
from croftpulley.core import tables as core_tables
from croftpulley.forwarding import base, departures, place, service
from croftpulley.observe import metrics
from croftpulley.settings import fleet

ENDPOINT = membership.Endpoint("e", membership.EndpointKind.WORKER, "desk", "127.0.0.1:1", "h", "e")
PLACED = place.PlacementDecision(endpoint=ENDPOINT)
ROUTE = fleet.Route(
    name="r",
    host="x",
    path_prefix="/",
    kind=fleet.RouteKind.ONCE,
    shares=(fleet.Share(pool="desk", weight=1),),
    time_limit_ms=1.0,
)
COLD_PER_S = 3


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def counts(clock):
    made = traffic.Traffic(retry_budget.Allowance(), selection.CostRates(), clock)
    clock.advance(2.0)
    return made


@pytest.fixture
def view():
    pools = (fleet.Pool(name="desk", cold_per_s=COLD_PER_S),)
    configuration = fleet.FleetConfiguration(version=1, pools=pools, routes=(ROUTE,))
    tables = core_tables.LookupTables(configuration)
    return actors.View(router_state.RouterState(tables=tables, endpoints=(ENDPOINT,)))


@pytest.fixture
def send(view, counts, clock):
    """Return a function that does what a sender does just before the first byte."""
    pre_send_check = departures.PreSendCheck(
        view, counts, service.MemberCache(halls.HallRegions({})), metrics.Metrics(), clock
    )

    def look(placed=PLACED, repeat=None):
        request = base.ForwardRequest(method="GET", target="/", headers={}, body=b"", arrived_s=0.0)
        exchange = base.Exchange(
            request=request, facts=calls.CallFacts(request_id="r"), state=view.get(), route=ROUTE
        )
        pre_send_check.send_callback(exchange, placed, repeat)()

    return look


def change_state(view, **changes):
    view.publish(attrs.evolve(view.get(), **changes))


def block_reason(send, placed=PLACED):
    with pytest.raises(departures.HeldBackError) as caught:
        send(placed)
    return caught.value.reason


def test_a_request_is_sent_to_an_endpoint_in_service(send):
    send()


def test_no_request_is_sent_until_a_rest_that_began_meanwhile_is_over(send, counts, clock):
    counts.apply_notice("e", withdrawal.Notice(rest_s=3.0))
    clock.advance(2.9)
    assert block_reason(send) is service.BlockReason.WITHDRAWN
    clock.advance(0.1)
    send()


def test_no_request_is_sent_to_an_endpoint_that_announced_its_shutdown(send, counts):
    counts.apply_notice("e", withdrawal.Notice(leaves=True))
    assert block_reason(send) is service.BlockReason.WITHDRAWN


@pytest.mark.parametrize(
    ("changes", "bar"),
    [
        ({"endpoints": (attrs.evolve(ENDPOINT, leaving=True),)}, service.BlockReason.LEAVING),
        ({"endpoints": ()}, service.BlockReason.UNLISTED),
        ({"evacuated": halls.EvacuatedHalls(1, ("h",))}, service.BlockReason.EVACUATED),
    ],
)
def test_no_request_is_sent_after_a_change_of_the_list_or_an_evacuation(send, view, changes, bar):
    change_state(view, **changes)
    assert block_reason(send) is bar


def test_an_endpoint_that_turned_cold_gets_only_requests_counted_in_its_quota(
    send, view, counts, clock
):
    change_state(view, cold={"e": COLD_PER_S}, cold_at_s=clock.monotonic_s())
    assert block_reason(send) is service.BlockReason.COLD
    send(attrs.evolve(PLACED, send_record=counts.reserve_cold_send("e", COLD_PER_S)))


def test_a_request_to_a_cold_endpoint_is_held_back_once_its_quota_has_expired(
    send, view, counts, clock
):
    change_state(view, cold={"e": COLD_PER_S}, cold_at_s=clock.monotonic_s())
    placed = attrs.evolve(PLACED, send_record=counts.reserve_cold_send("e", COLD_PER_S))
    clock.advance(send_quotas.QUOTA_TTL_S)
    assert block_reason(send, placed) is service.BlockReason.COLD


def test_a_repeat_that_is_held_back_does_not_count_as_sent(send, counts, clock):
    repeat = retry_budget.Repeat(at_s=1.0)
    counts.apply_notice("e", withdrawal.Notice(rest_s=3.0))
    with pytest.raises(departures.HeldBackError):
        send(repeat=repeat)
    assert repeat.at_s == 1.0
