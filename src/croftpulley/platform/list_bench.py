"""What a box spends on decoding the platform's list: ``make bench-list``."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from typing import Any

import click
import orjson

from croftpulley.bench import table
from croftpulley.core import membership
from croftpulley.platform import entries, instances, stand_ins

ENTRIES = 2_000
"""The engines of the largest fleet that is built for."""
PAGE_ENTRIES = 50
SPOILED_SHARES = (0.0, 0.1)
_ROUNDS = 40
_SEED = 1


def _without_address(entry: dict[str, Any]) -> bytes:
    return orjson.dumps({name: value for name, value in entry.items() if name != "address"})


def _with_a_number(entry: dict[str, Any]) -> bytes:
    return orjson.dumps(entry | {"service": 7})


def _of_unknown_state(entry: dict[str, Any]) -> bytes:
    return orjson.dumps(entry | {"state": "asleep"})


def _no_object(_entry: dict[str, Any]) -> bytes:
    return b"null"


def _no_text(_entry: dict[str, Any]) -> bytes:
    return b'{"id":"\xff\xfe"}'


_WAYS: tuple[Callable[[dict[str, Any]], bytes], ...] = (
    _without_address,
    _with_a_number,
    _of_unknown_state,
    _no_object,
    _no_text,
)
"""How an entry of another writer may be spoiled; drawn for each."""


def pages(count: int, spoiled_share: float, chance: random.Random) -> list[bytes]:
    """Return a list as the platform would send it, so many of its entries spoiled."""
    spoiled = set(chance.sample(range(count), round(count * spoiled_share)))
    bodies = []
    for number in range(count):
        sound = stand_ins.entry(_endpoint(number))
        bodies.append(chance.choice(_WAYS)(sound) if number in spoiled else orjson.dumps(sound))
    return [
        b'{"instances":[' + b",".join(bodies[first : first + PAGE_ENTRIES]) + b"]}"
        for first in range(0, count, PAGE_ENTRIES)
    ]


def decode(bodies: list[bytes]) -> int:
    """Decode the pages as a reading does; return how many endpoints they name."""
    values: list[Any] = []
    for body in bodies:
        values += entries.parse(body, "instances").values
    return len(instances.decode(values, needs_start=True).endpoints)


def measure(count: int, spoiled_share: float, rounds: int = _ROUNDS) -> list[table.Row]:
    """Return the median time for an entry, and how many endpoints are in use."""
    bodies = pages(count, spoiled_share, random.Random(_SEED))
    spent_s = []
    used = 0
    for _ in range(rounds):
        began_s = time.perf_counter()
        used = decode(bodies)
        spent_s.append(time.perf_counter() - began_s)
    key = f"list_{count}_entries_{spoiled_share * 100:g}_percent_spoiled"
    return [
        table.Row(f"{key}_us_each", round(statistics.median(spent_s) / count * 1e6, 3)),
        table.Row(f"{key}_in_use", used),
    ]


def _endpoint(number: int) -> membership.Endpoint:
    name = f"i-{number:010x}"
    address = f"10.1.{number // 250}.{number % 250 + 1}:8406"
    kind = membership.EndpointKind.ENGINE
    return membership.Endpoint(name, kind, "llm", address, "hall-a", name, born_ms=number)


@click.command()
@click.option("--entries", "count", default=ENTRIES, show_default=True, help="Of the list.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(count: int, as_json: bool) -> None:
    """Measure how long a box decodes the list, sound and with entries spoiled by others.

    Example: make bench-list
    """
    rows = [row for share in SPOILED_SHARES for row in measure(count, share)]
    click.echo(table.as_json(rows) if as_json else table.plain(rows))


if __name__ == "__main__":
    main()
