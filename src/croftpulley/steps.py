"""Steps that turn an exchange into a reply, and their linking into a chain."""

from __future__ import annotations

import abc
from collections.abc import Callable, Sequence
from typing import Generic, NoReturn, TypeVar

E = TypeVar("E")
R = TypeVar("R")


class Step(abc.ABC, Generic[E, R]):
    """One step of a chain that turns an exchange into a reply.

    A step may answer itself, raise `errors.CroftpulleyError`, or call ``proceed`` for the rest of
    the chain, more than once if it retries.
    """

    @abc.abstractmethod
    def handle(self, exchange: E, proceed: Callable[[E], R]) -> R:
        """Handle one exchange."""


def link(steps: Sequence[Step[E, R]]) -> Callable[[E], R]:
    """Link steps into one function; the last one is handed a ``proceed`` that it may not call."""
    proceed: Callable[[E], R] = _past_the_end
    for each in reversed(steps):
        proceed = _bind(each, proceed)
    return proceed


def _bind(each: Step[E, R], proceed: Callable[[E], R]) -> Callable[[E], R]:
    return lambda exchange: each.handle(exchange, proceed)


def _past_the_end(_exchange: object) -> NoReturn:
    raise RuntimeError("the last step of the chain called proceed")
