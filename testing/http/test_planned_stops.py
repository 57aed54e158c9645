"""Whom a server waits for before it is stopped."""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
import time

import pytest

from conftest import wait_until
from croftpulley.http import server, wsgi
from croftpulley.settings import schema

ANY = "127.0.0.1:0"
LARGE_BYTES = 1_000_000
THREADS = 4
WORK_S = 0.05
"""Longer than between two looks at who is owed something."""
MAY_WORK = threading.Event()
MAY_WORK.set()


@pytest.fixture
def serving():
    limits = schema.HttpLimits()
    made = server.HttpServer(wsgi.Application(answer, limits.header_count), ANY, THREADS, limits)
    made.start()
    yield made
    MAY_WORK.set()
    made.stop()


def answer(request):
    if request.path == "/large":
        return wsgi.Response(200, "text/plain", bytes(LARGE_BYTES))
    MAY_WORK.wait()
    time.sleep(WORK_S)
    return wsgi.Response(200, "text/plain", b"short")


def connect(serving):
    host, _, port = serving.address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=20)


def ask_large(serving):
    """Return a response of which only the head has been read."""
    connection = connect(serving)
    connection.connect()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    connection.request("GET", "/large")
    return connection.getresponse()


def test_nobody_is_waited_for_where_nothing_is_owed(serving):
    connection = connect(serving)
    connection.request("GET", "/")
    assert connection.getresponse().read() == b"short"
    serving.wait_until_taken(600.0)
    connection.close()


def test_a_caller_that_reads_is_waited_for(serving):
    response = ask_large(serving)
    taken = []
    reader = threading.Thread(target=lambda: taken.append(len(response.read())))
    reader.start()
    serving.wait_until_taken(600.0)
    serving.stop()
    reader.join()
    assert taken == [LARGE_BYTES]


def test_a_caller_that_reads_nothing_is_not_waited_for(serving):
    response = ask_large(serving)
    serving.wait_until_taken(600.0)
    response.close()


def test_the_wait_has_an_end(serving):
    response = ask_large(serving)
    serving.wait_until_taken(0.0)
    response.close()


def test_callers_that_come_meanwhile_are_not_waited_for(serving):
    serving.close_connections()
    is_over = threading.Event()

    def ask_again_and_again():
        while not is_over.is_set():
            connection = connect(serving)
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection.request("GET", "/")
                connection.getresponse().read()
            connection.close()

    callers = [threading.Thread(target=ask_again_and_again) for _ in range(3 * THREADS)]
    for each in callers:
        each.start()
    wait_until(lambda: len(serving._server.active_channels) > THREADS, "some wait for others")
    serving.wait_until_taken(600.0)
    is_over.set()
    for each in callers:
        each.join()


def ask_in_thread(serving, path):
    """Send one request; return the thread that reads its answer into the list beside it."""
    answers = []

    def ask():
        connection = connect(serving)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET", path)
            answers.append(connection.getresponse().read())
        connection.close()

    caller = threading.Thread(target=ask)
    caller.start()
    return caller, answers


# Those that no thread had begun on were dropped without an answer.
def test_requests_that_have_been_read_are_answered_before_the_end(serving):
    MAY_WORK.clear()
    asked = [ask_in_thread(serving, "/") for _ in range(3 * THREADS)]
    channels = serving._server.active_channels
    wait_until(
        lambda: sum(bool(each.requests) for each in list(channels.values())) == len(asked),
        "all have been read",
    )
    MAY_WORK.set()
    serving.stop()
    for caller, _ in asked:
        caller.join()
    assert [answers for _, answers in asked] == [[b"short"]] * len(asked)


# Each that came started one more thread, and the server waited for those as long as it may wait.
def test_no_thread_is_started_for_those_that_come_while_a_server_ends(serving, monkeypatch):
    is_over = threading.Event()

    def ask_again_and_again():
        while not is_over.is_set():
            caller, _ = ask_in_thread(serving, "/")
            caller.join()

    callers = [threading.Thread(target=ask_again_and_again) for _ in range(3 * THREADS)]
    for each in callers:
        each.start()
    wait_until(lambda: len(serving._server.active_channels) > THREADS, "callers come")
    started = []
    dispatcher = serving._server.task_dispatcher
    shut_down = dispatcher.shutdown

    def watch_starts(**limits):
        start = dispatcher.start_new_thread
        dispatcher.start_new_thread = lambda *given: (started.append(given), start(*given))
        return shut_down(**limits)

    monkeypatch.setattr(dispatcher, "shutdown", watch_starts)
    serving.stop()
    is_over.set()
    for each in callers:
        each.join()
    assert started == []
