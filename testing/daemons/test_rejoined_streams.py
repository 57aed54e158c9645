"""Streams that callers take up after all boxes were lost at once, while versions change.

Guards against streams whose first part one version wrote and whose rest another one did: a router
that has just started may read a list of its own, newer than what the leader's word is about.
"""

from __future__ import annotations

import attrs
import pykka
import pytest
from test_versions import STREAMS, begin, is_mixed, plain_site, take_up, wait_until_known

from conftest import wait_until
from croftpulley.controllers import replica
from croftpulley.core import replicated_state

__all__ = ["plain_site"]
_FAR_S = 600.0


@pytest.fixture
def held_notes(monkeypatch):
    """Keep the log from taking versions up, as a slow disk does, until the list is cleared."""
    held = ["versions"]
    propose = replica.ReplicatedLog.propose

    def propose_later(log, command):
        if held and isinstance(command, replicated_state.NoteVersions):
            return pykka.ThreadingFuture()
        return propose(log, command)

    monkeypatch.setattr(replica.ReplicatedLog, "propose", propose_later)
    return held


def replace_engines(site, version):
    """Have the platform list other engines, all of another version."""
    old = site.engines
    site.engines = [site.start_engine(f"{version}-engine-{n}") for n in range(len(old))]
    for each in site.engines:
        each.version = version
    site.list_endpoints()
    site.crashed += old


def versions_known(site):
    return [
        {each.version for each in router._view.get().endpoints if each.pool == "llm"}
        for router in site.routers
    ]


def lose_all_while_engines_are_replaced(site, held_notes):
    """Begin streams, lose all boxes, replace all engines, and start again; return the streams."""
    held_notes.clear()
    streams = [begin(site, site.routers[n % 3]) for n in range(STREAMS)]
    site.stop_all_processes()
    replace_engines(site, "v2")
    held_notes.append("versions")
    site.routers = [site.start_router(f"router-{n}") for n in range(3)]
    wait_until(lambda: versions_known(site) == [{"v2"}] * 3, "each router has read the list")
    site.start_control(0)
    wait_until(site.is_ready, "every router serves")
    return streams


def take_all_up(site, streams):
    for n, each in enumerate(streams):
        take_up(site, site.routers[(n + 1) % 3], each)


def test_a_version_that_the_log_does_not_have_yet_takes_no_stream_up(plain_site, held_notes):
    streams = lose_all_while_engines_are_replaced(plain_site, held_notes)
    take_all_up(plain_site, streams[: STREAMS // 2])
    held_notes.clear()
    wait_until_known(plain_site)
    take_all_up(plain_site, streams[STREAMS // 2 :])
    assert [each for each in streams if is_mixed(each)] == []
    assert [each.refused for each in streams] == [1] * STREAMS


def test_a_list_newer_than_the_leaders_word_takes_no_stream_up(plain_site, held_notes):
    """The read of a router that is not heard yet ends after the leader's first answer."""
    streams = lose_all_while_engines_are_replaced(plain_site, held_notes)
    for router in plain_site.routers:
        own = router._listed.get()
        router._listed.publish(attrs.evolve(own, read_at_s=own.read_at_s + _FAR_S))
    wait_until(
        lambda: versions_known(plain_site) == [{"v2"}] * 3, "each uses the list that it read"
    )
    take_all_up(plain_site, streams)
    assert [each for each in streams if is_mixed(each)] == []
    assert [each.refused for each in streams] == [1] * STREAMS
