"""Messages to other boxes go on, whatever became of one of them."""

from __future__ import annotations

import logging

import pytest

from conftest import wait_until
from croftpulley.observe import events
from croftpulley.transport import senders


class Link:
    """A link whose other end answers each message with the message."""

    address = "127.0.0.1:9"

    def post(self, path, body):
        return body

    def close(self):
        pass


@pytest.fixture
def sender():
    made = senders.Sender(Link())
    yield made
    made.send(None)


def test_an_answer_that_raises_an_unexpected_error_does_not_end_the_sending(sender, caplog):
    answers = []
    failures = []

    def take(answer):
        if answer == b"1":
            raise RecursionError("too deep")
        answers.append(answer)

    with caplog.at_level(logging.ERROR):
        for body in (b"1", b"2"):
            sender.send(senders.Job("/x", body, take, failures.append))
        wait_until(lambda: answers == [b"2"], "the second message is answered")
    assert len(failures) == 1
    logged = [each for each in caplog.records if each.name == senders.__name__]
    assert [each.event for each in logged] == [events.Event.INTERNAL_ERROR]
