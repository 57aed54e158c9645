"""Processing steps that turn an exchange into a reply, and chains of them."""

from __future__ import annotations

import abc
from collections.abc import Callable, Sequence
from typing import Generic, NoReturn, TypeVar

E = TypeVar("E")
R = TypeVar("R")


class Step(abc.ABC, Generic[E, R]):
    """One step of a chain that turns an exchange into a reply.

    A step may return a reply of its own, raise `errors.CroftpulleyError`, or call ``proceed`` to
    run the rest of the chain, more than once if it retries.
    """

    @abc.abstractmethod
    def handle(self, exchange: E, proceed: Callable[[E], R]) -> R:
        """Return the reply to one exchange."""


def build_chain(steps: Sequence[Step[E, R]]) -> Callable[[E], R]:
    """Return a function that runs the steps in order.

    The last step must not call ``proceed``, which raises `RuntimeError` there.
    """
    proceed: Callable[[E], R] = _fail_past_last_step
    for each in reversed(steps):
        proceed = _bind(each, proceed)
    return proceed


def _bind(each: Step[E, R], proceed: Callable[[E], R]) -> Callable[[E], R]:
    return lambda exchange: each.handle(exchange, proceed)


def _fail_past_last_step(_exchange: object) -> NoReturn:
    raise RuntimeError("the last step of the chain called proceed")
