"""Which requests may have crashed an endpoint, as far as one router saw.

A request is a *crash candidate* at an incarnation of an endpoint from when its bytes are sent until
its response is complete. Two events show that an incarnation ended: its address refuses connections
right after a connection broke, or the endpoint list no longer has it although it was not shutting
down. A broken connection alone shows neither: it may have been cut, reset or corrupted while the
endpoint lives.

Pure: no I/O and no clock of its own.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from croftpulley import codes
from croftpulley.core import attempts

RECENT_CANDIDATE_S = 1.0
"""A request that ended this long before the address refused connections is still a candidate. One
that its caller gave up may have started running by then; endpoints crash within 0.1 s of such a
start. Requests that ended longer before a successful response are no candidates any more."""
UNLISTED_CANDIDATE_S = 10.0
"""The same, before the list lacks the endpoint: that takes some seconds after the crash."""
_MAX_SURVIVED_PARTS = 10_000
"""Most parts remembered per pool, about 1 MB; the oldest are dropped first."""
_ENDED_TTL_S = 60.0
"""How long a crash is remembered; the incarnation leaves the list long before that."""


class Ending(enum.Enum):
    """How an attempt ended."""

    SURVIVED = "survived"
    """A successful response arrived completely: the request ran to its end."""
    UNCLEAR = "unclear"
    """The request did not start to run, or its response does not show that it did."""
    BROKE = "broke"
    """The connection broke or fell silent."""
    CLOSED = "closed"
    """A successful response without a length ended with its connection: complete if the endpoint is
    still alive."""
    GIVEN_UP = "given_up"
    """This router ended it, because its caller left or its time ran out."""


@attrs.frozen
class RequestIdentity:
    """A request, identified by what stays the same when it is sent again.

    ``parts`` are the features of the shared parts of its prompt (`core.fingerprints`).
    """

    fingerprint: str
    workspace: str
    parts: tuple[str, ...] = ()
    pool: str = ""


@attrs.frozen
class _OpenAttempt:
    """An attempt under way."""

    request: RequestIdentity
    attempt: attempts.Attempt

    @property
    def may_run(self) -> bool:
        """Tell whether the endpoint may have started to run the request."""
        return self.attempt.run_state is not codes.RunState.NOT_RUN


@attrs.frozen
class _EndedAttempt:
    """An attempt that ended without proof that the endpoint survived it."""

    request: RequestIdentity
    ending: Ending
    at_s: float

    def was_closed(self, before_s: float) -> bool:
        """Tell whether it was a response without a length that ended before ``before_s``."""
        return self.ending is Ending.CLOSED and self.at_s < before_s


@attrs.define
class _Incarnation:
    """Attempts at one incarnation: those under way, and ended ones that are still candidates."""

    open: dict[int, _OpenAttempt] = attrs.field(factory=dict)
    """Attempts under way, by the ``id`` of the attempt object."""
    ended: list[_EndedAttempt] = attrs.field(factory=list)
    reachable_at_s: float = float("-inf")
    """When its address last accepted a connection."""

    def candidates(self, since_s: float) -> tuple[RequestIdentity, ...]:
        """Return the requests under way and those whose attempt ended at or after ``since_s``."""
        recently_ended = [each.request for each in self.ended if each.at_s >= since_s]
        # A request that still waits for its connection has not started to run.
        under_way = [each.request for each in self.open.values() if each.may_run]
        return tuple(dict.fromkeys([*under_way, *recently_ended]))

    def survived(self, now_s: float) -> None:
        """Drop the attempts that ended long enough ago: the endpoint is alive after them."""
        self.ended = [each for each in self.ended if now_s - each.at_s < RECENT_CANDIDATE_S]

    def pop_closed(self, before_s: float) -> tuple[RequestIdentity, ...]:
        """Remove closed attempts that ended before ``before_s``; return their requests."""
        whole = [each for each in self.ended if each.was_closed(before_s)]
        self.ended = [each for each in self.ended if not each.was_closed(before_s)]
        return tuple(each.request for each in whole)

    def forget(self, now_s: float) -> None:
        """Drop ended attempts that are too old to be candidates."""
        self.ended = [each for each in self.ended if now_s - each.at_s < UNLISTED_CANDIDATE_S]

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is left to remember."""
        return not (self.open or self.ended)


@attrs.define
class CrashCandidates:
    """The crash candidates that one router knows, by incarnation of an endpoint.

    >>> candidates = CrashCandidates()
    >>> request, attempt = RequestIdentity("f", "clinic"), attempts.Attempt(1, "e")
    >>> candidates.begin("e", request, attempt)
    >>> candidates.end("e", request, attempt, Ending.BROKE, 1.0)
    >>> candidates.unexplained_breaks("f", 1.0), candidates.conclude_ended("e", 1.1) == (request,)
    (('e',), True)
    >>> candidates.unexplained_breaks("f", 1.1)
    ()
    """

    _incarnations: dict[str, _Incarnation] = attrs.field(factory=dict)
    _ended_at_s: dict[str, float] = attrs.field(factory=dict)
    _leaving: dict[str, bool] = attrs.field(factory=dict)
    """Whether each incarnation of the last list was shutting down."""

    def begin(self, incarnation: str, request: RequestIdentity, attempt: attempts.Attempt) -> None:
        """Record that a request is about to be sent."""
        self._incarnations.setdefault(incarnation, _Incarnation()).open[id(attempt)] = _OpenAttempt(
            request, attempt
        )

    def end(
        self,
        incarnation: str,
        request: RequestIdentity,
        attempt: attempts.Attempt,
        ending: Ending,
        now_s: float,
    ) -> None:
        """Record how an attempt ended.

        A complete success also clears earlier candidates, and a crash that was concluded wrongly.
        """
        known = self._incarnations.setdefault(incarnation, _Incarnation())
        under_way = known.open.pop(id(attempt), None)
        request = under_way.request if under_way else request
        if ending is Ending.SURVIVED:
            # The refused connection was no crash then: a cut link can refuse connections too.
            self._ended_at_s.pop(incarnation, None)
            known.survived(now_s)
        is_candidate = ending in (Ending.BROKE, Ending.CLOSED, Ending.GIVEN_UP)
        if is_candidate and incarnation not in self._ended_at_s:
            known.ended.append(_EndedAttempt(request, ending, now_s))
        if known.is_empty:
            del self._incarnations[incarnation]

    def clear_parts(self, incarnation: str, attempt: attempts.Attempt) -> None:
        """Clear the parts of a request's prompt: its response has continued for too long for any of
        them to crash the endpoint.
        """
        known = self._incarnations.get(incarnation)
        under_way = known.open.get(id(attempt)) if known else None
        if known is not None and under_way is not None:
            request = attrs.evolve(under_way.request, parts=())
            known.open[id(attempt)] = attrs.evolve(under_way, request=request)

    def has_ended(self, incarnation: str) -> bool:
        """Tell whether the incarnation is known to have ended."""
        return incarnation in self._ended_at_s

    def note_reachable(self, incarnation: str, now_s: float) -> None:
        """Record that an incarnation's address accepts connections."""
        if incarnation in self._incarnations:
            self._incarnations[incarnation].reachable_at_s = now_s

    def confirm_alive(self, incarnation: str, now_s: float) -> tuple[RequestIdentity, ...]:
        """Record that a response begins; return the requests that this proves complete.

        These are earlier responses that had no length and ended with their connection. A connection
        alone proves nothing, as another process may listen at the address: only a response of the
        incarnation itself does.
        """
        known = self._incarnations.get(incarnation)
        if known is None or not known.ended:
            return ()
        return known.pop_closed(now_s - RECENT_CANDIDATE_S)

    def unexplained_breaks(self, fingerprint: str, now_s: float) -> tuple[str, ...]:
        """Return the incarnations where the request broke recently and the reason is unknown."""
        return tuple(
            name
            for name, incarnation in self._incarnations.items()
            if any(
                each.request.fingerprint == fingerprint
                and _is_unexplained(each, incarnation, now_s)
                for each in incarnation.ended
            )
        )

    def conclude_ended(self, incarnation: str, now_s: float) -> tuple[RequestIdentity, ...]:
        """Conclude that an incarnation ended as its address refuses connections; return the
        candidates.
        """
        return self._conclude(incarnation, now_s, RECENT_CANDIDATE_S)

    def update_listed(
        self, leaving: dict[str, bool], now_s: float
    ) -> dict[str, tuple[RequestIdentity, ...]]:
        """Take the listed incarnations and whether each is shutting down; return crash candidates.

        The result has the candidates of each incarnation that is missing from the list. One that
        was shutting down ended as planned and has none.
        """
        found = {}
        for incarnation, was_leaving in self._leaving.items():
            if incarnation in leaving or incarnation in self._ended_at_s:
                continue
            candidates = self._conclude(incarnation, now_s, UNLISTED_CANDIDATE_S)
            if candidates and not was_leaving:
                found[incarnation] = candidates
        self._leaving = dict(leaving)
        return found

    def forget(self, now_s: float) -> None:
        """Drop what is too old to matter."""
        for name, incarnation in list(self._incarnations.items()):
            incarnation.forget(now_s)
            if incarnation.is_empty:
                del self._incarnations[name]
        self._ended_at_s = {
            incarnation: at_s
            for incarnation, at_s in self._ended_at_s.items()
            if now_s - at_s < _ENDED_TTL_S
        }

    def _conclude(
        self, incarnation: str, now_s: float, within_s: float
    ) -> tuple[RequestIdentity, ...]:
        """Record an incarnation's end; return its candidates of the last ``within_s``.

        Returns nothing if the end was recorded before.
        """
        if incarnation in self._ended_at_s:
            return ()
        self._ended_at_s[incarnation] = now_s
        known = self._incarnations.get(incarnation)
        if known is None:
            return ()
        candidates = known.candidates(now_s - within_s)
        known.ended.clear()
        return candidates


def _is_unexplained(attempt: _EndedAttempt, incarnation: _Incarnation, now_s: float) -> bool:
    """Tell whether an attempt broke recently, and its address has accepted no connection since."""
    broke = attempt.ending in (Ending.BROKE, Ending.CLOSED)
    return broke and incarnation.reachable_at_s < attempt.at_s > now_s - RECENT_CANDIDATE_S


_NOTHING: dict[str, float] = {}


@attrs.define
class Survivals:
    """When each prompt part last got through the start of a response, by pool.

    >>> survivals = Survivals()
    >>> survivals.note("llm", ("part-a", "part-b"), 5.0)
    >>> [survivals.has_survived_since("part-a", (pool,), 4.0) for pool in ("llm", "desk")]
    [True, False]
    """

    _at_s: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def note(self, pool: str, parts: Iterable[str], now_s: float) -> None:
        """Record that an endpoint of the pool survived these parts."""
        of_pool = self._at_s.setdefault(pool, {})
        for each in parts:
            # Re-inserted so that the latest comes last.
            of_pool.pop(each, None)
            of_pool[each] = now_s
        while len(of_pool) > _MAX_SURVIVED_PARTS:
            del of_pool[next(iter(of_pool))]

    def has_survived_since(self, part: str, pools: Iterable[str], since_s: float) -> bool:
        """Tell whether any of these pools survived the part at or after ``since_s``."""
        return any(
            self._at_s.get(pool, _NOTHING).get(part, float("-inf")) >= since_s for pool in pools
        )
