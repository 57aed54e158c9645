"""How the real programs end when they cannot go on, and that they go on where they can."""

from __future__ import annotations

import errno
import http.client
import pathlib
import resource
import socket

import attrs
import orjson
import pytest

import client_crowds
import crowd_site
from conftest import wait_until
from croftpulley import codes
from croftpulley.observe import events
from soak import processes

PLACES = ("router", "replica", "redirector", "control", "entry")


@pytest.fixture
def site(tmp_path):
    site = crowd_site.Site(tmp_path)
    yield site
    site.stop()


def lines(program, event):
    """Return the log lines of an event."""
    found = []
    for line in program.log_tail(10_000).splitlines():
        fields = orjson.loads(line) if line.startswith("{") else {}
        if fields.get("event") == event:
            found.append(fields)
    return found


@pytest.mark.parametrize("kind", PLACES)
def test_a_program_whose_address_is_taken_ends_with_the_cause_in_its_last_line(
    site, kind, tmp_path
):
    first = getattr(site, kind)().program
    wait_until(lambda: first.is_up, "the first one is up", crowd_site.START_LIMIT_S)
    folder = tmp_path / "second"
    folder.mkdir()
    changes = {"box": "second-0"}
    if "data_folder" in first.settings:
        changes["data_folder"] = str(folder / "data")
    second = processes.Program(kind, first.settings | changes, folder)
    second.start()
    wait_until(lambda: not second.runs, "the second one has ended", crowd_site.START_LIMIT_S)
    assert second.exit_code == codes.ResultCode.INTERNAL.value
    last = orjson.loads(second.log_tail(1))
    assert last["event"] == events.Event.DAEMON_FAILED
    assert "127.0.0.1:" in last["problem"]
    assert first.runs


def test_a_control_box_with_a_damaged_log_says_so_and_is_not_busy_with_it(site, tmp_path):
    place = site.replica()
    program = place.program
    wait_until(place.ordinary.is_answered, "it leads", crowd_site.START_LIMIT_S)
    program.kill()
    (path,) = pathlib.Path(program.settings["data_folder"]).glob("log-*")
    sound = path.read_bytes()
    damaged = bytearray(sound)
    damaged[20] ^= 0xFF
    path.write_bytes(bytes(damaged) + sound)
    program.start()
    wait_until(
        lambda: len(lines(program, events.Event.DISK_FAILED)) >= 2,
        "it has tried again",
        crowd_site.START_LIMIT_S,
    )
    assert not lines(program, events.Event.INTERNAL_ERROR)
    assert program.runs


def test_a_data_folder_that_cannot_be_made_is_the_cause_in_the_last_line(site, tmp_path):
    program = site.replica().program
    wait_until(lambda: program.is_up, "it is up", crowd_site.START_LIMIT_S)
    program.kill()
    taken = tmp_path / "taken"
    taken.write_bytes(b"")
    program.start(data_folder=str(taken / "data"))
    wait_until(lambda: not program.runs, "it has ended", crowd_site.START_LIMIT_S)
    assert program.exit_code == codes.ResultCode.INTERNAL.value
    last = orjson.loads(program.log_tail(1))
    assert last["event"] == events.Event.DAEMON_FAILED
    assert f"[Errno {errno.ENOTDIR}]" in last["problem"]


def test_a_router_near_its_machines_memory_refuses_until_it_has_some_again(site):
    # Rooms far beyond the machine stand for a cause that nothing else bounds.
    site.http["request_total_bytes"] = 100 * client_crowds.MAX_BODY_BYTES
    site.router_changes["memory_limit_bytes"] = 1
    place = site.router()
    wait_until(place.ordinary.is_answered, "the router serves", crowd_site.START_LIMIT_S)
    refused = attrs.evolve(place.ordinary, status=503)
    holders = [hold_body(place) for _ in range(60)]
    wait_until(refused.is_answered, "it refuses")
    assert place.program.runs
    for each in holders:
        each.close()
    wait_until(place.ordinary.is_answered, "it serves again")
    assert lines(place.program, events.Event.MEMORY_SHORT)
    assert lines(place.program, events.Event.MEMORY_SUFFICES)


def hold_body(place):
    """Send a request up to the last byte of its body; return the connection."""
    host, _, port = place.ordinary.address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    head = f"{place.crowd_head.decode()}Content-Length: {client_crowds.MAX_BODY_BYTES}\r\n\r\n"
    connection.sendall(head.encode() + b"x" * (client_crowds.MAX_BODY_BYTES - 1))
    return connection


@pytest.mark.parametrize("kind", ["replica", "redirector", "control"])
def test_memory_that_grows_is_logged_by_control_boxes_too(site, kind):
    site.http["request_total_bytes"] = 100 * client_crowds.MAX_BODY_BYTES
    place = getattr(site, kind)()
    wait_until(place.ordinary.is_answered, "it serves", crowd_site.START_LIMIT_S)
    holders = [hold_body(place) for _ in range(50)]
    wait_until(lambda: lines(place.program, events.Event.MEMORY_GROWN), "it is logged")
    assert lines(place.program, events.Event.MEMORY_GROWN)[-1]["request_bytes"] > 0
    for each in holders:
        each.close()


def test_a_router_without_descriptors_serves_those_it_has_and_all_once_it_has_more(site):
    place = site.router()
    wait_until(place.ordinary.is_answered, "the router serves", crowd_site.START_LIMIT_S)
    before = resource.prlimit(place.program.pid, resource.RLIMIT_NOFILE)
    host, _, port = place.ordinary.address.rpartition(":")
    kept = http.client.HTTPConnection(host, int(port), timeout=20)
    assert asked_on(kept, place) == 200
    opened = len(list(pathlib.Path(f"/proc/{place.program.pid}/fd").iterdir()))
    resource.prlimit(place.program.pid, resource.RLIMIT_NOFILE, (opened + 1, before[1]))
    crowd = [socket.create_connection((host, int(port))) for _ in range(20)]
    wait_until(lambda: lines(place.program, events.Event.DESCRIPTORS_USED_UP), "it is logged")
    assert place.program.runs
    resource.prlimit(place.program.pid, resource.RLIMIT_NOFILE, before)
    for each in crowd:
        each.close()
    wait_until(place.ordinary.is_answered, "it serves again")
    kept.close()


def asked_on(connection, place):
    """Return the status of an ordinary request on a connection."""
    ordinary = place.ordinary
    connection.request(ordinary.method, ordinary.path, ordinary.body, ordinary.headers)
    response = connection.getresponse()
    response.read()
    return response.status
