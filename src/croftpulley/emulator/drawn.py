"""A deployment that nobody has seen, drawn from a seed within stated bounds.

A choice that is good only for the engines and requests of known users shows here.
"""

from __future__ import annotations

import random

import attrs

from croftpulley.emulator import engines, traffic

ROUTERS = (3, 60)
ENGINES = (3, 40)
SLOTS = (8, 128)
CACHE_TOKENS = (50_000, 1_000_000)
STEP_MS = (2.0, 20.0)
READ_TOKENS_A_MS = (10.0, 200.0)
KINDS = (1, 4)
SUBJECTS_AN_ENGINE = (5, 40)
SUBJECT_TOKENS = (100, 12_000)
OUT_TOKENS = (10, 500)
OBJECTIVE_S = (0.3, 1.0)
USE = (0.2, 0.6)
"""Of the engines' slots, or of their time for reading if half of each prompt is kept: whichever is
scarcer. The users' days lie between."""
KEPT_SHARE = 0.5


def deployment(seed: int) -> traffic.Deployment:
    """Return the deployment of a seed."""
    chance = random.Random(seed)
    count = chance.randint(*ENGINES)
    size = engines.EngineSize(
        slots=chance.randint(*SLOTS),
        cache_tokens=chance.randint(*CACHE_TOKENS),
        step_ms=chance.uniform(*STEP_MS),
        step_ms_per_request=chance.uniform(0.0, 0.05),
        read_tokens_a_ms=chance.uniform(*READ_TOKENS_A_MS),
    )
    kinds = [_kind(chance, number, count) for number in range(chance.randint(*KINDS))]
    use = chance.uniform(*USE)
    total_per_s = use * count * _most_per_s(kinds, size)
    return traffic.Deployment(
        routers=chance.randint(*ROUTERS),
        engines=count,
        engine=size,
        kinds=tuple(_with_rate(each, total_per_s / len(kinds)) for each in kinds),
    )


def _kind(chance: random.Random, number: int, engine_count: int) -> traffic.RequestKind:
    subject_tokens = chance.randint(*SUBJECT_TOKENS)
    return traffic.RequestKind(
        name=f"kind-{number}",
        per_s=1.0,
        objective_s=chance.uniform(*OBJECTIVE_S),
        opening_tokens=chance.randint(50, 2_500),
        openings=chance.randint(1, 20),
        subject_tokens=subject_tokens,
        subjects=engine_count * chance.randint(*SUBJECTS_AN_ENGINE),
        own_tokens=chance.randint(20, max(20, subject_tokens // 4)),
        out_tokens=chance.randint(*OUT_TOKENS),
    )


def _most_per_s(kinds: list[traffic.RequestKind], size: engines.EngineSize) -> float:
    """Return how many requests a second one engine could serve of an even mix."""
    read_s = stay_s = 0.0
    for each in kinds:
        tokens = each.opening_tokens + each.subject_tokens + each.own_tokens
        own_read_s = (1 - KEPT_SHARE) * tokens / size.read_tokens_a_ms / 1000
        read_s += own_read_s / len(kinds)
        stay_s += (own_read_s + each.out_tokens * size.step_ms / 1000) / len(kinds)
    return min(1 / read_s, size.slots / stay_s)


def _with_rate(kind: traffic.RequestKind, per_s: float) -> traffic.RequestKind:
    return attrs.evolve(kind, per_s=per_s)
