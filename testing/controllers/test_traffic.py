from __future__ import annotations

from croftpulley import clock as clocks
from croftpulley.controllers import traffic
from croftpulley.core import calls, retry_budget, selection, sessions


def test_an_endpoint_without_anything_to_read_leaves_no_entry():
    # Endpoints have a new name with every start, and every renewal carries the entries.
    made = traffic.Traffic(retry_budget.Allowance(), selection.Rates(), clocks.ManualClock())
    made.enter("worker-1")
    made.begin_reading(calls.CallFacts(request_id="r"), "worker-1", 0)
    made.leave("worker-1")
    assert made.load() == sessions.Load()
