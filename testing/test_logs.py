"""Tests of the logs: limits on lines, no blocking of callers, valid JSON."""

from __future__ import annotations

import errno
import io
import json
import logging
import threading

import orjson
from pythonjsonlogger import json as json_log

from croftpulley import codes, errors
from croftpulley.observe import events, logs


def make_handler(stream, max_lines_per_s):
    handler = logs.BoundedHandler(stream, max_lines_per_s)
    handler.setFormatter(json_log.JsonFormatter())
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return handler, logger


def test_dropped_lines_are_counted_in_the_log(monkeypatch):
    now = [0.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: now[0])
    stream = io.StringIO()
    handler, logger = make_handler(stream, 3)
    for number in range(10):
        logger.info("line", extra={"number": number})
    now[0] = 1.0
    logger.info("later")
    handler.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line.get("number") for line in lines[:3]] == [0, 1, 2]
    assert lines[3]["lines"] == 7
    assert lines[4]["message"] == "later"


def test_warnings_have_a_budget_besides_that_of_ordinary_lines():
    budget = logs.LogBudget(5)
    ordinary = [budget.take(logging.INFO, 0.0) for _ in range(10)]
    warnings = [budget.take(logging.WARNING, 0.0) for _ in range(10)]
    assert (sum(ordinary), sum(warnings)) == (5, 5)


def test_a_blocked_stream_does_not_block_logging():
    class BlockedStream(io.StringIO):
        released = threading.Event()

        def write(self, text):
            BlockedStream.released.wait()
            return super().write(text)

    handler, logger = make_handler(BlockedStream(), 10**9)
    for _ in range(5000):
        logger.info("line")
    BlockedStream.released.set()
    handler.close()


def test_an_error_with_a_result_code_is_not_logged_again():
    # The server logged a 4 KB traceback for each stream that was broken off on purpose. In a burst
    # of failures these used up the budget of lines.
    stream = io.StringIO()
    handler, logger = make_handler(stream, 10)
    logger.addFilter(logs.ReportedErrorFilter())
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


def test_infinite_values_are_logged_as_null(caplog):
    # A box that never had a lease logged -Infinity, which isn't JSON, and readers dropped the line.
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
    document = orjson.loads(line)
    assert (document["lease_left_s"], document["loads_age_s"], document["after_s"]) == (
        None,
        None,
        0.5,
    )


def test_a_disk_that_is_full_for_a_while_does_not_end_the_log():
    class FullDisk(io.StringIO):
        failures = 3

        def write(self, text):
            if self.failures:
                self.failures -= 1
                raise OSError(errno.ENOSPC, "No space left on device")
            return super().write(text)

    stream = FullDisk()
    handler, logger = make_handler(stream, 100)
    for number in range(5):
        logger.info("line", extra={"number": number})
    handler.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["number"] for line in lines if "number" in line] == [3, 4]
    assert [line["lines"] for line in lines if "lines" in line] == [3]


def test_a_line_that_cannot_be_written_does_not_end_the_log():
    class Unprintable:
        def __str__(self):
            raise RuntimeError("no text")

        __repr__ = __str__

    stream = io.StringIO()
    handler, logger = make_handler(stream, 100)
    logger.info("line", extra={"number": Unprintable()})
    logger.info("later")
    handler.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["message"] for line in lines][-1] == "later"
