"""Assigns engines to owner boxes: balanced, and with as few moves as possible."""

from __future__ import annotations

import attrs

from croftpulley.core import membership, rendezvous


@attrs.frozen
class Grant:
    """An engine and the box that should become its owner."""

    engine: str
    box: str


def plan_grants(
    engines: tuple[str, ...],
    boxes: tuple[str, ...],
    owners: dict[str, str],
    unleased: frozenset[str],
) -> list[Grant]:
    """Return the ownership grants to make now.

    ``boxes`` are the boxes that may receive engines: live and not draining. ``unleased`` are
    the engines whose owner has released them or whose lease has expired. Only these and engines
    without an owner are granted.
    """
    counts = dict.fromkeys(boxes, 0)
    for engine in engines:
        if owners.get(engine) in counts and engine not in unleased:
            counts[owners[engine]] += 1
    made = []
    for engine in sorted(engines):
        held = engine in owners and engine not in unleased
        if held or not counts:
            continue
        box = _least_loaded(engine, counts)
        counts[box] += 1
        made.append(Grant(engine, box))
    return made


def _least_loaded(engine: str, counts: dict[str, int]) -> str:
    """Return the box with the fewest engines; the engine's rendezvous order breaks ties."""
    fewest = min(counts.values())
    return rendezvous.rendezvous_order(
        engine, [box for box, count in counts.items() if count == fewest]
    )[0]


def engines_to_release(
    box: str, directory: membership.Directory, draining: bool
) -> tuple[str, ...]:
    """Return the engines that ``box`` should release: all when draining, else its surplus."""
    held = sorted(each.engine for each in directory.owners if each.box == box)
    if draining:
        return tuple(held)
    receivers = [each.name for each in directory.boxes if not each.draining]
    if not receivers or box not in receivers:
        return ()
    share = -(-len(directory.owners) // len(receivers))
    return tuple(held[share:])
