"""Which box should own which engine: balanced, and moving as little as it can."""

from __future__ import annotations

import attrs

from croftpulley.core import choice, membership


@attrs.frozen
class Grant:
    """An engine that should get a new owner."""

    engine: str
    box: str


def grants(
    engines: tuple[str, ...],
    boxes: tuple[str, ...],
    owners: dict[str, str],
    free_of_lease: frozenset[str],
) -> list[Grant]:
    """Return the grants to make now.

    ``boxes`` may receive engines (live and not draining). ``free_of_lease`` are the engines
    whose present owner has given them up or whose lease has ended; no other may be moved. An
    engine without an owner is free.
    """
    counts = dict.fromkeys(boxes, 0)
    for engine in engines:
        if owners.get(engine) in counts and engine not in free_of_lease:
            counts[owners[engine]] += 1
    made = []
    for engine in sorted(engines):
        held = engine in owners and engine not in free_of_lease
        if held or not counts:
            continue
        box = _least_loaded(engine, counts)
        counts[box] += 1
        made.append(Grant(engine, box))
    return made


def _least_loaded(engine: str, counts: dict[str, int]) -> str:
    """Return the box with the fewest engines; the engine's own order breaks ties."""
    fewest = min(counts.values())
    return choice.order(engine, [box for box, count in counts.items() if count == fewest])[0]


def to_give_up(box: str, directory: membership.Directory, draining: bool) -> tuple[str, ...]:
    """Return the engines that ``box`` should give up: all when draining, else its surplus."""
    held = sorted(each.engine for each in directory.owners if each.box == box)
    if draining:
        return tuple(held)
    takers = [each.name for each in directory.boxes if not each.draining]
    if not takers or box not in takers:
        return ()
    share = -(-len(directory.owners) // len(takers))
    return tuple(held[share:])
