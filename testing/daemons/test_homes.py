"""Routes and workspaces whose requests may run in some regions only.

`allowedRegions` was read by nobody: a box of any region sent to endpoints of any region.
"""

from __future__ import annotations

import copy
import itertools

import orjson
import pytest

import cut_links
import site_of_routers as sites
from conftest import wait_until
from croftpulley.platform import names

REGIONS = {"hall-a": "here", "hall-b": "there"}
NUMBERS = itertools.count()
REQUEST_ID = names.VOCABULARY.request_id


@pytest.fixture
def site(make_site):
    """Return a router in hall-b with one worker there and one in hall-a, a region each."""
    near = {"worker-1": "hall-b", "engine-1": "hall-b"}
    made = make_site(hall="hall-b", regions=REGIONS, halls=near, **sites.default_terms())
    wait_until(lambda: ask(made)[1] == ["worker-1"], "the near one serves")
    return made


def ask(site):
    """Send one request; return its status and where it ran."""
    request_id = f"request-{next(NUMBERS)}"
    answer = site.ask("GET", "/cancel/x", request_id=request_id)
    ran = [name for name, run in site.runs() if run.headers[REQUEST_ID] == request_id]
    return answer.status, ran


def submit(site, version, route=(), tenant=()):
    document = copy.deepcopy(sites.DOCUMENT)
    document["version"] = version
    if route:
        document["routes"][3]["allowedRegions"] = list(route)
    if tenant:
        document["tenants"][0]["allowedRegions"] = list(tenant)
    assert site.operator.submit(document).status == 200


@pytest.mark.parametrize(
    ("route", "tenant"), [(["here"], []), ([], ["here"]), (["here", "there"], ["here"])]
)
def test_a_request_runs_at_home_whether_its_route_or_its_workspace_says_so(site, route, tenant):
    submit(site, 5, route, tenant)
    for _ in range(8):
        assert ask(site) == (200, ["worker-0"])


@pytest.mark.parametrize(
    ("route", "tenant"), [(["elsewhere"], []), (["here"], ["there"]), ([], ["elsewhere"])]
)
def test_a_request_without_an_endpoint_at_home_is_refused_at_once(site, route, tenant):
    submit(site, 5, route, tenant)
    assert ask(site) == (503, [])


def test_homes_are_taken_back_with_the_next_configuration(site):
    submit(site, 5, ["here"])
    assert ask(site) == (200, ["worker-0"])
    submit(site, 6)
    wait_until(lambda: ask(site) == (200, ["worker-1"]), "the near one serves again")


@pytest.mark.parametrize("homes", ["here", [7], {"here": 1}])
def test_homes_that_are_no_names_are_invalid(site, homes):
    document = copy.deepcopy(sites.DOCUMENT)
    document["version"] = 5
    document["routes"][3]["allowedRegions"] = homes
    assert site.operator.submit(document).status == 400


class TestDirectory:
    """Whom callers are told to ask."""

    @pytest.fixture
    def site(self, make_site):
        """Return a router in each of two regions."""
        made = make_site(hall="hall-b", regions=REGIONS)
        made.changes = {"hall": "hall-a", "regions": REGIONS}
        made.routers.append(made.start_router("router-1"))
        wait_until(made.is_ready, "both are ready")
        wait_until(lambda: len(named(made, "there")) == 2, "each names both")
        return made

    def test_boxes_of_the_callers_region_come_first(self, site):
        there, here = (each.caller_address for each in site.routers)
        assert named(site, "here") == [here, there]
        assert named(site, "there") == [there, here]

    def test_of_a_host_with_homes_only_boxes_at_home_or_near_the_caller_are_named(self, site):
        there, here = (each.caller_address for each in site.routers)
        submit(site, 5, ["here"])
        assert named(site, "here") == [here]
        assert named(site, "there") == [there, here]
        assert named(site, "elsewhere") == [here]

    def test_with_no_box_there_any_box_is_better_than_none(self, site):
        submit(site, 5, ["elsewhere"])
        assert len(named(site, "nowhere")) == 2


def named(site, region):
    path = f"/resolution?name={sites.HOST}&region={region}&zone=hall-x"
    answer = site.ask("GET", path, address=site.routers[0].directory_address)
    return orjson.loads(answer.body)["addresses"]


@pytest.mark.parametrize(("homes", "wanted"), [(["there"], 503), (["there", "here"], 200)])
def test_a_box_without_links_hands_a_request_only_to_boxes_in_its_homes(make_site, homes, wanted):
    """Its own home's endpoints are reached from the other box alone."""
    links = cut_links.Links()
    near = {"worker-1": "hall-b", "engine-1": "hall-b"}
    site = make_site(
        hall="hall-b", regions=REGIONS, halls=near, dialers=[links], **sites.default_terms()
    )
    submit(site, 5, homes, [])
    site.changes["hall"] = "hall-a"
    site.routers.append(site.start_router("router-1"))
    wait_until(site.is_ready, "the other box is ready")
    wait_until(lambda: len(site.routers[0]._view.get().boxes) == 2, "it is known")
    links.cut = cut_links.Cut.REFUSED
    assert ask(site)[0] == wanted
    links.stop()


def test_a_request_with_one_endpoint_at_home_goes_there_by_way_of_another_box(make_site):
    links = cut_links.Links()
    near = {"worker-1": "hall-b", "engine-1": "hall-b"}
    site = make_site(
        routers=2,
        hall="hall-b",
        regions=REGIONS,
        halls=near,
        dialers=[links],
        **sites.default_terms(),
    )
    submit(site, 5, ["there"], [])
    wait_until(lambda: len(site.routers[0]._view.get().boxes) == 2, "the other box is known")
    links.cut = cut_links.Cut.REFUSED
    assert ask(site) == (200, ["worker-1"])
    links.stop()
