"""Logs are bounded, go to standard output, and are never waited for."""

from __future__ import annotations

import io
import json
import logging
import threading

import orjson
from pythonjsonlogger import json as json_log

from croftpulley import codes, errors
from croftpulley.core import log_budget
from croftpulley.observe import events, logs


def made(stream, lines_a_s):
    handler = logs.BoundedHandler(stream, lines_a_s)
    handler.setFormatter(json_log.JsonFormatter())
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return handler, logger


def test_what_is_left_out_is_counted_in_the_log(monkeypatch):
    now = [0.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: now[0])
    stream = io.StringIO()
    handler, logger = made(stream, 3)
    for number in range(10):
        logger.info("line", extra={"number": number})
    now[0] = 1.0
    logger.info("later")
    handler.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line.get("number") for line in lines[:3]] == [0, 1, 2]
    assert lines[3]["lines"] == 7
    assert lines[4]["message"] == "later"


def test_failures_go_before_successes():
    budget = log_budget.LogBudget(5)
    ordinary = [budget.take(logging.INFO, 0.0) for _ in range(10)]
    warnings = [budget.take(logging.WARNING, 0.0) for _ in range(10)]
    assert (sum(ordinary), sum(warnings)) == (5, 5)


def test_a_reader_that_does_not_read_holds_nobody_up():
    class Stuck(io.StringIO):
        released = threading.Event()

        def write(self, text):
            Stuck.released.wait()
            return super().write(text)

    handler, logger = made(Stuck(), 10**9)
    for _ in range(5000):
        logger.info("line")
    Stuck.released.set()
    handler.close()


def test_an_answer_that_was_broken_off_on_purpose_has_no_second_line():
    # The server's traceback of 4 KB a cut stream filled the budget of lines in a burst of failures.
    stream = io.StringIO()
    handler, logger = made(stream, 10)
    logger.addFilter(logs.AlreadyTold())
    for failure in (
        errors.CroftpulleyError(codes.ResultCode.WORKER_BROKE, "told before"),
        ValueError("not told before"),
    ):
        try:
            raise failure
        except Exception:
            logger.exception("Exception while serving")
    handler.close()
    assert "told before" not in stream.getvalue().replace("not told before", "")
    assert "not told before" in stream.getvalue()


def test_a_time_that_never_was_is_null_and_the_line_valid_json(caplog):
    # Refusals of a box that never had a lease carried -Infinity, and readers dropped the line.
    events.emit(
        logging.getLogger("test"),
        events.Event.LEASE_LOST,
        level=logging.ERROR,
        lease_left_s=float("-inf"),
        loads_age_s=float("inf"),
        after_s=0.5,
    )
    (record,) = caplog.records
    line = json_log.JsonFormatter("%(message)s").format(record)
    told = orjson.loads(line)
    assert (told["lease_left_s"], told["loads_age_s"], told["after_s"]) == (None, None, 0.5)
