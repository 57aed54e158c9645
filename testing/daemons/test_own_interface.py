"""Routers and replicas with the fleet's own interface."""

from __future__ import annotations

import http.client
import json

import pytest

from conftest import wait_until
from croftpulley.daemons import replica, router
from croftpulley.fakes import forwarded, platform_list
from croftpulley.settings import schema
from site_of_routers import ANY_PORT, ReservedPort, read

CONFIGURATION = {
    "workspaces": [{"name": "clinic", "keys": ["a-key"]}],
    "pools": [{"name": "desk"}],
    "routes": [
        {
            "name": "confirm",
            "host": "clinic.example",
            "path_prefix": "/confirm/",
            "kind": "once",
            "shares": [{"pool": "desk"}],
            "time_limit_ms": 5000,
        }
    ],
}


def ask(address, method, path, body=None, headers=None):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        connection.request(method, path, body, headers or {})
        return read(connection.getresponse())
    finally:
        connection.close()


@pytest.fixture
def boxes(tmp_path):
    worker = forwarded.ForwardedEndpoint(schema.FakeSettings(name="w", address=ANY_PORT))
    worker.start()
    listed = platform_list.FakePlatformList(schema.FakeSettings(name="list", address=ANY_PORT))
    listed.start()
    listed.endpoints = [
        {
            "name": "w",
            "kind": "worker",
            "pool": "desk",
            "address": worker.address,
            "hall": "hall-a",
            "incarnation": "w",
            "leaving": False,
        }
    ]
    reserved = ReservedPort()
    control = replica.ReplicaDaemon(
        schema.ReplicaSettings(
            box="replica-1",
            hall="hall-a",
            peer_address=reserved.address,
            operator_address=ANY_PORT,
            metrics_address=ANY_PORT,
            data_folder=str(tmp_path / "data"),
            seeds=(reserved.address,),
            first_start=True,
            platform_address=listed.address,
            tick_s=0.01,
            platform_interval_s=0.05,
        )
    )
    entry = router.RouterDaemon(
        schema.RouterSettings(
            box="router-1",
            hall="hall-a",
            caller_address=ANY_PORT,
            directory_address=ANY_PORT,
            ready_address=ANY_PORT,
            metrics_address=ANY_PORT,
            control_addresses=(reserved.address,),
            platform_address=listed.address,
            renew_interval_s=0.03,
        )
    )
    control.start()
    entry.start()
    yield control, entry, worker
    entry.stop()
    control.stop()
    listed.stop()
    worker.stop()
    reserved.close()


def test_a_request_passes_from_submission_to_answer(boxes):
    control, entry, worker = boxes
    submission = json.dumps({"number": 1, "document": CONFIGURATION}).encode()

    def submitted():
        path = "/v1/config/submissions"
        return ask(control.operator_address, "POST", path, submission).status == 200

    wait_until(submitted, "the configuration is accepted")
    wait_until(lambda: ask(entry.ready_address, "GET", "/readyz").status == 200, "it is ready")
    named = json.loads(ask(entry.directory_address, "GET", "/v1/entry?hall=hall-a").body)
    assert named["entries"] == [{"address": entry.caller_address, "hall": "hall-a"}]
    headers = {"Host": "clinic.example", "X-Request-Id": "r", "X-Key": "a-key"}
    answer = ask(entry.caller_address, "POST", "/confirm/x", b"b", headers)
    assert (answer.status, answer.body) == (200, b"ran POST /confirm/x b")
    assert worker.runs[0].headers["x-workspace"] == "clinic"
    status = json.loads(ask(control.operator_address, "GET", "/v1/status").body)
    assert [box["name"] for box in status["boxes"]] == ["router-1"]
    shown = json.loads(ask(control.operator_address, "GET", "/v1/config").body)
    assert shown == {"version": 1, "document": CONFIGURATION}


@pytest.mark.parametrize("change", [{"pool": "nowhere"}, {"pool": "desk", "weight": 0}])
def test_an_invalid_configuration_is_refused_with_its_faults(boxes, change):
    control, _, _ = boxes
    wait_until(control.leads, "it leads")
    document = json.loads(json.dumps(CONFIGURATION))
    document["routes"][0]["shares"] = [change]
    submission = json.dumps({"number": 2, "document": document}).encode()
    answer = ask(control.operator_address, "POST", "/v1/config/submissions", submission)
    assert answer.status == 400
    assert b"routes[0].shares" in answer.body
