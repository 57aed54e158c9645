"""The end of a listening address, beside answers that have just been given.

What was seen: one run of all tests failed where a box of the tests was stopped, with ``OSError: Bad
file descriptor`` out of the call that wakes the server's loop. The order of events: a thread
answers and wakes the loop; the server is stopped and hands the loop what closes it; the loop, awake
for the answer, runs that at once; only then does the stopping thread write its own byte, to a
descriptor that is closed. Cause: any thread may wake the loop, and the loop alone closes what it is
woken by, with nothing between the two. Evidence: both tests below bring about that order, and the
byte of the second went into a file that another had opened meanwhile.
"""

from __future__ import annotations

import errno
import http.client
import os
import socket
import threading

import pytest

from conftest import wait_until
from croftpulley.http import server, wsgi
from croftpulley.observe import events
from croftpulley.settings import schema


def answer(request):
    return wsgi.Response(200, wsgi.JSON, b"{}")


@pytest.fixture
def http_server():
    limits = schema.HttpLimits()
    application = wsgi.Application(answer, limits.header_count)
    one = server.HttpServer(application, "127.0.0.1:0", 2, limits)
    one.start()
    return one


@pytest.fixture
def wake_late(http_server, monkeypatch):
    """Have an answer wake the loop, and the one that stops it only when the loop has ended."""
    trigger = http_server._server.trigger
    wake = trigger._physical_pull

    def make(meanwhile=lambda: None):
        def late():
            if threading.current_thread() is not threading.main_thread():
                return wake()
            wake()
            http_server._thread.join(10)
            assert not http_server._thread.is_alive()
            meanwhile()
            return wake()

        monkeypatch.setattr(trigger, "_physical_pull", late)
        return trigger

    return make


def test_a_server_stops_while_its_loop_is_awake_for_an_answer(http_server, wake_late):
    wake_late()
    http_server.stop()
    assert not http_server._thread.is_alive()


def test_a_server_that_has_ended_writes_to_nobody_elses_file(http_server, wake_late, tmp_path):
    opened = []
    trigger = wake_late(lambda: opened.extend(take_number(trigger.trigger, tmp_path / "others")))
    http_server.stop()
    for each in opened:
        os.close(each)
    assert (tmp_path / "others").read_bytes() == b""


def take_number(number, path):
    """Return descriptors of a file, opened until one of them has the given number."""
    opened = [os.open(path, os.O_RDWR | os.O_CREAT)]
    while opened[-1] < number:
        opened.append(os.open(path, os.O_RDWR | os.O_CREAT))
    return opened


def logged(caplog):
    """Return what the server has logged; threads of the test before may still log something."""
    return [each for each in caplog.records if each.name == server.__name__]


def ask(http_server):
    """Return the status of a request on a new connection."""
    host, _, port = http_server.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request("GET", "/")
    status = connection.getresponse().status
    connection.close()
    return status


def test_an_error_in_the_loop_does_not_leave_an_address_that_nobody_serves(http_server, caplog):
    failures = [MemoryError(), RuntimeError("unforeseen")]

    def look(_now_s):
        if failures:
            raise failures.pop()

    http_server._server.maintenance = look
    wait_until(lambda: not failures, "both errors")
    assert ask(http_server) == 200
    assert [each.event for each in logged(caplog)] == [events.Event.INTERNAL_ERROR] * 2
    http_server.stop()


class ShortOfDescriptors:
    """A listening socket that cannot accept, and counts the attempts."""

    def __init__(self, listening):
        self._listening = listening
        self.attempts = 0

    def __getattr__(self, name):
        return getattr(self._listening, name)

    def accept(self):
        self.attempts += 1
        raise OSError(errno.EMFILE, "Too many open files")


def test_want_of_descriptors_is_logged_and_does_not_keep_the_loop_busy(http_server, caplog):
    listening = http_server._server.socket
    short = http_server._server.socket = ShortOfDescriptors(listening)
    host, _, port = http_server.address.rpartition(":")
    waiting = socket.create_connection((host, int(port)))
    wait_until(lambda: short.attempts >= 3, "it has tried again")
    attempts = short.attempts
    http_server._server.socket = listening
    assert ask(http_server) == 200
    waiting.close()
    assert attempts < 10
    assert {each.event for each in logged(caplog)} == {events.Event.DESCRIPTORS_USED_UP}
    http_server.stop()
