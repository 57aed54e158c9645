"""Endpoints that restart under the same id, and endpoint lists with malformed entries."""

from __future__ import annotations

import attrs
import orjson
import pytest

from conftest import wait_until
from croftpulley.fakes import faults
from croftpulley.platform import names, stand_ins

NAMES = names.VOCABULARY
PROMPT = {NAMES.prompt_parts: "first:900,rest:600,own:10"}


@pytest.fixture
def site(make_site):
    return make_site(workers=1, engines=1)


@pytest.fixture
def list_with_start_ms(site):
    """Return a function that has the platform list all endpoints with a start time."""

    def change(born_ms):
        listed = site.instances.listed
        site.instances.listed = tuple(attrs.evolve(each, born_ms=born_ms) for each in listed)
        wait_until(
            lambda: listed_incarnations(site) == {born_ms},
            "the router knows the listed incarnations",
        )

    return change


def listed_incarnations(site):
    (router,) = site.routers
    return {each.born_ms for each in router._view.get().endpoints}


def test_a_restart_under_the_same_id_clears_the_endpoints_record(site, list_with_start_ms):
    list_with_start_ms(1000)
    (worker,) = site.workers
    worker.faults.add(faults.Fault.MISDIRECTED)
    assert site.ask("POST", "/confirm/x", request_id="r-0").status == 503
    (router,) = site.routers
    remembered = router._traffic._records.keys()
    assert f"{worker.incarnation}@1000" in remembered
    list_with_start_ms(2000)
    assert not router._traffic._records.keys()
    assert site.ask("POST", "/confirm/x", request_id="r-1").status == 200


def test_a_restart_clears_the_prompt_parts_noted_before(site, list_with_start_ms):
    list_with_start_ms(1000)
    site.ask("POST", "/stream/chat/x", headers=PROMPT)
    (router,) = site.routers
    wait_until(lambda: router._traffic._records.keys(), "the note is recorded")
    list_with_start_ms(2000)
    assert not router._traffic._records.keys()


@pytest.mark.parametrize(
    "malformed",
    [
        {"zone": 7},
        {"state": "resting"},
        {"service": None},
        {"id": ""},
        {"born": "1000"},
    ],
)
def test_no_request_goes_to_a_malformed_entry(site, list_with_start_ms, malformed):
    list_with_start_ms(1000)
    decoy = site.start_endpoint("decoy")
    entry = stand_ins.entry(site.instances.listed[-1]) | {"id": "decoy", "address": decoy.address}
    try:
        site.instances.extra_entries = [orjson.dumps(entry | malformed), b'{"id": "\xff"}']
        calls = site.instances.calls
        wait_until(lambda: site.instances.calls > calls + 4, "the list was read again")
        answers = [site.ask("POST", "/confirm/x", request_id=f"r-{n}") for n in range(10)]
        assert [each.status for each in answers] == [200] * 10
        assert decoy.runs == []
    finally:
        decoy.stop()
