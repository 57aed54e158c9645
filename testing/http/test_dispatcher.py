"""Threads of a server are started as they are needed."""

from __future__ import annotations

import threading

import pytest

from conftest import wait_until
from croftpulley.http import server

MOST = 6


class Task:
    """A request that is served until it is let go."""

    def __init__(self):
        self.begun = threading.Event()
        self.may_end = threading.Event()

    def service(self):
        self.begun.set()
        self.may_end.wait()


@pytest.fixture
def growing():
    made = server.GrowingDispatcher(MOST)
    yield made
    made.shutdown(timeout=5)


def serve(growing, count):
    tasks = [Task() for _ in range(count)]
    for task in tasks:
        growing.add_task(task)
    return tasks


def test_it_starts_with_few_threads(growing):
    assert len(growing.threads) == server.FIRST_THREADS


def test_every_request_up_to_the_most_is_served_at_once(growing):
    tasks = serve(growing, MOST)
    wait_until(lambda: all(task.begun.is_set() for task in tasks), "all are served")
    assert len(growing.threads) == MOST
    for task in tasks:
        task.may_end.set()


def test_beyond_the_most_a_request_waits_for_another_to_end(growing):
    tasks = serve(growing, MOST + 1)
    wait_until(lambda: sum(task.begun.is_set() for task in tasks) == MOST, "as many as may")
    assert len(growing.threads) == MOST
    tasks[0].may_end.set()
    wait_until(lambda: all(task.begun.is_set() for task in tasks), "the last one too")
    for task in tasks:
        task.may_end.set()


def test_requests_one_after_the_other_need_no_more_threads(growing):
    # A thread counts as busy until it has come to wait for the first time.
    wait_until(lambda: not growing.active_count, "the first threads wait")
    for _ in range(20):
        (task,) = serve(growing, 1)
        task.may_end.set()
        wait_until(lambda task=task: task.begun.is_set(), "it is served")
        wait_until(lambda: not growing.active_count, "the thread waits again")
    assert len(growing.threads) == server.FIRST_THREADS


def test_requests_are_served_though_no_more_threads_can_be_started(growing, monkeypatch):
    wait_until(lambda: not growing.active_count, "the first threads wait")
    start = threading.Thread.start

    def refuse(thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", refuse)
    tasks = serve(growing, MOST)
    monkeypatch.setattr(threading.Thread, "start", start)
    wait_until(lambda: sum(task.begun.is_set() for task in tasks) == server.FIRST_THREADS, "two")
    tasks += serve(growing, 1)
    wait_until(lambda: sum(task.begun.is_set() for task in tasks) == MOST, "as many as may")
    for task in tasks:
        task.may_end.set()
    wait_until(lambda: all(task.begun.is_set() for task in tasks), "the last one too")
