"""What goes wrong between a box and an engine, over real sockets, directly and over a hop."""

from __future__ import annotations

import json
import socket

import pytest

from conftest import wait_until
from croftpulley import codes
from croftpulley.fakes import answers, faults

Fault = faults.Fault
WHOLE = "".join(
    answers.tokens(
        {"model": "triage", "messages": [{"role": "user", "content": "the question of chat"}]}, 16
    )
)


@pytest.fixture(params=["direct", "forwarded"])
def way(request):
    return request.param


@pytest.fixture
def scene(make_fleet, way):
    """Return a fleet, the box to send to, and the chat's first and second engine."""
    return make_scene(make_fleet, way)


def make_scene(make_fleet, way, **changes):
    fleet = make_fleet(entries=2, engines=2, **changes)
    first = fleet.first_engine("chat")
    second = next(each for each in fleet.engines if each is not first)
    owner = fleet.owner(first)
    other = next(box for box in fleet.entries if box is not owner)
    return fleet, owner if way == "direct" else other, first, second


def text_of(response):
    """Return the text of a stream and its last event."""
    events = [
        line.removeprefix("data: ")
        for line in response.read().decode().splitlines()
        if line.startswith("data: ")
    ]
    documents = [json.loads(event) for event in events if event != "[DONE]"]
    choices = [doc["choices"][0]["delta"] for doc in documents if doc.get("choices")]
    last = events[-1] if events[-1] == "[DONE]" else documents[-1]
    return "".join(choice.get("content", "") for choice in choices), last


@pytest.mark.parametrize("fault", [Fault.DUPLICATED, Fault.REORDERED, Fault.OVERLAPPING])
def test_disturbed_chunks_give_the_whole_answer_in_one_attempt(scene, fault):
    fleet, box, first, second = scene
    first.faults.add(fault)
    assert text_of(fleet.chat("chat", box, stream=True)) == (WHOLE, "[DONE]")
    assert len(second.records()) == 0


@pytest.mark.parametrize(
    "fault",
    [
        Fault.REFUSE,
        Fault.RESET_BEFORE_ANSWER,
        Fault.DIE_MID_STREAM,
        Fault.RESET_MID_STREAM,
        Fault.HALF_EVENT,
        Fault.NOT_JSON,
        Fault.WRONG_TOTAL,
        Fault.SILENT,
        Fault.SILENT_MID_STREAM,
    ],
)
def test_an_attempt_that_breaks_off_goes_on_at_the_other_engine(scene, fault):
    fleet, box, first, second = scene
    first.faults.add(fault)
    assert text_of(fleet.chat("chat", box, stream=True)) == (WHOLE, "[DONE]")
    wait_until(
        lambda: [record.outcome for record in second.records()] == ["finished"],
        "the second engine has finished",
    )
    wait_until(lambda: fleet.outstanding() == 0, "nothing is counted as outstanding")
    wait_until(
        lambda: all(record.outcome != "running" for record in first.records()),
        "the first engine has stopped working on the attempt",
    )


@pytest.mark.parametrize("fault", [Fault.DIE_MID_STREAM, Fault.HALF_EVENT, Fault.WRONG_TOTAL])
def test_the_other_engine_is_asked_for_the_rest_only(scene, fault):
    fleet, box, first, second = scene
    first.faults.add(fault)
    assert text_of(fleet.chat("chat", box, stream=True))[0] == WHOLE
    assert second.records()[0].resume_offset_chars > 0


@pytest.mark.parametrize(
    ("fault", "code", "state"),
    [
        (Fault.REFUSE, codes.ResultCode.ENGINE_REFUSED, "not_run"),
        (Fault.RESET_BEFORE_ANSWER, codes.ResultCode.ENGINE_BROKE, "unknown"),
    ],
)
def test_when_every_engine_fails_the_caller_learns_whether_it_ran(scene, fault, code, state):
    fleet, box, first, second = scene
    ran_before = len(first.records())
    for engine in (first, second):
        engine.faults.add(fault)
    answer = fleet.chat("chat", box)
    assert answer.status == 502
    assert answer.headers["X-Run-State"] == answer.json()["error"]["run_state"] == state
    assert answer.headers["X-Result-Code"] == str(code.value)
    assert int(answer.headers["Retry-After"]) >= 0
    ran = len(first.records()) + len(second.records()) - ran_before
    assert ran == (0 if state == "not_run" else 2)


def test_a_reset_before_the_body_is_read_is_never_told_as_not_run(scene):
    """The box cannot know how much of the request arrived."""
    fleet, box, first, second = scene
    ran_before = len(first.records())
    first.resets_connections = True
    assert text_of(fleet.chat("chat", box, stream=True)) == (WHOLE, "[DONE]")
    second.resets_connections = True
    answer = fleet.chat("chat", box)
    assert (answer.status, answer.headers["X-Run-State"]) == (502, "unknown")
    assert len(first.records()) == ran_before


def test_engines_that_cannot_be_reached_have_not_run_it(scene):
    fleet, box, first, second = scene
    for engine in (first, second):
        engine.stop()
    answer = fleet.chat("chat", box)
    error = answer.json()["error"]
    assert (answer.status, error["run_state"]) == (502, "not_run")
    assert error["type"] == "engine_unreachable"
    for engine in (first, second):
        fleet.engines.remove(engine)


def test_a_stream_that_cannot_go_on_ends_with_an_error_and_no_done(scene):
    fleet, box, first, second = scene
    for engine in (first, second):
        engine.faults.add(Fault.DIE_MID_STREAM)
    text, last = text_of(fleet.chat("chat", box, stream=True))
    assert WHOLE.startswith(text)
    assert text != WHOLE
    assert last["error"]["run_state"] == "ran"
    assert last["error"]["retry_after_s"] is not None


@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.SLOW_HEADERS])
def test_a_deadline_is_answered_at_once_with_when_to_come_back(make_fleet, way, fault):
    # The engine's silence alone would end the attempt much later.
    fleet, box, first, _ = make_scene(make_fleet, way, engine_silence_s=60.0)
    first.faults.add(fault)
    answer = fleet.chat("chat", box, headers={"X-Deadline-Ms": "1000"})
    error = answer.json()["error"]
    assert (answer.status, error["type"]) == (504, "deadline_passed")
    assert error["run_state"] == "unknown"
    assert "Retry-After" in answer.headers
    wait_until(lambda: fleet.outstanding() == 0, "the engine is told to stop")


def test_a_caller_that_goes_away_cancels_its_stream_at_the_engine(scene):
    fleet, box, first, second = scene
    first.faults.add(Fault.SILENT_MID_STREAM)
    done = len(first.records())
    host, _, port = box.caller_address.rpartition(":")
    body = json.dumps(
        {
            "model": "triage",
            "messages": [{"role": "user", "content": "the question of chat"}],
            "stream": True,
        }
    )
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: clinic\r\n"
            b"X-Chat: chat\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body.encode())
        )
        assert caller.recv(100).startswith(b"HTTP/1.1 200")
    wait_until(
        lambda: [record.outcome for record in first.records()[done:]] == ["cancelled"],
        "the engine has stopped",
    )
    # Found out by watching the caller, not by the engine's silence and a second attempt.
    assert second.records() == []
    wait_until(lambda: fleet.outstanding() == 0, "nothing is counted as outstanding")


def test_the_priority_of_the_class_reaches_the_engine(scene):
    fleet, box, first, _ = scene
    fleet.chat("chat", box, headers={"X-Class": "considered"})
    fleet.chat("chat", box, headers={"X-Class": "interactive"})
    assert [record.priority for record in first.records()[-2:]] == [1, 10]


def test_an_engine_that_is_leaving_gets_no_new_work(scene):
    fleet, box, first, second = scene
    fleet.list_endpoints(leaving=(first.settings.name,))
    done = len(first.records())

    def moved():
        fleet.chat("chat", box)
        return len(second.records()) > 0

    wait_until(moved, "the chat goes to the other engine")
    after = len(first.records())
    for _ in range(5):
        assert fleet.chat("chat", box).status == 200
    assert len(first.records()) == after >= done
    # A list that lags shows the engine as live again; leaving stays.
    fleet.list_endpoints()
    for _ in range(5):
        fleet.chat("chat", box)
    assert len(first.records()) == after


def test_a_body_near_the_limit_reaches_the_chats_engine_either_way(scene):
    # Quotes are escaped once more on the hop; the owner then refused the order as too large, and
    # the chat went cold to another engine.
    fleet, box, first, second = scene
    messages = [{"role": "user", "content": '"' * 450_000}]
    done = len(first.records())
    assert fleet.chat("chat", box, messages=messages).status == 200
    assert len(first.records()) == done + 1
    assert second.records() == []
