"""Drawn responses, most of them spoilt: what is told as whole is what the rules allow."""

from __future__ import annotations

import os
import socket
import threading

import pytest

from croftpulley import cancel, errors
from croftpulley.core import attempts
from croftpulley.endpoints import connection
from endpoints import drawn_responses

SEEDS = range(int(os.environ.get("CROFTPULLEY_RESPONSE_SEEDS", "1500")))
"""More of them by hand."""


@pytest.fixture
def endpoint():
    """Return the address of an endpoint, and the list of what it answers next, last first."""
    listener = socket.create_server(("127.0.0.1", 0))
    answers = []

    def serve():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                # The listener is closed, which ends the test.
                return
            with sock:
                sock.recv(4096)
                sock.sendall(answers.pop())

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield f"127.0.0.1:{listener.getsockname()[1]}", answers
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()


def read(address):
    """Return what is told of a response, ``None`` if it is none."""
    target = connection.Target(address, 5.0, 5.0)
    attempt = attempts.Attempt(1, "e")
    exchange = connection.Exchange(
        target, attempt, cancel.CancelToken(), connection.WORKER_FAILURES
    )
    try:
        response = exchange.begin(connection.HttpRequest("GET", "/x"))
        return drawn_responses.Reading(response.status, exchange.read_all(10_000))
    except errors.CroftpulleyError:
        return None
    finally:
        exchange.close()


def test_what_is_told_as_whole_is_what_the_rules_allow(endpoint):
    address, answers = endpoint
    wrong = []
    for seed in SEEDS:
        data = drawn_responses.draw(seed)
        answers.append(data)
        got, expected = read(address), drawn_responses.allowed(data)
        if got != expected:
            wrong.append((seed, data, got, expected))
    assert not wrong, f"{len(wrong)} of {len(SEEDS)}: {wrong[:3]}"


def test_both_sound_and_spoilt_responses_are_drawn():
    allowed = [drawn_responses.allowed(drawn_responses.draw(seed)) for seed in range(200)]
    assert 40 <= sum(each is None for each in allowed) <= 160
