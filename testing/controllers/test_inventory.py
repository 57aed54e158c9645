"""A leader that has just started reads the caches of engines."""

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
"""How long the silent engine blocks; `Caches.timed_out` is set if the test takes longer."""


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
    """The first engine does not answer until the test is over, the others answer at once."""

    def __init__(self):
        self.test_is_over = threading.Event()
        self.timed_out = False
        self.asked = []

    def read(self, engine):
        self.asked.append(engine.pool)
        if engine.address == SILENT:
            self.timed_out = not self.test_is_over.wait(SILENCE_S)
            raise errors.CroftpulleyError(codes.ResultCode.ENGINE_UNREACHABLE, engine.address)
        return (caches.CachedPart("short", 400), caches.CachedPart("long", 9000))


class Sessions:
    """Records the notes that are sent to the session controller."""

    def __init__(self):
        self.notes = {}

    def tell(self, message):
        assert isinstance(message, sessions.PostNotes)
        self.notes.update(message.notes)


@pytest.fixture
def reader():
    cache_reader = Caches()
    yield cache_reader
    cache_reader.test_is_over.set()


@pytest.fixture
def notes(reader):
    """Return the notes sent to the session controller; they arrive while the test runs."""
    clock = clocks.ManualClock()
    status = replica_standing.ReplicaStatus(states.Role.LEADER, 1, "127.0.0.1:9", FAR_S)
    engines = (*(engine(number) for number in range(1, 41)), engine(99, "of another writer"))
    listed = listing.Listing(versions.Versioned(engines), clock.monotonic_s())
    session_controller = Sessions()
    controller = inventory.InventoryController(
        reader, actors.View(status), actors.View(listed), lambda: {"llm"}, session_controller, clock
    )
    controller.handle(actors.Tick())
    return session_controller.notes


def test_an_engine_that_does_not_answer_delays_few_others(notes, reader):
    # It shares its thread with every sixteenth engine, here two others.
    wait_until(lambda: len(notes) >= 37, "all others are heard")
    assert len(notes) == 37
    assert not reader.timed_out


def test_the_longest_parts_are_sent_first(notes):
    wait_until(lambda: "e-2" in notes, "an engine is heard")
    assert notes["e-2"] == ("long", "short")


def test_an_engine_of_a_pool_that_is_not_configured_is_not_asked(notes, reader):
    wait_until(lambda: len(notes) >= 37, "all others are heard")
    assert set(reader.asked) == {"llm"}
