"""Three control boxes: racing operators, lost answers, lost boxes, lost disks."""

from __future__ import annotations

import copy
import itertools
import shutil
import threading

import orjson
import pytest

import site_of_routers as sites
from conftest import wait_until
from croftpulley.core.replication import state
from croftpulley.platform import names
from croftpulley.transport import links
from site_of_routers import DOCUMENT

NAMES = names.VOCABULARY


def document(version, path="/cancel/", **changes):
    made = copy.deepcopy(DOCUMENT)
    made["version"] = version
    made["routes"][3]["pathPrefix"] = path
    return made | changes


@pytest.fixture
def site(make_site):
    return make_site(control=3, routers=2)


def leader(site):
    """Return the number of the leading control box."""
    found = []

    def is_found():
        found[:] = [n for n, each in enumerate(site.control) if each and each.leads()]
        return len(found) == 1

    wait_until(is_found, "one control box leads")
    return found[0]


def read(site, first=0):
    return site.operator.read(first)


def accepted(site, made, first=0):
    wait_until(lambda: site.operator.submit(made, first).status == 200, "it is accepted")


class TestSubmissions:
    """What operators are told, at any box."""

    @pytest.mark.parametrize("first", range(3))
    def test_any_box_takes_a_document_and_it_is_in_force_everywhere(self, site, first):
        assert site.operator.submit(document(5, "/moved/"), first).status == 200
        for each in site.routers:
            address = each.caller_address
            assert site.ask("GET", "/moved/x", address=address).status == 200
            assert site.ask("GET", "/cancel/x", address=address).status == 404

    @pytest.mark.parametrize("first", range(3))
    def test_what_was_accepted_is_read_back_as_it_was_sent(self, site, first):
        sent = document(7, unknown_field={"a": [1, 2]})
        assert site.operator.submit(sent).status == 200
        answer = read(site, first)
        assert (answer.status, answer.body) == (200, orjson.dumps(sent))

    def test_a_document_of_more_than_a_mebibyte_is_taken_and_in_force(self, make_site):
        """Operators were answered 413 beyond it, as callers are for a large body."""
        # Reading it holds up all boxes, which are threads here, for longer than short leases last.
        site = make_site(control=3, routers=2, **sites.default_terms())
        large = document(7)
        like = large["routes"][3]
        for number in range(8000):
            more = {"name": f"more-{number}", "pathPrefix": f"/more/{number}/"}
            large["routes"].append(like | more)
        assert len(orjson.dumps(large)) > 1024 * 1024
        assert site.operator.submit(large).status == 200
        assert site.ask("GET", "/more/7999/x").status == 200
        assert read(site).body == orjson.dumps(large)

    def test_an_older_document_is_acknowledged_and_changes_nothing(self, site):
        site.operator.submit(document(9, "/new/"))
        assert site.operator.submit(document(8, "/old/")).status == 200
        assert site.ask("GET", "/new/x").status == 200
        assert site.ask("GET", "/old/x").status == 404

    def test_other_content_under_the_number_held_is_neither_obeyed_nor_read_back(self, site):
        site.operator.submit(document(9, "/first/"))
        before = read(site).body
        site.operator.submit(document(9, "/second/"))
        assert read(site).body == before
        assert site.ask("GET", "/second/x").status == 404

    def test_a_document_sent_again_after_many_changes_is_acknowledged(self, site):
        first = document(2, "/early/")
        site.operator.submit(first)
        for version in range(3, 40):
            assert site.operator.submit(document(version)).status == 200
        assert site.operator.submit(first, 1).status == 200
        assert site.ask("GET", "/early/x").status == 404

    def test_an_invalid_document_is_refused_everywhere_and_not_in_force(self, site):
        invalid = document(9, "/bad/")
        invalid["routes"][0]["service"] = "nowhere"
        answers = {site.operator.submit(invalid, first).status for first in range(3)}
        assert answers == {400}
        assert site.ask("GET", "/bad/x").status == 404


class TestLosses:
    """Control boxes that go and come back."""

    def test_the_leader_is_lost_and_nothing_accepted_is(self, site):
        site.operator.submit(document(5, "/kept/"))
        gone = leader(site)
        site.stop_control(gone)
        accepted(site, document(6, "/kept/", note="after the loss"))
        site.start_control(gone)
        assert b"after the loss" in read(site, gone).body
        assert site.ask("GET", "/kept/x").status == 200

    def test_all_are_lost_at_once_and_come_back(self, site):
        site.operator.submit(document(5, "/kept/"))
        before = read(site).body
        for number in range(3):
            site.stop_control(number)
        for number in range(3):
            site.start_control(number)
        wait_until(lambda: read(site).status == 200, "a leader is there again")
        assert read(site).body == before
        accepted(site, document(6))

    def test_a_lost_disk_then_another_box_lose_nothing(self, site):
        site.operator.submit(document(5, "/kept/"))
        wiped = (leader(site) + 1) % 3
        site.stop_control(wiped)
        shutil.rmtree(site.folder / f"control-{wiped}")
        accepted(site, document(6, "/kept/"))
        site.start_control(wiped)
        wait_until(lambda: is_voter(site, wiped), "the new replica has a vote")
        site.stop_control(next(n for n in range(3) if n not in (wiped, leader(site))))
        accepted(site, document(7, "/kept/", note="with the new replica's vote"))
        assert b"new replica's vote" in read(site).body

    def test_without_a_quorum_nothing_is_read_or_accepted(self, site):
        leading = leader(site)
        for number in range(3):
            if number != leading:
                site.stop_control(number)
        wait_until(lambda: not site.control[leading].leads(), "its authority has ended")
        # Asked at one address only: the others are down.
        operator = type(site.operator)((site.operators[leading],))
        assert operator.read().status == 503
        assert operator.submit(document(6)).status == 503


class TestList:
    """What is known of endpoints after a loss of all processes.

    Routers had leases and configurations 0.2 s before the new leader had read the list: 174
    requests of a recorded day were refused for want of an endpoint and told to come back after
    2 s, as where a pool really has none.
    """

    def test_a_control_box_has_read_the_list_before_any_leads(self, site):
        site.stop_all_processes()
        before = site.instances.calls
        site.start_control(0)
        wait_until(lambda: site.instances.calls > before, "it reads the list, alone as it is")
        assert not site.control[0].leads()

    def test_one_that_has_read_it_once_leaves_it_to_the_leader(self, site):
        gone = leader(site)
        follower = next(number for number in range(3) if number != gone)
        site.stop_control(follower)
        site.start_control(follower)
        daemon = site.control[follower]
        wait_until(lambda: daemon.replica_status().leader_address, "it hears the leader")
        assert daemon.listed_at_s() == float("-inf")

    def test_a_router_without_a_list_says_to_come_back_soon(self, site):
        site.instances.fails = True
        site.stop_all_processes()
        site.start_all_processes()
        answers = []

        def is_told():
            answers.append(site.ask("GET", "/cancel/x"))
            return answers[-1].headers.get("retry-after") == "0.5"

        wait_until(is_told, "a router with a lease lacks only the list")
        assert answers[-1].status == 503
        site.instances.fails = False
        wait_until(lambda: site.ask("GET", "/cancel/x").status == 200, "it is served")


class TestInventory:
    """What is known of engines' caches after a loss of all processes."""

    def test_a_young_leader_learns_it_from_the_engines_and_routers_use_it(self, site):
        other, holder = site.engines
        site.stop_all_processes()
        holder.kept = {"first": 900, **{f"rest-{n}": 600 for n in range(500)}}
        asked = itertools.count()
        # A source of what other engines lack, and nobody's choice.
        site.list_endpoints(leaving=(holder.settings.name,))
        site.start_all_processes()

        def is_told_of_the_holder():
            # Another beginning each time: once sent, it is known to lie at the other engine too.
            headers = {NAMES.prompt_parts: f"first:900,rest-{next(asked)}:600,own:10"}
            site.ask("POST", "/stream/chat/x", headers=headers)
            return any(NAMES.cache_from in run.headers for run in other.runs)

        wait_until(is_told_of_the_holder, "an engine is told who holds the beginning")
        told = next(run for run in other.runs if NAMES.cache_from in run.headers)
        assert told.headers[NAMES.cache_from] == holder.address

    def test_each_engine_is_asked_once(self, site):
        wait_until(lambda: all(each.cache_reads for each in site.engines), "all are asked")
        gone = leader(site)
        site.stop_control(gone)
        accepted(site, document(6))
        assert all(each.cache_reads <= 2 for each in site.engines)


def is_voter(site, number):
    status = site.control[leader(site)].replica_status()
    here = [each for each in status.members.members if each.address == site.peers[number]]
    return any(each.voter and not each.replica.startswith("first-") for each in here)


class TestLeases:
    """What a router does without word from control."""

    def test_without_a_lease_no_key_is_honoured_and_nothing_is_said_of_routes(self, site):
        for number in range(3):
            site.stop_control(number)
        wait_until(lambda: site.ask("GET", "/cancel/x").status == 503, "the lease has ended")
        answer = site.ask("GET", "/cancel/x")
        assert answer.headers["x-run-state"] == "not_run"
        assert float(answer.headers["retry-after"]) > 0
        assert site.ask("GET", "/nowhere/x").status == 503
        assert site.ask("GET", "/open/x").status == 200
        assert not site.is_ready()

    def test_callers_of_a_router_that_alone_is_cut_off_are_sent_on_at_once(self, site, monkeypatch):
        def cut(link, path, body):
            raise links.unreachable_error(link.address, "cut")

        # Control boxes that stop one after the other may still say that nobody leads.
        monkeypatch.setattr(links.Link, "post", cut)
        wait_until(lambda: site.ask("GET", "/cancel/x").status == 503, "the lease has ended")
        assert site.ask("GET", "/cancel/x").headers["retry-after"] == "0.1"

    def test_callers_wait_longer_where_control_boxes_have_no_leader(self, site):
        leading = leader(site)
        for number in range(3):
            if number != leading:
                site.stop_control(number)
        wait_until(lambda: site.ask("GET", "/cancel/x").status == 503, "the lease has ended")
        assert site.ask("GET", "/cancel/x").headers["retry-after"] == "1"

    def test_a_submission_waits_for_a_router_until_its_lease_has_ended(self, site):
        silent = site.routers[1]
        silent.stop()
        address = silent.caller_address
        assert site.operator.submit(document(5)).status == 200
        # It was accepted only once the silent router's lease had ended.
        assert silent.lease_left_s() <= 0
        assert address

    def test_a_router_that_stops_by_plan_is_named_no_more(self, site):
        leaving = site.routers[1]
        stop = threading.Thread(target=leaving.drain)
        stop.start()
        other = site.routers[0]
        wait_until(lambda: leaving.caller_address not in named(site, other), "it is not named")
        stop.join()

    def test_the_list_is_read_by_a_router_itself_while_control_is_away(self, site):
        for number in range(3):
            site.stop_control(number)
        calls = site.instances.calls
        wait_until(lambda: site.instances.calls > calls, "a router reads the list")


def named(site, router):
    path = "/resolution?name=x&region=r&zone=hall-a"
    answer = site.ask("GET", path, address=router.directory_address)
    return orjson.loads(answer.body)["addresses"]


def test_timing_lets_authority_end_before_another_can_be_elected():
    timing = state.Timing()
    assert timing.lease_fraction < 1
    assert timing.heartbeat_s < timing.election_s * timing.lease_fraction
