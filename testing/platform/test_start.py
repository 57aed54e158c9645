"""What a program loads before it serves its first request: a count, not a time."""

from __future__ import annotations

import subprocess
import sys

import pytest

MOST_MODULES = {"router": 400, "replica": 410}
"""A few more than today. Each costs a router about a millisecond of processor time at its start."""
PROGRAM = """
import sys
from croftpulley.daemons import start_up
start_up.begin()
from croftpulley.platform import launch
from croftpulley.daemons import {daemon}, settings_watch, signals
from croftpulley.platform import boot, {interface}
print(*sys.modules)
"""


@pytest.fixture(params=[("router", "callers"), ("replica", "operators")], ids=lambda each: each[0])
def loaded(request):
    """Return the name of a program and the modules that it has loaded when it begins to serve."""
    daemon, interface = request.param
    program = PROGRAM.format(daemon=daemon, interface=interface)
    command = [sys.executable, "-c", program]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    return daemon, set(output.split())


def test_few_modules_are_loaded(loaded):
    daemon, modules = loaded
    assert len(modules) <= MOST_MODULES[daemon]


@pytest.mark.parametrize("library", ["prometheus_client", "json5", "grpc", "click", "_ssl"])
def test_what_serves_no_request_is_not_loaded(loaded, library):
    _, modules = loaded
    assert library not in modules


def test_what_is_asked_for_later_may_load_what_was_left_out():
    program = """
from croftpulley.daemons import start_up
start_up.begin()
from croftpulley.daemons import router
from croftpulley.observe import metrics
from croftpulley.transport import links
start_up.finish()
import gc, ssl, hashlib
counters = metrics.Metrics()
counters.control_failed("kind")
print(gc.isenabled(), b'kind="kind"' in counters.render())
try:
    links.Link("127.0.0.1:9", 0.2, counters).post("/", b"")
except Exception as failure:
    print(type(failure).__name__)
"""
    command = [sys.executable, "-c", program]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert output.split() == ["True", "True", "CroftpulleyError"]
