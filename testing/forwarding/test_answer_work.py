"""Reading answers leaves time for all else, however fast their bytes come; in virtual time."""

from __future__ import annotations

import threading

import attrs
import pytest

from croftpulley import cancel, codes
from croftpulley.core import attempts
from croftpulley.endpoints import connection
from croftpulley.forwarding import sender

PART_S = 0.0005
"""Processor time of one part."""


@attrs.define(eq=False)
class Answer:
    """An answer that is read in parts, each ``wait_s`` after the one before it."""

    wait_s: float
    next_s: float = 0.0
    spent_s: float = 0.0
    rested_s: float = 0.0
    work: object = None

    @property
    def is_ahead(self):
        """Tell whether its endpoint sends more than is read."""
        return self.wait_s == 0.0


def read_for(answers, end_s):
    """Read answers one part at a time, as one processor would, until a time."""
    answer_work = sender.AnswerWork()
    now_s = 0.0
    for each in answers:
        each.work = answer_work.begin(now_s, 0.0)
    while now_s < end_s:
        each = min(answers, key=lambda answer: answer.next_s)
        now_s = max(now_s, each.next_s) + PART_S
        each.spent_s += PART_S
        rest_s = answer_work.rest_s(each.work, now_s, each.spent_s, is_ahead=each.is_ahead)
        each.rested_s += rest_s
        each.next_s = now_s + each.wait_s + rest_s
    return answer_work


@pytest.mark.parametrize("count", [1, 24, 100])
def test_answers_that_never_wait_take_half_of_a_processor_together(count):
    answers = [Answer(wait_s=0.0) for _ in range(count)]
    read_for(answers, end_s=20.0)
    spent_s = sum(each.spent_s for each in answers)
    first_s = count * (sender.FREE_WORK_S + 3 * PART_S)
    assert 0.9 * sender.WORK_SHARE * 20.0 <= spent_s <= sender.WORK_SHARE * 20.0 + first_s


def test_each_has_its_part():
    answers = [Answer(wait_s=0.0) for _ in range(24)]
    read_for(answers, end_s=20.0)
    spent_s = [each.spent_s for each in answers]
    assert max(spent_s) <= 1.5 * min(spent_s)


def test_an_answer_that_waits_for_its_endpoint_never_rests_beside_those_that_do_not():
    prompt = Answer(wait_s=99 * PART_S)
    read_for([prompt, *(Answer(wait_s=0.0) for _ in range(24))], end_s=20.0)
    assert prompt.rested_s == 0.0


def test_a_short_answer_never_rests():
    answer_work = sender.AnswerWork()
    work = answer_work.begin(0.0, 0.0)
    for number in range(1, 1 + int(sender.FREE_WORK_S / PART_S)):
        time_s = number * PART_S
        assert answer_work.rest_s(work, time_s, time_s, is_ahead=True) == 0.0


def test_an_answer_that_has_ended_takes_no_part():
    answers = [Answer(wait_s=0.0) for _ in range(24)]
    answer_work = read_for(answers, end_s=1.0)
    for each in answers[1:]:
        answer_work.end(each.work)
    left = answers[0]
    now_s, spent_s = left.next_s + 10.0, left.spent_s + 10 * PART_S
    rest_s = answer_work.rest_s(left.work, now_s, spent_s, is_ahead=True)
    assert 0.0 < rest_s <= 10 * PART_S / sender.WORK_SHARE


def test_a_rest_ends_with_its_request():
    token = cancel.CancelToken()
    exchange = connection.Exchange(
        connection.Target("127.0.0.1:9", 1.0, 1.0),
        attempts.Attempt(1, "e"),
        token,
        connection.WORKER_FAILURES,
    )
    resting = threading.Thread(target=exchange.rest, args=(600.0,))
    resting.start()
    token.cancel(codes.ResultCode.DEADLINE_PASSED)
    resting.join()
    exchange.close()
