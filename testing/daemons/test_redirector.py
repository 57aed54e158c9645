"""A control box without a disk."""

from __future__ import annotations

import http.client

import pytest

from conftest import wait_until
from croftpulley.daemons import redirector
from croftpulley.settings import schema


@pytest.fixture
def make_box():
    started = []

    def make(*targets):
        settings = schema.RedirectorSettings(
            box="control-9",
            operator_address="127.0.0.1:0",
            metrics_address="127.0.0.1:0",
            targets=targets,
        )
        daemon = redirector.RedirectorDaemon(settings)
        daemon.start()
        started.append(daemon)
        return daemon

    yield make
    for daemon in started:
        daemon.stop()


def ask(daemon, method="POST", path="/v1/config/submissions?x=1"):
    host, _, port = daemon.operator_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.request(method, path, b"{}" if method == "POST" else None)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status, response.headers.get("Location")


def test_every_call_is_sent_on_to_each_other_box_in_turn(make_box):
    daemon = make_box("10.0.0.1:8229", "10.0.0.2:8229")
    path = "/v1/config/submissions?x=1"
    assert [ask(daemon) for _ in range(3)] == [
        (307, f"http://10.0.0.1:8229{path}"),
        (307, f"http://10.0.0.2:8229{path}"),
        (307, f"http://10.0.0.1:8229{path}"),
    ]
    assert ask(daemon, "GET", "/v1/config")[0] == 307


def test_a_box_that_knows_only_itself_says_so(make_box):
    daemon = make_box("127.0.0.1:0")
    assert ask(daemon) == (503, None)


def test_calls_go_to_the_leader_where_a_control_box_tells_it(make_site):
    site = make_site(control=3, routers=1)
    dead = "127.0.0.1:9"
    settings = schema.RedirectorSettings(
        box="control-9",
        operator_address="127.0.0.1:0",
        metrics_address="127.0.0.1:0",
        targets=("10.0.0.1:8229",),
        control_addresses=(dead, site.peers[1]),
    )
    daemon = redirector.RedirectorDaemon(settings)
    daemon.start()
    try:
        # The leader stands on the same machine here, at the port of operators there.
        expected = "http://127.0.0.1:0/v1/config/submissions?x=1"
        assert [ask(daemon) for _ in range(3)] == [(307, expected)] * 3
        # Boxes that are not in the settings were told by the one that answered.
        site.stop_control(1)
        wait_until(lambda: ask(daemon) == (307, expected), "another box tells it")
    finally:
        daemon.stop()
