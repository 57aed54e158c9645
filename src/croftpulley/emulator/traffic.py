"""Requests as the users' sheets describe them, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs

from croftpulley.core import calls
from croftpulley.emulator import engines as sizes


@attrs.frozen(kw_only=True)
class RequestKind:
    """A kind of request: how often, how long, and how much of its beginning others share.

    ``openings`` are the first parts that all share, ``subjects`` the second ones.
    """

    name: str
    per_s: float
    objective_s: float
    opening_tokens: int
    openings: int
    subject_tokens: int
    subjects: int
    own_tokens: int
    out_tokens: int


@attrs.frozen(kw_only=True)
class Deployment:
    """What a deployment serves, and the boxes and engines that do it."""

    routers: int
    engines: int
    kinds: tuple[RequestKind, ...]
    engine: sizes.EngineSize = attrs.field(factory=sizes.EngineSize)


def _kind(name: str, per_s: float, objective_s: float, sizes: tuple[int, ...]) -> RequestKind:
    opening, openings, subject, subjects, own, out = sizes
    return RequestKind(
        name=name,
        per_s=per_s,
        objective_s=objective_s,
        opening_tokens=opening,
        openings=openings,
        subject_tokens=subject,
        subjects=subjects,
        own_tokens=own,
        out_tokens=out,
    )


DEPLOYMENTS = {
    "shifa": Deployment(
        routers=12,
        engines=6,
        kinds=(
            _kind("referral-digest", 13.5, 0.6, (2520, 4, 6100, 79, 580, 51)),
            _kind("triage-note", 9.5, 0.5, (341, 20, 1700, 58, 360, 24)),
            _kind("patient-chat", 10.3, 0.4, (103, 8, 500, 48, 110, 279)),
        ),
    ),
    "glenbothy": Deployment(
        routers=9,
        engines=6,
        kinds=(
            _kind("season-plan", 11.7, 0.8, (2520, 4, 6100, 79, 580, 51)),
            _kind("villager-chat", 8.56, 0.5, (341, 20, 1700, 58, 360, 24)),
            _kind("quick-hint", 10.7, 0.4, (103, 8, 500, 48, 110, 279)),
        ),
    ),
    "saltbush": Deployment(
        routers=10,
        engines=9,
        engine=sizes.EngineSize(
            slots=48,
            cache_tokens=713_635,
            step_ms=3.23,
            step_ms_per_request=0.048,
            read_tokens_a_ms=112.0,
        ),
        kinds=(
            _kind("album-story", 20.9, 0.6, (512, 3, 10_000, 95, 1300, 385)),
            _kind("photo-caption", 29.6, 0.3, (119, 8, 580, 89, 130, 294)),
            _kind("face-tag", 35.8, 0.4, (341, 8, 1700, 162, 360, 22)),
        ),
    ),
}
"""Rates, sizes, objectives, routers and engines from the users' sheets of today."""


@attrs.frozen
class Arrival:
    """One request: when and at which router it comes, and what it asks for."""

    at_s: float
    router: int
    kind: RequestKind
    facts: calls.CallFacts
    out_tokens: int


def arrivals(deployment: Deployment, seconds_s: float, seed: int) -> Iterator[Arrival]:
    """Yield the requests of so many seconds in order; the same for the same seed."""
    chance = random.Random(seed)
    total_per_s = sum(kind.per_s for kind in deployment.kinds)
    weights = [kind.per_s for kind in deployment.kinds]
    at_s = 0.0
    number = 0
    while (at_s := at_s + chance.expovariate(total_per_s)) < seconds_s:
        number += 1
        kind = chance.choices(deployment.kinds, weights)[0]
        subject = int(kind.subjects * chance.random() ** 1.3)
        opening = subject % kind.openings
        prompt = (
            calls.PromptPart(f"{kind.name}-o{opening}", kind.opening_tokens),
            calls.PromptPart(f"{kind.name}-s{subject}", kind.subject_tokens),
            calls.PromptPart(f"r{number}", max(1, int(chance.expovariate(1 / kind.own_tokens)))),
        )
        facts = calls.CallFacts(request_id=f"r{number}", prompt=prompt)
        out_tokens = max(1, int(chance.expovariate(1 / kind.out_tokens)))
        yield Arrival(at_s, chance.randrange(deployment.routers), kind, facts, out_tokens)
