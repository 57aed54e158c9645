"""Order of preference of a chat's engines and boxes.

Uses rendezvous (highest random weight) hashing: Thaler and Ravishankar, "Using name-based mappings
to increase hit rates", 1998. All boxes compute the same order without coordination, and adding or
removing one of n engines moves one chat in n.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import orjson
import xxhash

from croftpulley.core import membership


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order of preference for ``key``, which doesn't depend on their order.

    >>> rendezvous_order("chat-1", ["a", "b", "c"]) == rendezvous_order("chat-1", ["c", "a", "b"])
    True
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def chat_key(workspace: str, model: str, chat: str, messages: Sequence[object]) -> str:
    """Return the key that all turns of a chat have in common.

    It contains the caller's chat id or, without one, a hash of the conversation up to and including
    the first message of the user, which later turns repeat.
    """
    if chat:
        return f"{workspace}/{model}/{chat}"
    opening = orjson.dumps(_opening_messages(messages))
    return f"{workspace}/{model}/{xxhash.xxh3_128_hexdigest(opening)}"


def _opening_messages(messages: Sequence[object]) -> list[object]:
    for position, message in enumerate(messages):
        if isinstance(message, dict) and message.get("role") == "user":
            return list(messages[: position + 1])
    return list(messages)


def engines_for(key: str, pool: str, directory: membership.Directory) -> list[membership.Endpoint]:
    """Return the engines of ``pool`` that accept new work, in preference order for ``key``."""
    usable = {
        engine.name: engine
        for engine in directory.engines
        if engine.pool == pool and not engine.leaving
    }
    return [usable[name] for name in rendezvous_order(key, usable)]


def entry_boxes(
    key: str, pool: str | None, directory: membership.Directory
) -> list[membership.Box]:
    """Return the boxes that a caller should use for a chat, preferred first.

    The owner of the chat's preferred engine comes first, which saves a returning chat the hop
    between boxes. Draining boxes are left out.
    """
    named = {box.name: box for box in directory.boxes if not box.draining}
    boxes = [named[name] for name in rendezvous_order(key, named)]
    engines = engines_for(key, pool, directory) if pool else []
    owner = directory.owner_of(engines[0].name) if engines else None
    if owner is None or owner.box not in named:
        return boxes
    return sorted(boxes, key=lambda box: box.name != owner.box)
