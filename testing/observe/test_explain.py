"""Tests of the explanation of a request from the processes' log lines."""

from __future__ import annotations

import orjson
import pytest
from click import testing as click_testing

from croftpulley import codes
from croftpulley.cli import main
from croftpulley.observe import events, explain

Event = events.Event
ID = "9c41"


def log_line(time, event, box="router-1", **fields):
    document = {"time": time, "box": box, "event": event.value, "event_name": event.name.lower()}
    return orjson.dumps(document | {"level": "INFO", "message": "…"} | fields).decode()


def refused(code, time="10:00:09", **fields):
    return log_line(time, Event.REQUEST_REFUSED, request_id=ID, code=code, attempts=0, **fields)


def chosen(time="10:00:01", **fields):
    given = {"load": 1, "mean_load": 1.0, "reading_tokens": 0, "held_tokens": 0, "prompt_tokens": 0}
    given |= {"request_id": ID, "endpoint": "e-1"}
    return log_line(time, Event.ENDPOINT_CHOSEN, **given | fields)


def answered(time="10:00:02", **fields):
    given = {"code": "OK", "status": 200, "endpoint": "e-1", "after_s": 1.5}
    return log_line(time, Event.REQUEST_ANSWERED, request_id=ID, **given | fields)


def rest_asked(time, endpoint, pool, rest_s):
    """Return a rest that an endpoint asked for in its response to another request."""
    fields = {"endpoint": endpoint, "pool": pool, "rest_s": rest_s}
    return log_line(time, Event.REST_ASKED, request_id="another", **fields)


def held_back(extra):
    fields = {"repeats_spent": 4, "repeats_earned": 4.2, "repeats_extra": extra}
    return log_line("10:00:08", Event.REPEAT_HELD_BACK, request_id=ID, **fields)


def permit_line(event, **changes):
    """Return the line of a decision on a permit."""
    fields = {"waited_s": 0.2, "ahead": 3, "starts_in_s": 0.6, "patience_s": 0.3}
    return log_line("10:00:01", event, request_id=ID, **fields | changes)


def explain_request(*lines):
    return explain.explain(ID, explain.parse_lines(lines))


@pytest.mark.parametrize(
    ("lines", "cause", "event_names"),
    [
        (
            [
                log_line(
                    "10:00:01", Event.ENDPOINT_ENDED, box="r-2", endpoint="e-1", fingerprints=["f"]
                ),
                log_line(
                    "10:00:02", Event.REQUEST_SUSPECTED, box="c-1", fingerprint="f", crashes=3
                ),
                log_line(
                    "10:00:03", Event.ENDPOINT_ENDED, box="r-2", endpoint="e-2", fingerprints=["g"]
                ),
                log_line(
                    "10:00:04", Event.REQUEST_SUSPECTED, box="c-1", fingerprint="g", crashes=2
                ),
                refused("REQUEST_CRASHES", fingerprint="f", problem="3 endpoints ended under f"),
            ],
            "3 endpoints ended under f, at whichever router it came",
            ["endpoint_ended", "request_suspected", "request_refused"],
        ),
        (
            [
                log_line("10:00:01", Event.REST_ASKED, request_id=ID, endpoint="e-1", rest_s=3.0),
                log_line("10:00:02", Event.ENGINE_ATTEMPT_FAILED, request_id=ID, engine="e-1"),
                refused("DECLINED"),
            ],
            "e-1 asked this box for 3.0 s of rest.",
            ["rest_asked", "engine_attempt_failed", "request_refused"],
        ),
        (
            [
                rest_asked("10:00:01", "e-1", "llm", 1.0),
                rest_asked("10:00:02", "e-1", "llm", 3.0),
                rest_asked("10:00:03", "e-2", "llm", 2.0),
                rest_asked("10:00:04", "w-1", "desk", 9.0),
                refused("ENDPOINTS_RESTING", problem="pool 'llm': 2 endpoints want none"),
            ],
            "they had asked this box for rest. e-1 for 3.0 s. e-2 for 2.0 s.",
            ["rest_asked", "rest_asked", "request_refused"],
        ),
        (
            [
                rest_asked("10:00:01", "e-1", "llm", 1.0),
                log_line("10:00:02", Event.REST_ENDED, endpoint="e-1", rest_s=1.0, sent_since=0),
                refused("NO_CAPACITY", problem="pool 'llm': 1 endpoints that rested lately"),
            ],
            "1 endpoints that rested lately",
            ["rest_asked", "rest_ended", "request_refused"],
        ),
        (
            [
                log_line("10:00:01", Event.ENDPOINT_ENDED, endpoint="e-1", parts=["part-aa"]),
                log_line("10:00:02", Event.ENDPOINT_ENDED, endpoint="e-2", parts=["part-bb"]),
                log_line("10:00:03", Event.ENDPOINT_CHOSEN, request_id="other", parts=["aa"]),
                refused(
                    "REQUEST_CRASHES",
                    fingerprint="f",
                    parts=["bb", "aa"],
                    problem="4 endpoints ended under the prompts' part part-aa",
                ),
            ],
            "ended under the prompts' part part-aa, at whichever router it came",
            ["endpoint_ended", "request_refused"],
        ),
        (
            [
                log_line("10:00:01", Event.ENDPOINT_ENDED, endpoint="e-1", fingerprints=["f"]),
                refused("REQUEST_ON_TRIAL", fingerprint="f", problem="2 endpoints ended under f"),
            ],
            "runs at one endpoint at a time",
            ["endpoint_ended", "request_refused"],
        ),
        (
            [
                log_line("10:00:01", Event.ENDPOINT_ENDED, endpoint="e-1", fingerprints=["f"]),
                refused("WORKER_BROKE", fingerprint="f", run_state="ran", problem="e-1 broke off"),
            ],
            "The endpoint ended while it had this request.",
            ["endpoint_ended", "request_refused"],
        ),
        (
            [
                log_line("10:00:05", Event.RENEW_FAILED, address="control-1"),
                log_line("10:00:08", Event.LEASE_LOST),
                log_line("10:00:07", Event.REPLICA_ROLE, box="control-2", role="leader"),
                log_line("10:00:09", Event.LEASE_LOST, box="router-2"),
                refused("NO_LEASE"),
            ],
            "no word from the leading control box",
            ["renew_failed", "replica_role", "lease_lost", "request_refused"],
        ),
        (
            [log_line("10:00:08", Event.DAEMON_STARTED), refused("NO_CONFIGURATION")],
            "had just started",
            ["daemon_started", "request_refused"],
        ),
        (
            [log_line("10:00:08", Event.DRAIN_STARTED), refused("DRAINING")],
            "planned stop",
            ["drain_started", "request_refused"],
        ),
        ([refused("NO_ENGINE")], "knew no endpoint", ["request_refused"]),
        (
            [
                log_line("10:00:07", Event.HALLS_IN_FORCE, box="control-1", hall="hall-b"),
                log_line("10:00:08", Event.HALLS_CHANGED, evacuated=["hall-b"]),
                refused("NO_ENGINE", problem="no endpoint but in evacuated halls: hall-b"),
            ],
            "Operators have evacuated halls: no endpoint but in evacuated halls: hall-b",
            ["halls_in_force", "halls_changed", "request_refused"],
        ),
        (
            [refused("ENDPOINTS_COLD", problem="pool 'llm': 3 cold")],
            "pool 'llm': 3 cold",
            ["request_refused"],
        ),
        (
            [refused("KEY_UNKNOWN", configuration_version=7)],
            "no such route or key in version 7",
            ["request_refused"],
        ),
        ([refused("ARM_REFUSED", problem="by arm 'a'")], "by arm 'a'", ["request_refused"]),
        ([refused("CALLER_GONE", after_s=0.4)], "went away after 0.4 s", ["request_refused"]),
        (
            [refused("WORKER_BROKE", run_state="unknown", problem="reset")],
            "Whether it ran is not known",
            ["request_refused"],
        ),
        (
            [chosen(load=9, mean_load=2.0), answered()],
            "more in flight than the others",
            ["endpoint_chosen", "request_answered"],
        ),
        (
            [chosen(reading_tokens=9000), answered()],
            "waited behind 9000 prompt tokens",
            ["endpoint_chosen", "request_answered"],
        ),
        (
            [chosen(prompt_tokens=9200, held_tokens=200), answered()],
            "had to read 9000 tokens",
            ["endpoint_chosen", "request_answered"],
        ),
        (
            [chosen(), answered(status=500)],
            "e-1 itself failed it with status 500",
            ["endpoint_chosen", "request_answered"],
        ),
        (
            [chosen(), answered(code="WORKER_BROKE")],
            "The answer of e-1 broke off",
            ["endpoint_chosen", "request_answered"],
        ),
        (
            [chosen(), log_line("10:00:05", Event.DAEMON_STARTED)],
            "ended without a word",
            ["endpoint_chosen", "daemon_started"],
        ),
        ([chosen()], "has no end in these logs", ["endpoint_chosen"]),
        (
            [log_line("10:00:05", Event.LEASE_GAINED), held_back(0.0), refused("DECLINED")],
            "It was sent nowhere else: 4 repeats of this box count, its requests earned 4.2",
            ["lease_gained", "repeat_held_back", "request_refused"],
        ),
        (
            [log_line("10:00:05", Event.LEASE_GAINED), held_back(6.44), refused("WORKER_BROKE")],
            "and its share of the extra is 6.44",
            ["repeat_held_back", "request_refused"],
        ),
    ],
)
def test_the_explanation_has_the_cause_and_its_supporting_lines(lines, cause, event_names):
    explanation = explain_request(*lines)
    assert cause in explanation.cause
    assert [line.event_name for line in explanation.lines] == event_names


def test_a_wait_for_a_permit_is_described():
    explanation = explain_request(permit_line(Event.ROOM_WAITED), chosen(), answered())
    assert "waited 0.2 s for a permit of its pool, with 3 ahead" in explanation.cause


def test_a_refused_permit_is_described_with_its_figures():
    problem = "pool 'llm': 5 of 5 permits"
    explanation = explain_request(
        permit_line(Event.ROOM_REFUSED), refused("NO_CAPACITY", problem=problem)
    )
    assert problem in explanation.cause
    assert "a start was expected in 0.6 s, and it could wait 0.3 s" in explanation.cause


def test_a_request_passed_to_a_peer_ends_with_the_first_box():
    unreachable = log_line("10:00:00", Event.POOL_OUT_OF_REACH, pool="llm", lost=["llm"])
    peer_refusal = refused("OUT_OF_REACH", hop_from="router-0")
    fields = {"request_id": ID, "peer": "router-2", "pool": "llm"}
    hopped = log_line("10:00:02", Event.REQUEST_HOPPED, **fields)
    explanation = explain_request(unreachable, peer_refusal, hopped, answered())
    assert "by way of router-2" in explanation.cause
    assert "Refused" not in explanation.cause


def stream_resumed(outcome, **fields):
    given = {"resumes": "7b", "after_event": "3", "pool": "llm", "version": "", "known_by": ""}
    return log_line(
        "10:00:00", Event.STREAM_TAKEN_UP, request_id=ID, outcome=outcome, **given | fields
    )


def test_a_resumed_stream_is_described_with_its_version_and_its_source():
    known = stream_resumed("known", version="v2", known_by="router-3")
    explanation = explain_request(known, chosen(version="v2"), answered())
    assert "takes up stream '7b' behind event 3, which began in pool 'llm' at" in explanation.cause
    assert "version 'v2', as router-3 knew. Its attempts went to v2." in explanation.cause


def test_a_stream_of_unknown_origin_is_the_cause_of_its_refusal():
    explanation = explain_request(
        stream_resumed("unknown"), refused("ORIGIN_UNKNOWN", problem="stream '7b': nobody")
    )
    assert explanation.cause.startswith("Refused, not run: stream '7b': nobody.")
    assert "has, or may have had, several versions" in explanation.cause


def test_attempts_at_several_versions_are_described():
    explanation = explain_request(chosen(version="v1"), chosen(version="v2"), answered())
    assert "Its attempts went to v1, v2." in explanation.cause


def test_an_id_without_log_lines_gets_the_count_of_left_out_notes():
    explanation = explain_request(
        log_line("10:00:01", Event.LOG_LINES_LEFT_OUT, lines=30), chosen(request_id="other")
    )
    assert "No process wrote a line" in explanation.cause
    assert "(1 notes of lines left out)" in explanation.cause


def test_lines_without_an_event_are_skipped():
    lines = ["plain text", "{not json", '{"no": "event"}', f"  45.301 router-1 {answered()}"]
    assert [line.event_name for line in explain.parse_lines(lines)] == ["request_answered"]


@pytest.mark.parametrize("code", codes.ResultCode)
def test_every_result_code_has_a_cause(code):
    assert explain_request(refused(code.name, run_state="not_run")).cause


def test_the_command_reads_the_logs_of_all_processes(tmp_path):
    router, control = tmp_path / "router.log", tmp_path / "control.log"
    router.write_text(f"{log_line('10:00:08', Event.LEASE_LOST)}\n{refused('NO_LEASE')}\n")
    control.write_text(
        f"{log_line('10:00:07', Event.REPLICA_ROLE, box='control-1', role='leader')}\n"
    )
    result = click_testing.CliRunner().invoke(
        main.cli, ["explain", ID, "--logs", str(router), "--logs", str(control), "--json"]
    )
    explanation = orjson.loads(result.output)
    assert "no word from the leading control box" in explanation["cause"]
    assert len(explanation["lines"]) == 3
