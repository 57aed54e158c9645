"""Seeds that are control boxes without a disk, or down: routers and lost disks find the others.

Guards against review/4 (after a loss of everything no router found the control boxes again) and
review/5 (a control box that had lost its disk never joined again).
"""

from __future__ import annotations

import itertools
import json
import os
import shutil

import attrs
import pytest

from conftest import wait_until
from croftpulley.core.replication import state as states
from croftpulley.daemons import redirector
from croftpulley.observe import events
from croftpulley.platform import boot
from croftpulley.transport import box_messages, json_codec, links
from site_of_routers import DOCUMENT, ReservedPort

NOBODY = "127.0.0.1:9"
SEEDS = 3
_ADDRESSES = (
    f"127.{64 + os.getpid() % 128}.{number // 200}.{1 + number % 200}"
    for number in itertools.count()
)


class SeedsWithoutDisk:
    """Three control boxes without a disk, with the settings that the platform writes them."""

    def __init__(self, folder):
        self._folder = folder
        self._ips = [next(_ADDRESSES) for _ in range(SEEDS)]
        self._reserved = ReservedPort()
        self._port = int(self._reserved.address.rpartition(":")[2])
        self._running = {}

    @property
    def addresses(self):
        """Where the fleet's own boxes ask."""
        return tuple(f"{ip}:{self._port}" for ip in self._ips)

    def start(self, count=SEEDS):
        for ip in self._ips[:count]:
            path = self._folder / f"{ip}.json"
            path.write_text(json.dumps(self._document(ip)), encoding="utf-8")
            daemon = redirector.RedirectorDaemon(boot.redirector_settings(str(path)))
            daemon.start()
            self._running[ip] = daemon

    def stop(self):
        for each in self._running.values():
            each.stop()
        self._running = {}

    def close(self):
        self.stop()
        self._reserved.close()

    def _document(self, ip):
        return {
            "nodeName": f"control-at-{ip}",
            "zone": "hall-a",
            "ipAddress": ip,
            "listenAddresses": {"controlPlane": f"{ip}:0"},
            "internalPortRange": [self._port, self._port + 1],
            "seedNodes": [f"{each}:0" for each in self._ips],
        }


@pytest.fixture
def site(make_site):
    made = make_site(control=3, routers=2)
    assert made.operator.submit(DOCUMENT).status == 200
    return made


@pytest.fixture
def seeds(tmp_path):
    made = SeedsWithoutDisk(tmp_path)
    yield made
    made.close()


def exchange_seeds(site, seeds):
    """Have the settings of all control boxes, and of what starts from now on, name these seeds."""
    seeds.start()
    site.seeds = seeds.addresses
    for each in site.control:
        each.use_settings(attrs.evolve(each._settings, seeds=seeds.addresses))


def lose_disk(site, number):
    """Lose a disk, and wait until that control box has a vote again under its new id."""
    before = site.control[number].replica_status().members
    site.stop_control(number)
    shutil.rmtree(site.folder / f"control-{number}")
    site.start_control(number)
    wait_until(lambda: has_replaced(site, before.voters), "every control box has a vote")


def has_replaced(site, voters_before):
    """Tell whether all control boxes know the same three voters, one of them new.

    While a voter is replaced there is a fourth one.
    """
    known = {each.replica_status().members for each in site.control}
    if len(known) > 1:
        return False
    (members,) = known
    addresses = sorted(each.address for each in members.members if each.voter)
    new = set(members.voters) - set(voters_before)
    return addresses == sorted(site.peers) and len(new) == 1


def test_everything_starts_again_with_seeds_that_have_no_disk(site, seeds):
    site.stop_all_processes()
    site.seeds = seeds.addresses
    seeds.start()
    site.start_all_processes()
    wait_until(site.is_ready, "every router serves")


@pytest.mark.parametrize("count", [1, 2])
def test_everything_starts_again_while_other_seeds_are_down(site, seeds, count):
    site.stop_all_processes()
    site.seeds = seeds.addresses
    seeds.start(count)
    site.start_all_processes()
    wait_until(site.is_ready, "every router serves")


def test_everything_starts_again_and_the_seeds_last(site, seeds):
    site.stop_all_processes()
    site.seeds = seeds.addresses
    site.start_all_processes()
    wait_until(lambda: any(each.leads() for each in site.control), "a control box leads")
    seeds.start()
    wait_until(site.is_ready, "every router serves")


def test_routers_stop_and_start_in_turn_after_an_exchange_of_seeds(site, seeds):
    exchange_seeds(site, seeds)
    for number in range(len(site.routers)):
        site.routers[number].stop()
        site.routers[number] = site.start_router(f"router-{number}")
        wait_until(site.is_ready, "every router serves")


def test_seeds_that_start_again_are_told_again(site, seeds):
    exchange_seeds(site, seeds)
    seeds.stop()
    seeds.start()
    site.routers.append(site.start_router("new"))
    wait_until(site.is_ready, "a router that was never there before serves")


def test_disks_lost_one_after_the_other_join_by_seeds_without_a_disk(site, seeds):
    exchange_seeds(site, seeds)
    for number in range(3):
        lose_disk(site, number)
    assert json.loads(site.operator.read().body) == DOCUMENT


def test_a_lost_disk_joins_though_every_seed_is_down(site):
    # The leader calls the address of the voter that is silent.
    site.seeds = (NOBODY,)
    followers = [n for n, each in enumerate(site.control) if not each.leads()]
    lose_disk(site, followers[0])


def test_the_leader_says_when_one_more_loss_ends_control(site, caplog):
    (leader,) = [each for each in site.control if each.leads()]
    wait_until(lambda: leader.replica_status().spare_voters == 1, "all three answer")
    site.stop_control(next(n for n, each in enumerate(site.control) if each is not leader))
    wait_until(lambda: leader.replica_status().spare_voters == 0, "one is silent")
    told = events.MEANINGS[events.Event.SPARE_VOTERS_CHANGED]
    wait_until(lambda: told in caplog.messages, "it is in the log")


def test_a_router_that_starts_again_is_found_though_every_seed_is_down(site):
    reserved = ReservedPort()
    site.changes = {"peer_address": reserved.address}
    site.routers.append(site.start_router("found"))
    wait_until(site.is_ready, "every router serves")
    site.routers.pop().stop()
    site.seeds = (NOBODY,)
    site.routers.append(site.start_router("found"))
    wait_until(site.is_ready, "the leader has told it where to renew")
    reserved.close()


def test_a_seed_that_was_told_nothing_names_nobody(seeds):
    seeds.start(1)
    link = links.Link(seeds.addresses[0], 5.0, _Counters())
    body = link.post(box_messages.RENEWALS_PATH, b"{}")
    answer = json_codec.decode(body, box_messages.BoxReportAnswer)
    assert answer == box_messages.BoxReportAnswer(is_from_redirector=True)
    link.close()


class _Counters:
    def control_bytes(self, *_counted):
        pass

    def control_failed(self, *_counted):
        pass


def test_empty_disks_never_begin_a_second_fleet(make_site, seeds, caplog):
    lone = make_site(control=3, routers=0)
    for number in range(3):
        lone.stop_control(number)
        shutil.rmtree(lone.folder / f"control-{number}")
    seeds.start()
    lone.seeds = (*seeds.addresses, *lone.peers)
    for number in range(3):
        lone.start_control(number)
    in_vain = events.MEANINGS[events.Event.JOIN_UNANSWERED]
    wait_until(lambda: caplog.messages.count(in_vain) == 3, "each has asked in vain")
    known = [each.replica_status() for each in lone.control]
    assert {each.role for each in known} == {states.Role.FOLLOWER}
    assert {each.members.members for each in known} == {()}
