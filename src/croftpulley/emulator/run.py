"""One run: arrivals, routers that know of each other by reports, engines that do the work."""

from __future__ import annotations

import collections
import heapq
import itertools
from collections.abc import Callable

import attrs

from croftpulley.bench import table
from croftpulley.core import prompt_part_index, selection
from croftpulley.emulator import choosers, engines, traffic

REPORT_S = 0.25
"""How often routers report and hear of each other, as in the real ones."""
SKEW_FROM_S = 5.0
"""The skew is taken from here on: before, every engine is cold."""


@attrs.define
class _Engine:
    """An engine, and what all routers were last told of it."""

    engine: engines.Engine
    told_load: int = 0
    told_reading_tokens: float = 0.0


@attrs.define
class _Router:
    """What one router has added itself since it was last told."""

    since: collections.Counter[str] = attrs.field(factory=collections.Counter)
    known: prompt_part_index.PromptPartIndex = attrs.field(
        factory=prompt_part_index.PromptPartIndex
    )


@attrs.define
class Figures:
    """What came of a run."""

    prompt_tokens: int = 0
    held_tokens: int = 0
    requests: int = 0
    in_time: int = 0
    first_s: list[float] = attrs.field(factory=list)
    _samples: int = 0
    _most_ratio_sum: float = 0.0

    def sample(self, loads: list[int]) -> None:
        """Note the requests in flight at all engines at one moment."""
        mean = sum(loads) / len(loads)
        if mean >= 1:
            self._samples += 1
            self._most_ratio_sum += max(loads) / mean

    def rows(self, key: str) -> list[table.Row]:
        """Return the figures; ``skew_max_ratio`` is the mean over time of largest over mean."""
        self.first_s.sort()
        requests = max(1, self.requests)
        skew = self._most_ratio_sum / max(1, self._samples)
        reuse = self.held_tokens / max(1, self.prompt_tokens)
        return [
            table.Row(f"{key}_skew_max_ratio", round(skew, 3)),
            table.Row(f"{key}_cache_reuse_ratio", round(reuse, 3)),
            table.Row(f"{key}_in_time_ratio", round(self.in_time / requests, 3)),
            table.Row(
                f"{key}_first_token_p50_ms", round(1000 * table.percentile(self.first_s, 0.5), 1)
            ),
            table.Row(
                f"{key}_first_token_p99_ms", round(1000 * table.percentile(self.first_s, 0.99), 1)
            ),
        ]


class Emulation:
    """Plays a deployment in virtual time; everything that happens is in one queue of times."""

    def __init__(self, deployment: traffic.Deployment, chooser: choosers.Chooser) -> None:
        self._chooser = chooser
        self._engines = {
            name: _Engine(engines.Engine(name, deployment.engine))
            for name in (f"engine-{number}" for number in range(deployment.engines))
        }
        self._routers = [_Router() for _ in range(deployment.routers)]
        self._notes: list[prompt_part_index.Note] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self.figures = Figures()

    def play(self, arrivals: list[traffic.Arrival], seconds_s: float) -> Figures:
        """Play all arrivals and return what came of them."""
        for arrival in arrivals:
            self._at(arrival.at_s, lambda arrival=arrival: self._arrive(arrival))  # type: ignore[misc]
        for number in range(int(seconds_s / REPORT_S)):
            self._at(number * REPORT_S, self._report)
        while self._queue:
            self._now_s, _, happens = heapq.heappop(self._queue)
            happens()
        return self.figures

    def _at(self, at_s: float, happens: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), happens))

    def _report(self) -> None:
        """All routers hear what all have in flight, and where prompts were sent."""
        for each in self._engines.values():
            each.told_load = each.engine.running
            left_s = max(0.0, each.engine.reads_until_s - self._now_s)
            each.told_reading_tokens = left_s * 1000 * each.engine.size.read_tokens_a_ms
        notes, self._notes = self._notes, []
        for router in self._routers:
            router.since.clear()
            for note in notes:
                router.known.record(note, self._now_s)
        if self._now_s >= SKEW_FROM_S:
            self.figures.sample([each.engine.running for each in self._engines.values()])

    def _arrive(self, arrival: traffic.Arrival) -> None:
        router = self._routers[arrival.router]
        chosen = self._chooser.choose(arrival.facts, self._candidates(router, arrival))
        engine = self._engines[chosen.name].engine
        router.since[chosen.name] += 1
        for part in arrival.facts.shared_prefix:
            note = prompt_part_index.Note(part.part_id, chosen.name)
            if router.known.record(note, self._now_s):
                self._notes.append(note)
        begun = engine.begin(self._now_s, arrival.facts.prompt, arrival.out_tokens)
        self._at(begun.end_s, engine.end)
        self._count(arrival, begun)

    def _candidates(self, router: _Router, arrival: traffic.Arrival) -> list[selection.Candidate]:
        held: collections.Counter[str] = collections.Counter()
        tokens = 0
        for part in arrival.facts.shared_prefix:
            tokens += part.tokens
            for name in router.known.holders(part.part_id, self._now_s):
                held[name] = tokens
        return [
            selection.Candidate(
                name=name,
                hall="",
                load=each.told_load + router.since[name],
                reading_tokens=each.told_reading_tokens,
                held_tokens=held[name],
            )
            for name, each in self._engines.items()
        ]

    def _count(self, arrival: traffic.Arrival, begun: engines.Begun) -> None:
        first_s = begun.first_s - arrival.at_s
        figures = self.figures
        figures.requests += 1
        figures.prompt_tokens += arrival.facts.prompt_tokens
        figures.held_tokens += begun.held_tokens
        figures.in_time += first_s <= arrival.kind.objective_s
        figures.first_s.append(first_s)


def compare(
    deployment: traffic.Deployment,
    ways: dict[str, choosers.Chooser],
    seconds_s: float,
    seed: int,
) -> list[table.Row]:
    """Play the same arrivals once for each way of choosing."""
    arrivals = list(traffic.arrivals(deployment, seconds_s, seed))
    return [
        row
        for name, chooser in ways.items()
        for row in Emulation(deployment, chooser).play(arrivals, seconds_s).rows(name)
    ]
