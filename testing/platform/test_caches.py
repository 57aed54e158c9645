"""What engines say that they keep."""

from __future__ import annotations

import pytest

from croftpulley import errors
from croftpulley.core import membership
from croftpulley.endpoints import caches as own_caches
from croftpulley.platform import caches, stand_ins
from croftpulley.settings import schema

KEPT = own_caches.CachedPart("9c", 800)


@pytest.fixture
def engine():
    made = stand_ins.FakeEngine(schema.FakeSettings(name="engine-0", address="127.0.0.1:0"))
    made.start()
    yield made
    made.stop()


@pytest.fixture
def read(engine):
    """Return a function that reads the engine as the list names it."""

    def read_as_listed(born_ms=None):
        kind = membership.EndpointKind.ENGINE
        name = engine.settings.name
        listed = membership.Endpoint(
            name, kind, "llm", engine.address, "hall-a", name, born_ms=born_ms
        )
        return caches.EngineCaches().read(listed)

    return read_as_listed


def test_kept_parts_are_read(engine, read):
    engine.kept = {"5c1e": 800, "91bd": 410}
    assert read() == (own_caches.CachedPart("5c1e", 800), own_caches.CachedPart("91bd", 410))


def test_a_refusal_is_an_error(engine, read):
    engine.refuses_cache_reads = True
    with pytest.raises(errors.CroftpulleyError, match="status 429"):
        read()


@pytest.mark.parametrize(
    "row", ["5c1e", ["", "5c1e"], ["", 7, 800], ["", "5c1e", "many"], ["", "5c1e", True], None]
)
def test_a_malformed_row_names_no_part_and_the_others_hold(engine, read, row):
    engine.kept = {"9c": 800}
    engine.extra_rows = [row]
    assert read() == (KEPT,)


def test_what_another_life_of_the_engine_keeps_is_an_error(engine, read):
    engine.kept = {"9c": 800}
    engine.born_ms = 1000
    assert read(1000) == (KEPT,)
    engine.born_ms = 2000
    with pytest.raises(errors.CroftpulleyError, match="got the start 2000, expected 1000"):
        read(1000)


def test_an_engine_that_does_not_tell_its_start_is_read(engine, read):
    engine.kept = {"9c": 800}
    assert read(1000) == (KEPT,)
