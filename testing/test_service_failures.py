"""Calls that may not be repeated: what the caller is told against what the workers recorded."""

from __future__ import annotations

import pytest

from conftest import wait_until
from croftpulley.fakes import faults

Fault = faults.Fault


@pytest.fixture
def fleet(make_fleet):
    return make_fleet(entries=2, workers=2)


def runs(fleet, key):
    return sum(worker.runs[key] for worker in fleet.workers)


def add_fault(fleet, fault):
    for worker in fleet.workers:
        worker.faults.add(fault)


@pytest.mark.parametrize(
    ("fault", "state", "ran"),
    [
        (Fault.RESET_BEFORE_ANSWER, "unknown", 0),
        (Fault.RESET_AFTER_RUN, "unknown", 1),
        (Fault.WRONG_LENGTH, "ran", 1),
    ],
)
def test_a_call_whose_outcome_is_lost_is_never_sent_again(fleet, fault, state, ran):
    add_fault(fleet, fault)
    first = fleet.call("confirm", key="k", box=fleet.entries[0])
    assert (first.status, first.headers["X-Run-State"]) == (502, state)
    for box in fleet.entries:
        again = fleet.call("confirm", key="k", box=box)
        assert again.json()["error"]["type"] == "outcome_unknown"
        assert again.headers["X-Run-State"] == "unknown"
    assert runs(fleet, "k") == ran


def test_a_call_that_no_worker_took_was_not_run_and_may_be_sent_again(fleet):
    addresses = [worker.address for worker in fleet.workers]
    for endpoint in fleet.platform.endpoints:
        if endpoint["address"] in addresses:
            endpoint["address"] = "127.0.0.1:1"
    wait_until(lambda: fleet.call("list").status == 502, "the box has read the new list")
    refused = fleet.call("confirm", key="k")
    assert refused.headers["X-Run-State"] == "not_run"
    assert runs(fleet, "k") == 0
    fleet.list_endpoints()
    wait_until(lambda: fleet.call("confirm", key="k").status == 200, "the workers are back")
    assert runs(fleet, "k") == 1


def test_a_call_past_its_deadline_is_answered_at_once_and_not_sent_again(fleet):
    add_fault(fleet, Fault.SILENT)
    address = fleet.entries[0].caller_address
    answer = fleet.http.request(
        "POST",
        f"http://{address}/v1/services/slots/confirm",
        body=b"{}",
        headers={"X-Workspace": "clinic", "Idempotency-Key": "k", "X-Deadline-Ms": "1500"},
    )
    assert (answer.status, answer.headers["X-Run-State"]) == (504, "unknown")
    assert fleet.call("confirm", key="k").json()["error"]["type"] == "outcome_unknown"
    assert runs(fleet, "k") == 1


def test_a_repeatable_call_goes_on_to_the_next_worker(fleet):
    fleet.workers[0].faults.add(Fault.RESET_BEFORE_ANSWER)
    fleet.workers[1].faults.add(Fault.RESET_BEFORE_ANSWER)
    assert fleet.call("list").status == 502
    assert fleet.call("list").status == 200
    fleet.workers[0].faults.add(Fault.RESET_BEFORE_ANSWER)
    assert [fleet.call("list").status for _ in range(4)] == [200] * 4


def test_an_unrepeatable_call_needs_a_key(fleet):
    answer = fleet.call("confirm")
    assert (answer.status, answer.json()["error"]["type"]) == (400, "key_required")


def test_a_key_reused_for_another_call_is_a_conflict(fleet):
    fleet.call("confirm", key="k")
    answer = fleet.call("cancel", key="k")
    assert (answer.status, answer.json()["error"]["type"]) == (409, "key_conflict")
    assert runs(fleet, "k") == 1


def test_without_control_boxes_nothing_unrepeatable_runs(fleet):
    fleet.control.stop()
    answer = fleet.call("confirm", key="k")
    assert answer.status == 503
    assert answer.headers["X-Run-State"] == "not_run"
    assert runs(fleet, "k") == 0
