"""What engines say that they keep."""

from __future__ import annotations

import pytest

from croftpulley import errors
from croftpulley.endpoints import caches as own_caches
from croftpulley.platform import caches, stand_ins
from croftpulley.settings import schema


@pytest.fixture
def engine():
    made = stand_ins.FakeEngine(schema.FakeSettings(name="engine-0", address="127.0.0.1:0"))
    made.start()
    yield made
    made.stop()


def test_kept_parts_are_read(engine):
    engine.kept = {"5c1e": 800, "91bd": 410}
    expected = (own_caches.KeptPart("5c1e", 800), own_caches.KeptPart("91bd", 410))
    assert caches.EngineCaches().read(engine.address) == expected


def test_a_refusal_is_an_error(engine):
    engine.refuses_cache_reads = True
    with pytest.raises(errors.CroftpulleyError, match="status 429"):
        caches.EngineCaches().read(engine.address)


@pytest.mark.parametrize("row", ["5c1e", ["", "5c1e"], ["", 7, 800], ["", "5c1e", "many"]])
def test_a_malformed_list_is_an_error_that_names_the_place(engine, row):
    engine.extra_rows = [row]
    with pytest.raises(errors.CroftpulleyError, match=r"held\[0\]"):
        caches.EngineCaches().read(engine.address)
