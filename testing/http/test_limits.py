"""Bad input at the callers' and operators' addresses: a result code, and the box goes on."""

from __future__ import annotations

import json
import socket

import pytest

from conftest import CONFIGURATION, wait_until
from croftpulley.settings import schema

POST = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"


@pytest.fixture
def fleet(make_fleet):
    return make_fleet()


def raw(fleet, data):
    """Send bytes and return the status and the error of the answer."""
    host, _, port = fleet.entries[0].caller_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as caller:
        caller.sendall(data)
        answer = b""
        while b"}}" not in answer:
            received = caller.recv(65_536)
            if not received:
                break
            answer += received
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        ("NONSENSE\r\n\r\n", 400, "bad_request"),
        (POST + "Content-Length: 99999999\r\n\r\n", 413, "body_too_large"),
        (POST + "X-Big: " + "a" * 40_000 + "\r\n\r\n", 431, "header_too_large"),
        (
            POST + "".join(f"X-H{n}: 1\r\n" for n in range(80)) + "Content-Length: 0\r\n\r\n",
            431,
            "too_many_headers",
        ),
    ],
)
def test_a_request_beyond_a_limit_gets_a_result_code(fleet, data, status, kind):
    got_status, error = raw(fleet, data.encode())
    assert (got_status, error["type"]) == (status, kind)
    assert error["run_state"] == "not_run"
    assert fleet.chat("chat").status == 200


def test_a_connection_that_never_completes_its_request_is_closed(fleet):
    box = fleet.start_entry("entry-9", http=schema.HttpLimits(idle_connection_s=1))
    fleet.entries.append(box)
    host, _, port = box.caller_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as caller:
        caller.sendall(POST.encode())
        assert caller.recv(100) == b""


@pytest.mark.parametrize(
    ("headers", "fields", "status", "kind"),
    [
        ({"X-Workspace": "nobody"}, {}, 403, "unknown_workspace"),
        ({"X-Class": "urgent"}, {}, 400, "bad_request"),
        ({"X-Deadline-Ms": "soon"}, {}, 400, "bad_request"),
        ({"X-Deadline-Ms": "0"}, {}, 400, "bad_request"),
        ({"X-Chat": "c" * 300}, {}, 400, "bad_request"),
        ({}, {"model": "none"}, 404, "unknown_model"),
        ({}, {"model": 5}, 400, "bad_request"),
        ({}, {"messages": []}, 400, "bad_request"),
        ({}, {"messages": "hello"}, 400, "bad_request"),
    ],
)
def test_a_malformed_request_is_refused_and_not_run(fleet, headers, fields, status, kind):
    answer = fleet.chat("chat", headers=headers, **fields)
    assert (answer.status, answer.json()["error"]["type"]) == (status, kind)
    assert answer.headers["X-Run-State"] == "not_run"
    assert sum(len(engine.records()) for engine in fleet.engines) == 0


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nowhere", 404), ("GET", "/v1/chat/completions", 405), ("POST", "/v1/entry", 405)],
)
def test_an_unknown_path_or_method_is_refused(fleet, method, path, status):
    url = f"http://{fleet.entries[0].caller_address}{path}"
    assert fleet.http.request(method, url).status == status


def test_operator_calls_need_the_token(fleet):
    assert fleet.operate("GET", "/v1/status", token="wrong").status == 401
    assert fleet.operate("GET", "/v1/config", token="").status == 401
    assert fleet.operate("GET", "/healthz", token="").status == 200


def test_a_bad_configuration_is_refused_with_every_fault_and_changes_nothing(fleet):
    answer = fleet.submit({"models": [{"name": "m"}], "cap_multiple": 0}, number=2)
    assert answer.status == 400
    message = answer.json()["error"]["message"]
    assert "models[0].pool" in message
    assert "cap_multiple" in message
    assert fleet.operate("GET", "/v1/config").json()["version"] == 1


def test_a_submission_is_in_force_on_every_box_once_it_says_so(make_fleet):
    fleet = make_fleet(entries=3)
    changed = CONFIGURATION | {"models": [{"name": "triage-2", "pool": "llm"}]}
    fleet.submit(changed, number=2)
    wait_until(
        lambda: fleet.operate("GET", "/v1/config/submissions/2").json()["in_force"],
        "the submission is in force",
    )
    for box in fleet.entries:
        assert fleet.chat("chat", box, model="triage-2").status == 200
        assert fleet.chat("chat", box).status == 404


def test_a_workspace_at_its_limit_is_told_when_to_come_back(fleet):
    limited = CONFIGURATION | {"workspaces": [{"name": "clinic", "in_flight_per_box": 1}]}
    fleet.submit(limited, number=2)
    wait_until(
        lambda: fleet.operate("GET", "/v1/config/submissions/2").json()["in_force"],
        "the limit is in force",
    )
    held = fleet.chat("chat", stream=True, max_tokens=50, metadata={"token_interval_ms": 20})
    refused = fleet.chat("other")
    assert (refused.status, refused.json()["error"]["type"]) == (429, "workspace_limit")
    assert refused.headers["Retry-After"] == "1"
    assert b"[DONE]" in held.read()


def test_metrics_have_histograms_for_each_workspace_and_class(fleet):
    fleet.chat("chat", headers={"X-Class": "considered"})
    url = f"http://{fleet.entries[0].operator_address}/metrics"
    text = fleet.http.request("GET", url).data.decode()
    labels = 'request_class="considered",workspace="clinic"'
    assert f"croftpulley_first_token_seconds_count{{{labels}}} 1.0" in text
    assert f"croftpulley_request_seconds_count{{{labels}}} 1.0" in text
    assert 'croftpulley_control_bytes_total{direction="sent",kind="Renew"}' in text
