"""Restarts, lost control boxes and planned stops."""

from __future__ import annotations

import ctypes
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading

import pytest

from conftest import CONFIGURATION, wait_until

PROCESS_LIMIT_S = 30


def test_configuration_and_claims_survive_a_restart_of_control(make_fleet):
    fleet = make_fleet()
    assert fleet.call("confirm", key="k").status == 200
    address = fleet.control.peer_address
    fleet.control.stop()
    fleet.control = fleet.start_control(peer_address=address)
    wait_until(lambda: fleet.call("confirm", key="k").status == 200, "control is back")
    assert sum(worker.runs["k"] for worker in fleet.workers) == 1
    assert fleet.operate("GET", "/v1/config").json()["version"] == 1
    assert fleet.submit(CONFIGURATION).json()["version"] == 1


def test_a_box_without_a_lease_takes_no_work_and_names_the_reason(make_fleet):
    fleet = make_fleet()
    box = fleet.start_entry("entry-9", control_addresses=("127.0.0.1:1",))
    fleet.entries.append(box)
    answer = fleet.chat("chat", box)
    error = answer.json()["error"]
    # Once it was told that its workspace is unknown, by a box that knows of no workspace.
    assert (answer.status, error["type"], error["run_state"]) == (503, "no_lease", "not_run")
    ready = fleet.http.request("GET", f"http://{box.operator_address}/readyz")
    assert (ready.status, ready.json()["reason"]) == (503, "no lease")


def test_a_box_that_loses_control_stops_taking_work_when_its_lease_ends(make_fleet):
    fleet = make_fleet()
    fleet.control.stop()
    assert fleet.chat("chat").status == 200
    wait_until(lambda: fleet.chat("chat").status == 503, "the lease has ended")
    error = fleet.chat("chat").json()["error"]
    assert (error["type"], error["run_state"]) == ("no_lease", "not_run")


def test_engines_of_a_box_that_vanishes_get_a_new_owner(make_fleet):
    fleet = make_fleet(entries=2)
    gone = fleet.entries.pop()
    gone.stop()
    wait_until(
        lambda: len(fleet.owned_engines(fleet.entries[0])) == 2, "the other box owns all engines"
    )
    for number in range(8):
        assert fleet.chat(f"chat-{number}").status == 200


@pytest.fixture
def entry_process(make_fleet, tmp_path):
    """Return a fleet with one more entry box that runs as a process of its own."""
    fleet = make_fleet()
    settings = {
        "box": "entry-p",
        "hall": "hall-a",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "control_addresses": [fleet.control.peer_address],
        "platform_address": fleet.platform.address,
        "renew_interval_s": 0.05,
        "entry_ttl_s": 0.3,
    }
    path = tmp_path / "entry-p.jsonc"
    path.write_text(json.dumps(settings), encoding="utf-8")
    command = pathlib.Path(sys.executable).with_name("croftpulley")
    process = subprocess.Popen(
        [str(command), "entry", "--settings", str(path)], stdout=subprocess.PIPE, text=True
    )
    try:
        started = json.loads(process.stdout.readline())
        assert started["event_name"] == "daemon_started", started
        drain = threading.Thread(target=process.stdout.read, daemon=True)
        drain.start()
        yield fleet, process, started["caller_address"]
    finally:
        if process.poll() is None:
            process.kill()
        process.wait(PROCESS_LIMIT_S)


def named(fleet):
    url = f"http://{fleet.entries[0].caller_address}/v1/entry?workspace=clinic&chat=c"
    return [entry["address"] for entry in fleet.http.request("GET", url).json()["entries"]]


def chat_owned_by(fleet, address):
    """Return a chat whose engine belongs to the box at ``address``."""
    url = f"http://{fleet.entries[0].caller_address}/v1/entry"
    for number in range(200):
        fields = {"workspace": "clinic", "chat": f"c-{number}"}
        entries = fleet.http.request("GET", url, fields=fields).json()["entries"]
        if entries[0]["address"] == address:
            return f"c-{number}"
    raise LookupError(address)


# Handed to another thread, a SIGTERM was not noticed, and the box served on until it was killed.
def test_a_planned_stop_that_reaches_another_thread_is_noticed(entry_process):
    fleet, process, address = entry_process
    wait_until(lambda: address in named(fleet), "the process is named")
    threads = {int(each) for each in os.listdir(f"/proc/{process.pid}/task")} - {process.pid}
    assert ctypes.CDLL(None).tgkill(process.pid, max(threads), int(signal.SIGTERM)) == 0
    assert process.wait(PROCESS_LIMIT_S) == 0


@pytest.mark.parametrize("way", ["direct", "forwarded"])
def test_a_planned_stop_cuts_off_nothing_and_exits_with_0(entry_process, way):
    fleet, process, address = entry_process
    wait_until(lambda: address in named(fleet), "the process is named")
    wait_until(lambda: len(fleet.owned_engines(fleet.entries[0])) == 1, "both own an engine")
    send_to = address if way == "direct" else fleet.entries[0].caller_address
    stream = fleet.http.request(
        "POST",
        f"http://{send_to}/v1/chat/completions",
        body=json.dumps(
            {
                "model": "triage",
                "messages": [{"role": "user", "content": "q"}],
                "stream": True,
                "max_tokens": 60,
                "metadata": {"token_interval_ms": 20},
            }
        ),
        headers={"X-Workspace": "clinic", "X-Chat": chat_owned_by(fleet, address)},
        preload_content=False,
    )
    assert stream.status == 200
    os.kill(process.pid, signal.SIGTERM)
    wait_until(lambda: address not in named(fleet), "the process is named no more")
    assert process.poll() is None
    assert stream.read().endswith(b"data: [DONE]\n\n")
    assert process.wait(PROCESS_LIMIT_S) == 0
    # One attempt was enough: nothing was cut off and resumed.
    assert sum(len(engine.records()) for engine in fleet.engines) == 1
    wait_until(
        lambda: len(fleet.owned_engines(fleet.entries[0])) == 2, "its engines have a new owner"
    )


def test_a_killed_box_loses_no_engine_for_long(entry_process):
    fleet, process, address = entry_process
    wait_until(lambda: address in named(fleet), "the process is named")
    process.kill()
    wait_until(lambda: address not in named(fleet), "the process is named no more")
    wait_until(
        lambda: len(fleet.owned_engines(fleet.entries[0])) == 2, "its engines have a new owner"
    )
