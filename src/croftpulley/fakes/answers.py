"""The answer that every fake engine gives to the same request, so that any box can check it."""

from __future__ import annotations

import random
from typing import Any

import xxhash

_WORDS = (
    "barley", "clinic", "ставка", "harvest", "приём", "steading", "slot", "врач", "market",
    "lamb", "дәрігер", "turnip", "desk", "кезек", "meadow", "triage",
)  # fmt: skip


def tokens(request: dict[str, Any], default_count: int) -> list[str]:
    """Return the answer's tokens; they depend on the request's model and messages alone.

    >>> "".join(tokens({"model": "m", "messages": [], "max_tokens": 2}, 16)).count(" ")
    2
    """
    count = request.get("max_tokens") or default_count
    seed = xxhash.xxh3_64_intdigest(repr((request.get("model"), request.get("messages"))).encode())
    generator = random.Random(seed)
    return [f"{generator.choice(_WORDS)}-{generator.randrange(1000)} " for _ in range(count)]


def prompt_tokens(request: dict[str, Any]) -> int:
    """Return how many tokens (words) the request's messages have."""
    contents = [message.get("content") or "" for message in request.get("messages", [])]
    return sum(len(str(content).split()) for content in contents)
