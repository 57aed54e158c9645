"""Short runs of the soak, and the seeds that ever broke a promise."""

from __future__ import annotations

import pytest

from soak import run

SECONDS_S = 6.0
SEEDS = (3, 7)
"""One with planned work only, one with all troubles."""
REGRESSIONS = {24: 15.0, 36: 12.0, 2: 6.0, 14: 10.0}
"""Seeds that broke a promise, with the seconds of the run that did. 24: a second SIGTERM, while
Python ended after a planned stop, ended the process as killed. 36: the same by a SIGHUP. 2: an
entry of the log with a large configuration took longer on the leader's link than a request between
control boxes may, so each submission ended in a new leader that did not have it. 14: a box that
came to lead while a call waited for its authority answered with what it had read before."""

STORMS = {4: 14.0, 6: 14.0}
"""Storms that brought more repeats to endpoints than all routers may send: routers that started
again had their share of the extra whole, and new leaders told of few boxes. 8, 11 and 12 did so
too and are among those that are run by hand."""

CRASHES = {2: 10.0, 9: 14.0, 53: 14.0}
"""Requests that end endpoints, while routers and leaders are killed. 9: one reached endpoints four
times more where three are allowed, and ten ended. Endpoints stood behind proxies that accept for
them when they are gone, so that only the list showed their ends; three times routers were killed
with what they had met before the list showed it, each time during a trial. 53: five more, all sent
within 3 s of the start of a control box, while all three had been killed: allowed, and kept."""

PARTS = {2: 14.0}
"""Requests with a part that ends endpoints, beside sound ones that share the rest."""

PLACES = {2: 8.0}
"""A hall that is evacuated and returned in turns, while routers and leaders are killed."""

ROOM = {2: 8.0}
"""Many callers, some of whom do not read, before few slots, with routers and leaders killed."""

CUTS = {2: 12.0}
"""Links of single routers to all endpoints are cut, one after the other."""

VERSIONS = {2: 12.0}
"""Engines are rolled to other versions while streams are taken up, and routers are killed."""

ENDLESS = {2: 10.0}
"""Endpoints that send bytes without end, while routers and leaders are killed."""

ENDLESS_PARTS = {2: 8.0}
"""Endpoints that send any part of an answer without end, while routers and leaders are killed."""

SPOILT = {2: 8.0}
"""Endpoints that spoil the heads of their answers, while routers and leaders are killed."""

SEEDS_EXCHANGED = {2: 14.0, 3: 14.0}
"""Settings name seeds without a disk, or any; disks are lost, routers stopped, all killed."""

RESTS = {4: 10.0}
"""Endpoints that ask for rest and say that they leave, while routers and leaders are killed."""


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_in_a_short_soak(seed, tmp_path):
    assert run.run_seed(seed, SECONDS_S, tmp_path).broken == []


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_a_promise_that_was_broken_holds_now(seed, tmp_path):
    assert run.run_seed(seed, REGRESSIONS[seed], tmp_path).broken == []


@pytest.mark.parametrize("seed", STORMS)
def test_a_promise_that_was_broken_in_a_storm_holds_now(seed, tmp_path):
    assert run.run_seed(seed, STORMS[seed], tmp_path, run.Kind.STORM).broken == []


@pytest.mark.parametrize("seed", CRASHES)
def test_requests_that_end_endpoints_are_sent_to_few(seed, tmp_path):
    assert run.run_seed(seed, CRASHES[seed], tmp_path, run.Kind.CRASHES).broken == []


@pytest.mark.parametrize("seed", PARTS)
def test_requests_with_a_part_that_ends_endpoints_are_sent_to_few(seed, tmp_path):
    assert run.run_seed(seed, PARTS[seed], tmp_path, run.Kind.PARTS).broken == []


@pytest.mark.parametrize("seed", PLACES)
def test_an_evacuated_hall_gets_no_requests(seed, tmp_path):
    assert run.run_seed(seed, PLACES[seed], tmp_path, run.Kind.PLACES).broken == []


@pytest.mark.parametrize("seed", CUTS)
def test_callers_of_routers_without_links_to_endpoints_are_served(seed, tmp_path):
    assert run.run_seed(seed, CUTS[seed], tmp_path, run.Kind.CUTS).broken == []


@pytest.mark.parametrize("seed", VERSIONS)
def test_streams_stay_at_the_version_that_began_them(seed, tmp_path):
    assert run.run_seed(seed, VERSIONS[seed], tmp_path, run.Kind.VERSIONS).broken == []


@pytest.mark.parametrize("seed", SEEDS_EXCHANGED)
def test_control_is_found_again_after_an_exchange_of_seeds(seed, tmp_path):
    assert run.run_seed(seed, SEEDS_EXCHANGED[seed], tmp_path, run.Kind.SEEDS).broken == []


@pytest.mark.parametrize("seed", RESTS)
def test_endpoints_get_the_rest_that_they_ask_for(seed, tmp_path):
    assert run.run_seed(seed, RESTS[seed], tmp_path, run.Kind.RESTS).broken == []


@pytest.mark.parametrize("seed", ROOM)
def test_routers_together_send_no_more_than_there_is_room_for(seed, tmp_path):
    assert run.run_seed(seed, ROOM[seed], tmp_path, run.Kind.ROOM).broken == []


@pytest.mark.parametrize("seed", ENDLESS)
def test_bytes_without_end_break_no_promise(seed, tmp_path):
    assert run.run_seed(seed, ENDLESS[seed], tmp_path, run.Kind.ENDLESS).broken == []


@pytest.mark.parametrize("seed", ENDLESS_PARTS)
def test_parts_of_answers_without_end_end_no_process(seed, tmp_path):
    assert run.run_seed(seed, ENDLESS_PARTS[seed], tmp_path, run.Kind.ENDLESS_PARTS).broken == []


@pytest.mark.parametrize("seed", SPOILT)
def test_promises_hold_while_endpoints_spoil_heads(seed, tmp_path):
    assert run.run_seed(seed, SPOILT[seed], tmp_path, run.Kind.SPOILT).broken == []
