"""Which engines a chat goes to, in which order.

Rendezvous (highest random weight) hashing: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998. Every box computes the same order without talking, and one engine that
joins or leaves moves one chat in n.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import orjson
import xxhash

from croftpulley.core import membership


def order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order of preference for ``key``.

    >>> order("chat-1", ["a", "b", "c"]) == order("chat-1", ["c", "a", "b"])
    True
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def chat_key(workspace: str, model: str, chat: str, messages: Sequence[object]) -> str:
    """Return what a chat's turns have in common.

    That is the caller's chat id. Without one it is the beginning of the conversation (all up to
    the first user's message), which later turns repeat.
    """
    if chat:
        return f"{workspace}/{model}/{chat}"
    beginning = orjson.dumps(_beginning(messages))
    return f"{workspace}/{model}/{xxhash.xxh3_128_hexdigest(beginning)}"


def _beginning(messages: Sequence[object]) -> list[object]:
    for position, message in enumerate(messages):
        if isinstance(message, dict) and message.get("role") == "user":
            return list(messages[: position + 1])
    return list(messages)


def engines_for(key: str, pool: str, directory: membership.Directory) -> list[membership.Endpoint]:
    """Return the engines of ``pool`` that may take new work, preferred first."""
    usable = {
        engine.name: engine
        for engine in directory.engines
        if engine.pool == pool and not engine.leaving
    }
    return [usable[name] for name in order(key, usable)]


def entry_boxes(
    key: str, pool: str | None, directory: membership.Directory
) -> list[membership.Box]:
    """Return the boxes that a caller should use for a chat, preferred first.

    The owner of the chat's first engine comes first, so that a returning chat pays no hop between
    boxes. Boxes that are draining are never named.
    """
    named = {box.name: box for box in directory.boxes if not box.draining}
    boxes = [named[name] for name in order(key, named)]
    engines = engines_for(key, pool, directory) if pool else []
    owner = directory.owner_of(engines[0].name) if engines else None
    if owner is None or owner.box not in named:
        return boxes
    return sorted(boxes, key=lambda box: box.name != owner.box)
