"""What the bench of stream origins prints."""

from __future__ import annotations

from croftpulley.bench import origins


def test_every_size_of_fleet_is_measured(monkeypatch):
    monkeypatch.setattr(origins, "STREAMS", 10)
    keys = [row.key for row in origins.measure()]
    assert [key for key in keys if key.startswith("keepers")] == [
        f"keepers_{size}_boxes_{which}_us"
        for size in origins.FLEETS
        for which in ("first", "again")
    ]
