"""Streams cut into whole events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import event_cut


class TestEventCutter:
    """Whole events only."""

    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_cut_into_pieces_gives_the_same_events(self, sizes):
        stream = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(20))
        cutter = event_cut.EventCutter()
        out = b""
        start = 0
        for size in [*sizes, len(stream)]:
            out += cutter.feed(stream[start : start + size])
            start += size
        assert out == stream
        assert cutter.last_id == "19"
        assert cutter.is_between_events

    def test_half_an_event_is_held_back(self):
        cutter = event_cut.EventCutter()
        assert cutter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
        assert not cutter.is_between_events
        assert cutter.last_id == "1"
