"""Routers and replicas with the fleet's own interface."""

from __future__ import annotations

import http.client
import json

import pytest
from click import testing as click_testing

from conftest import wait_until
from croftpulley import codes, errors
from croftpulley.bench import comparison, scrape
from croftpulley.cli import main
from croftpulley.daemons import replica, router
from croftpulley.fakes import forwarded, platform_list
from croftpulley.http import wsgi
from croftpulley.interfaces import operators
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


def submit(control, number, document):
    body = json.dumps({"number": number, "document": document}).encode()
    path = "/v1/config/submissions"
    return ask(control.operator_address, "POST", path, body)


def in_use(boxes, number, **changes):
    """Submit a configuration with ``changes`` until it is accepted: then it is in force."""
    control, entry, _ = boxes
    wait_until(
        lambda: submit(control, number, CONFIGURATION | changes).status == 200, "it is accepted"
    )
    wait_until(lambda: ask(entry.ready_address, "GET", "/readyz").status == 200, "it is ready")


def call(entry, request_id):
    headers = {"Host": "clinic.example", "X-Request-Id": request_id, "X-Key": "a-key"}
    return ask(entry.caller_address, "POST", "/confirm/x", b"b", headers)


def counted(entry):
    samples = scrape.parse(ask(entry.metrics_address, "GET", "/metrics").body)
    return [result for result in comparison.of(samples)], samples


class TestPrograms:
    """Operators' programs, submitted with the configuration and swapped while routers serve."""

    def test_a_program_for_admission_is_obeyed_swapped_and_taken_back(self, boxes):
        _, entry, worker = boxes
        in_use(boxes, 1)
        assert call(entry, "r-1").status == 200
        in_use(boxes, 2, arms=[{"name": "closed", "admit": "return 2.5"}])
        refused = call(entry, "r-2")
        assert (refused.status, refused.headers["retry-after"]) == (429, "2.5")
        assert refused.headers["x-run-state"] == "not_run"
        in_use(boxes, 3, arms=[{"name": "closed", "admit": "return 2.5", "acts": False}])
        assert call(entry, "r-3").status == 200
        in_use(boxes, 4)
        assert call(entry, "r-4").status == 200
        assert [run.headers["x-request-id"] for run in worker.runs] == ["r-1", "r-3", "r-4"]

    def test_a_program_that_fails_leaves_it_to_the_built_in_rule_and_is_counted(self, boxes):
        _, entry, _ = boxes
        in_use(boxes, 1, arms=[{"name": "broken", "score": "return 1 / load"}])
        assert call(entry, "r-1").status == 200
        (result,), _ = counted(entry)
        assert (result.arm, result.in_time.total) == ("broken", 1)
        assert result.program_failed.value == 1.0

    def test_arms_are_compared_by_what_routers_count(self, boxes):
        _, entry, _ = boxes
        in_use(
            boxes,
            1,
            arms=[{"name": "least", "score": "return load"}, {"name": "built-in"}],
        )
        assert [call(entry, f"r-{number}").status for number in range(12)] == [200] * 12
        results, samples = counted(entry)
        assert [each.arm for each in results] == ["built-in", "least"]
        assert sum(each.in_time.total for each in results) == 12
        assert scrape.total(samples, "croftpulley_arm_decisions_total", decision="failed") == 0

    def test_a_program_out_of_the_language_is_refused_with_its_line(self, boxes):
        control, _, _ = boxes
        wait_until(control.leads, "it leads")
        arms = [{"name": "bomb", "score": "x = 0\nwhile 1:\n    x = x + 1\nreturn x"}]
        answer = submit(control, 1, CONFIGURATION | {"arms": arms})
        assert answer.status == 400
        assert b"arms[0]: score: line 2: is not in the language" in answer.body


class TestOperatorsCommand:
    """``croftpulley ctl`` against control boxes that share their state."""

    def run(self, control, *arguments):
        # The first address is of a box that is away: the next one is asked.
        ways = ["--control", "127.0.0.1:1", "--control", control.operator_address]
        words = ["ctl", *ways, *arguments]
        return click_testing.CliRunner().invoke(main.cli, words, standalone_mode=False)

    def test_a_configuration_is_submitted_and_shown(self, boxes, tmp_path):
        control, entry, _ = boxes
        wait_until(control.leads, "it leads")
        # One without a lease would not be waited for, and would refuse until it has fetched it.
        wait_until(lambda: entry.lease_left_s() > 0, "the router has a lease")
        file = tmp_path / "fleet.jsonc"
        file.write_text(f"// the fleet\n{json.dumps(CONFIGURATION)}")
        words = ("config", "submit", str(file), "--operator", "aigerim", "--number", "4")
        wait_until(lambda: self.run(control, *words).exit_code == 0, "it is accepted")
        assert "number 4: version 4, in force" in self.run(control, *words).output
        assert '"clinic.example"' in self.run(control, "config", "show").output
        assert call(entry, "r-1").status == 200

    def test_the_status_names_replicas_and_boxes(self, boxes):
        control, _, _ = boxes
        in_use(boxes, 1)
        shown = self.run(control, "status").output
        assert "configuration version 1" in shown
        assert "this box leader  term" in shown
        assert "voter" in shown
        assert "box router-1  hall-a" in shown

    def test_a_call_without_the_token_is_refused_where_one_is_set(self, tmp_path):
        token_file = tmp_path / "token"
        token_file.write_text("secret\n")
        handle = operators.OwnOperatorInterface(str(token_file)).operator(None, "")
        request = wsgi.Request("GET", "/v1/config", "", {}, b"", {})
        with pytest.raises(errors.CroftpulleyError) as raised:
            handle(request)
        assert raised.value.code is codes.ResultCode.UNAUTHORIZED


def test_an_operator_evacuates_a_hall_returns_it_and_sees_which_are(boxes):
    control, entry, worker = boxes
    in_use(boxes, 1)
    assert call(entry, "r-1").status == 200

    def run(*arguments):
        command = ["ctl", "--control", control.operator_address, "hall", *arguments]
        return click_testing.CliRunner().invoke(main.cli, command, catch_exceptions=False).output

    assert run("list") == "no halls\n"
    assert run("evacuate", "hall-a") == "hall-a  evacuated\n"
    refused = call(entry, "r-2")
    assert (refused.status, refused.headers["x-result-code"]) == (
        503,
        str(int(codes.ResultCode.NO_ENGINE)),
    )
    assert b"evacuated halls: hall-a" in refused.body
    assert len(worker.runs) == 1
    assert run("return", "hall-a") == "no halls\n"
    assert call(entry, "r-3").status == 200
    with pytest.raises(errors.CroftpulleyError, match="HALL_UNKNOWN"):
        run("evacuate", 65 * "x")
