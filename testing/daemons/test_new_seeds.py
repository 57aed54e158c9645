"""Boxes that lost every address they knew come back by the addresses of changed settings."""

from __future__ import annotations

import attrs
import pytest

from conftest import wait_until
from croftpulley.controllers import joining
from croftpulley.daemons import replica, router
from croftpulley.platform import callers, operators
from croftpulley.settings import schema
from site_of_routers import ANY_PORT, ReservedPort

NOBODY = "127.0.0.1:9"


@pytest.fixture
def site(make_site):
    return make_site()


@pytest.fixture
def keep():
    """Stop what the test started."""
    started = []
    yield started.append
    for each in started:
        each.stop()


def test_a_router_finds_the_control_boxes_that_changed_settings_name(site, keep):
    settings = attrs.evolve(site.routers[0]._settings, box="lost", control_addresses=(NOBODY,))
    lost = router.RouterDaemon(settings, callers.PlatformCallers())
    keep(lost)
    lost.start()
    assert lost.lease_left_s() == float("-inf")
    lost.use_settings(attrs.evolve(settings, control_addresses=tuple(site.peers)))
    wait_until(lambda: lost.lease_left_s() > 0, "the router has a lease")


def test_a_router_keeps_the_addresses_that_control_boxes_told(site):
    (known,) = site.routers
    known.use_settings(attrs.evolve(known._settings, control_addresses=(NOBODY,)))
    site.stop_control(0)
    site.start_control(0)
    # The control box that granted its lease is still known from its answers.
    wait_until(lambda: known.lease_left_s() > 0, "the router has a lease again")


def start_replica(folder, name, seeds, *, first_start=False, peer_address=""):
    reserved = ReservedPort()
    settings = schema.ReplicaSettings(
        box=name,
        hall="hall-a",
        peer_address=peer_address or reserved.address,
        operator_address=ANY_PORT,
        metrics_address=ANY_PORT,
        data_folder=str(folder / name),
        seeds=seeds,
        first_start=first_start,
        platform_address=NOBODY,
        tick_s=0.01,
        election_s=0.3,
    )
    daemon = replica.ReplicaDaemon(settings, operators.PlatformOperators())
    daemon.start()
    return daemon, settings


def test_a_new_control_box_joins_by_changed_seeds(site, keep, tmp_path):
    lost, settings = start_replica(tmp_path, "lost", (NOBODY,))
    keep(lost)
    lost.use_settings(attrs.evolve(settings, seeds=tuple(site.peers)))
    wait_until(
        lambda: lost.replica_status().leader_address == site.peers[0], "it follows the leader"
    )


def test_a_control_box_whose_others_are_all_gone_joins_by_changed_seeds(
    site, keep, tmp_path, monkeypatch
):
    monkeypatch.setattr(joining, "ISOLATED_AFTER_S", 0.3)
    own = ReservedPort()
    # A set of three of which the others are never there.
    seeds = (own.address, "127.0.0.1:8", NOBODY)
    lost, settings = start_replica(
        tmp_path, "lost", seeds, first_start=True, peer_address=own.address
    )
    keep(lost)
    assert len(lost.replica_status().members.members) in (0, 3)
    lost.use_settings(attrs.evolve(settings, seeds=tuple(site.peers)))
    wait_until(
        lambda: any(
            each.address == own.address for each in site.control[0].replica_status().members.members
        ),
        "the leader of the new seeds takes it in",
    )
