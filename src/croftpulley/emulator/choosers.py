"""Ways of choosing an engine: the built-in rule, operators' programs, and baselines."""

from __future__ import annotations

import abc
import random
from collections.abc import Sequence

from croftpulley.core import calls, rendezvous, selection
from croftpulley.policy import arms


class Chooser(abc.ABC):
    """Chooses among candidates as one router sees them."""

    @abc.abstractmethod
    def choose(
        self, facts: calls.CallFacts, candidates: Sequence[selection.Candidate]
    ) -> selection.Candidate:
        """Return the engine for a request; ``candidates`` is not empty."""


class Random(Chooser):
    """Any engine."""

    def __init__(self, seed: int) -> None:
        self._chance = random.Random(seed)

    def choose(
        self, facts: calls.CallFacts, candidates: Sequence[selection.Candidate]
    ) -> selection.Candidate:
        """Return any."""
        return self._chance.choice(candidates)


class LeastLoaded(Chooser):
    """The engine with the fewest requests in flight, as last heard."""

    def choose(
        self, facts: calls.CallFacts, candidates: Sequence[selection.Candidate]
    ) -> selection.Candidate:
        """Return the least loaded."""
        return selection.choose_least_busy(facts.request_id, candidates, "")


class Hashed(Chooser):
    """Rendezvous hashing of the last shared part, whatever the load."""

    def choose(
        self, facts: calls.CallFacts, candidates: Sequence[selection.Candidate]
    ) -> selection.Candidate:
        """Return the first in the order of the hash."""
        by_name = {each.name: each for each in candidates}
        return by_name[rendezvous.rendezvous_order(facts.shared_prefix[-1].part_id, by_name)[0]]


class BuiltIn(Chooser):
    """What routers do without programs."""

    def choose(
        self, facts: calls.CallFacts, candidates: Sequence[selection.Candidate]
    ) -> selection.Candidate:
        """Return the choice of `selection.choose_for_prompt`."""
        most = max(each.held_tokens for each in candidates)
        fit = selection.OverloadLimit().eligible(candidates)
        return selection.choose_for_prompt(
            selection.Prompt.of(facts), fit, most, selection.CostRates()
        )


class ByProgram(Chooser):
    """An operators' program, among those below the cap as in routers."""

    def __init__(self, arm: arms.Arm) -> None:
        self._arm = arm

    def choose(
        self, facts: calls.CallFacts, candidates: Sequence[selection.Candidate]
    ) -> selection.Candidate:
        """Return the program's choice; raises `language.ProgramError`."""
        prompt = selection.Prompt.of(facts)
        request = arms.Request(
            key=prompt.key,
            prompt_tokens=prompt.tokens,
            shared_tokens=prompt.shared_tokens,
            priority=0,
            budget_ms=0.0,
            hall="",
        )
        most = max(each.held_tokens for each in candidates)
        chosen = arms.choose_endpoint(
            self._arm, request, selection.OverloadLimit().eligible(candidates), most
        )
        return chosen or candidates[0]
