"""What a young leader learns from the engines' caches."""

from __future__ import annotations

import threading

import pytest

from conftest import wait_until
from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, inventory, listing, replica_standing, sessions
from croftpulley.core import membership, versions
from croftpulley.core.replication import state as states
from croftpulley.endpoints import caches

FAR_S = 1e9
SILENT = "127.0.0.1:1"
SILENCE_S = 5.0
"""A reader that waits for this engine before it asks others is seen to."""


def engine(number, pool="llm"):
    return membership.Endpoint(
        f"e-{number}",
        membership.EndpointKind.ENGINE,
        pool,
        f"127.0.0.1:{number}",
        "a",
        f"e-{number}",
    )


class Caches(caches.CacheReader):
    """The first engine says nothing until the test is over, the others answer at once."""

    def __init__(self):
        self.over = threading.Event()
        self.gave_up = False
        self.asked = []

    def read(self, engine):
        self.asked.append(engine.pool)
        if engine.address == SILENT:
            self.gave_up = not self.over.wait(SILENCE_S)
            raise errors.CroftpulleyError(codes.ResultCode.ENGINE_UNREACHABLE, engine.address)
        return (caches.KeptPart("short", 400), caches.KeptPart("long", 9000))


class Sessions:
    """Keeps what it is told."""

    def __init__(self):
        self.told = {}

    def tell(self, message):
        assert isinstance(message, sessions.PostNotes)
        self.told.update(message.notes)


@pytest.fixture
def reader():
    reads = Caches()
    yield reads
    reads.over.set()


@pytest.fixture
def told(reader):
    """Return what reached the sessions once all engines that answer were heard."""
    clock = clocks.ManualClock()
    standing = replica_standing.ReplicaStatus(states.Role.LEADER, 1, "127.0.0.1:9", FAR_S)
    engines = (*(engine(number) for number in range(1, 41)), engine(99, "of another writer"))
    listed = listing.Listing(versions.Versioned(engines), clock.monotonic_s())
    kept = Sessions()
    controller = inventory.InventoryController(
        reader, actors.View(standing), actors.View(listed), lambda: {"llm"}, kept, clock
    )
    controller.handle(actors.Tick())
    return kept.told


def test_an_engine_that_does_not_answer_holds_up_few_others(told, reader):
    # It shares its turn with every sixteenth of the others.
    wait_until(lambda: len(told) >= 37, "all others are heard")
    assert len(told) == 37
    assert not reader.gave_up


def test_the_longest_parts_are_told_first(told):
    wait_until(lambda: "e-2" in told, "an engine is heard")
    assert told["e-2"] == ("long", "short")


def test_an_engine_of_a_pool_that_is_not_configured_is_not_asked(told, reader):
    wait_until(lambda: len(told) >= 37, "all others are heard")
    assert set(reader.asked) == {"llm"}
