"""Which requests an endpoint had when it ended, as far as one router saw; pure.

A request is in doubt at an endpoint's life from when its bytes leave until an answer is whole. Two
things show that a life ended: nobody listens at its address right after a connection broke off, and
the list holds it no more though it was not leaving. A connection that broke off shows neither: it
may have been cut, reset or spoilt while the endpoint lives.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from croftpulley import codes
from croftpulley.core import attempts

RECENT_S = 1.0
"""A request that left an endpoint so long before nobody listened there is still in doubt. One that
its caller gave up may have begun to run by then; endpoints end within 0.1 s of such a beginning.
What left it longer before a success came from it is in doubt no more."""
LISTED_S = 10.0
"""The same before the list lacks the endpoint, which it does some seconds after the end."""
_MOST_SURVIVED = 10_000
"""Parts that survived lately, of each pool, about 1 MB; the oldest go first."""
_ENDED_KEPT_S = 60.0
"""How long it is remembered that a life ended; it leaves the list long before."""


class Ending(enum.Enum):
    """How an attempt ended."""

    SURVIVED = "survived"
    """A success came whole: it ran to its end."""
    UNCLEAR = "unclear"
    """It did not begin to run, or an answer came that does not show that it did."""
    BROKE = "broke"
    """The connection broke off or fell silent."""
    CLOSED = "closed"
    """A success of no length ended with its connection: whole, if the endpoint lives on."""
    GIVEN_UP = "given_up"
    """This router ended it, for its caller or for want of time."""


@attrs.frozen
class Named:
    """A request by what stays the same when it comes again.

    ``parts`` are the features that the shared parts of its prompt are (`core.fingerprints`).
    """

    fingerprint: str
    workspace: str
    parts: tuple[str, ...] = ()
    pool: str = ""


@attrs.frozen
class _Open:
    request: Named
    attempt: attempts.Attempt

    @property
    def may_run(self) -> bool:
        return self.attempt.run_state is not codes.RunState.NOT_RUN


@attrs.frozen
class _Left:
    request: Named
    ending: Ending
    at_s: float

    def was_closed(self, before_s: float) -> bool:
        return self.ending is Ending.CLOSED and self.at_s < before_s


@attrs.define
class _Life:
    """One life of an endpoint: requests under way, and those that left it in doubt."""

    open: dict[int, _Open] = attrs.field(factory=dict)
    """Requests under way, by what tells attempts apart."""
    left: list[_Left] = attrs.field(factory=list)
    answers_at_s: float = float("-inf")
    """When it was last seen that somebody listens at its address."""

    def in_doubt(self, since_s: float) -> tuple[Named, ...]:
        left = [each.request for each in self.left if each.at_s >= since_s]
        # One that waits for its connection has not begun to run there.
        under_way = [each.request for each in self.open.values() if each.may_run]
        return tuple(dict.fromkeys([*under_way, *left]))

    def survived(self, now_s: float) -> None:
        """Take it that the endpoint goes on after all that left it some time ago."""
        self.left = [each for each in self.left if now_s - each.at_s < RECENT_S]

    def take_closed(self, before_s: float) -> tuple[Named, ...]:
        """Return the answers of no length that ended before, which are in doubt no more."""
        whole = [each for each in self.left if each.was_closed(before_s)]
        self.left = [each for each in self.left if not each.was_closed(before_s)]
        return tuple(each.request for each in whole)

    def forget(self, now_s: float) -> None:
        self.left = [each for each in self.left if now_s - each.at_s < LISTED_S]

    @property
    def is_blank(self) -> bool:
        return not (self.open or self.left)


@attrs.define
class Doubts:
    """What one router has in doubt, by the lives of endpoints.

    >>> doubts, request, attempt = Doubts(), Named("f", "clinic"), attempts.Attempt(1, "e")
    >>> doubts.begin("e", request, attempt)
    >>> doubts.end("e", request, attempt, Ending.BROKE, 1.0)
    >>> doubts.broke_lately("f", 1.0), doubts.ended("e", 1.1) == (request,)
    (('e',), True)
    >>> doubts.broke_lately("f", 1.1)
    ()
    """

    _lives: dict[str, _Life] = attrs.field(factory=dict)
    _ended_at_s: dict[str, float] = attrs.field(factory=dict)
    _leaving: dict[str, bool] = attrs.field(factory=dict)
    """Whether each life that was listed last is leaving."""

    def begin(self, life: str, request: Named, attempt: attempts.Attempt) -> None:
        """Note that a request is about to be sent."""
        self._lives.setdefault(life, _Life()).open[id(attempt)] = _Open(request, attempt)

    def end(
        self,
        life: str,
        request: Named,
        attempt: attempts.Attempt,
        ending: Ending,
        now_s: float,
    ) -> None:
        """Note how an attempt ended."""
        known = self._lives.setdefault(life, _Life())
        under_way = known.open.pop(id(attempt), None)
        request = under_way.request if under_way else request
        if ending is Ending.SURVIVED:
            # Whoever refused connections was not the endpoint: a link may do so too.
            self._ended_at_s.pop(life, None)
            known.survived(now_s)
        in_doubt = ending in (Ending.BROKE, Ending.CLOSED, Ending.GIVEN_UP)
        if in_doubt and life not in self._ended_at_s:
            known.left.append(_Left(request, ending, now_s))
        if known.is_blank:
            del self._lives[life]

    def writes(self, life: str, attempt: attempts.Attempt) -> None:
        """Note that an answer has gone on for so long that no part of its prompt ends the life."""
        known = self._lives.get(life)
        under_way = known.open.get(id(attempt)) if known else None
        if known is not None and under_way is not None:
            request = attrs.evolve(under_way.request, parts=())
            known.open[id(attempt)] = attrs.evolve(under_way, request=request)

    def has_ended(self, life: str) -> bool:
        """Tell whether a life is known to have ended."""
        return life in self._ended_at_s

    def answers(self, life: str, now_s: float) -> None:
        """Note that somebody listens at a life's address."""
        if life in self._lives:
            self._lives[life].answers_at_s = now_s

    def lives_on(self, life: str, now_s: float) -> tuple[Named, ...]:
        """Note that a life begins an answer; return what it had answered whole before.

        Whoever listens at its address may be another: only its own answer shows that.
        """
        known = self._lives.get(life)
        if known is None or not known.left:
            return ()
        return known.take_closed(now_s - RECENT_S)

    def broke_lately(self, fingerprint: str, now_s: float) -> tuple[str, ...]:
        """Return the lives at which a request broke off, and it is not known why."""
        return tuple(
            name
            for name, life in self._lives.items()
            if any(
                each.request.fingerprint == fingerprint and _is_unclear(each, life, now_s)
                for each in life.left
            )
        )

    def ended(self, life: str, now_s: float) -> tuple[Named, ...]:
        """Take it that nobody listens at a life's address; return what is in doubt there."""
        return self._conclude(life, now_s, RECENT_S)

    def keep(self, leaving: dict[str, bool], now_s: float) -> dict[str, tuple[Named, ...]]:
        """Take the lives that are listed; return what is in doubt at those that vanished.

        One that was leaving ended as it was meant to.
        """
        found = {}
        for life, was_leaving in self._leaving.items():
            if life in leaving or life in self._ended_at_s:
                continue
            in_doubt = self._conclude(life, now_s, LISTED_S)
            if in_doubt and not was_leaving:
                found[life] = in_doubt
        self._leaving = dict(leaving)
        return found

    def forget(self, now_s: float) -> None:
        """Drop what is too old to say anything."""
        for name, life in list(self._lives.items()):
            life.forget(now_s)
            if life.is_blank:
                del self._lives[name]
        self._ended_at_s = {
            life: at_s for life, at_s in self._ended_at_s.items() if now_s - at_s < _ENDED_KEPT_S
        }

    def _conclude(self, life: str, now_s: float, within_s: float) -> tuple[Named, ...]:
        """Note a life's end; return what was in doubt there within so many seconds, once."""
        if life in self._ended_at_s:
            return ()
        self._ended_at_s[life] = now_s
        known = self._lives.get(life)
        if known is None:
            return ()
        in_doubt = known.in_doubt(now_s - within_s)
        known.left.clear()
        return in_doubt


def _is_unclear(left: _Left, life: _Life, now_s: float) -> bool:
    """Tell whether an attempt broke off lately, and not at an endpoint that still answered then."""
    broke = left.ending in (Ending.BROKE, Ending.CLOSED)
    return broke and life.answers_at_s < left.at_s > now_s - RECENT_S


_NOTHING: dict[str, float] = {}


@attrs.define
class Survivals:
    """When parts of prompts last survived the beginning of an answer, by the pools of endpoints.

    >>> survivals = Survivals()
    >>> survivals.note("llm", ("part-a", "part-b"), 5.0)
    >>> survivals.since("part-a", ("llm",), 4.0), survivals.since("part-a", ("desk",), 4.0)
    (True, False)
    """

    _at_s: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def note(self, pool: str, parts: Iterable[str], now_s: float) -> None:
        """Note that parts survived at an endpoint of a pool."""
        of_pool = self._at_s.setdefault(pool, {})
        for each in parts:
            # The last one to survive comes last.
            of_pool.pop(each, None)
            of_pool[each] = now_s
        while len(of_pool) > _MOST_SURVIVED:
            del of_pool[next(iter(of_pool))]

    def since(self, part: str, pools: Iterable[str], since_s: float) -> bool:
        """Tell whether a part survived in any of these pools from a moment on."""
        return any(
            self._at_s.get(pool, _NOTHING).get(part, float("-inf")) >= since_s for pool in pools
        )
