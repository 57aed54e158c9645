"""Event streams are split at event boundaries."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import event_splitter


class TestEventCutter:
    """Only complete events are returned."""

    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_split_of_the_input_gives_the_same_events(self, sizes):
        stream = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(20))
        splitter = event_splitter.EventSplitter()
        out = b""
        start = 0
        for size in [*sizes, len(stream)]:
            out += splitter.feed(stream[start : start + size])
            start += size
        assert out == stream
        assert splitter.last_id == "19"
        assert splitter.is_between_events

    def test_a_partial_event_is_buffered(self):
        splitter = event_splitter.EventSplitter()
        assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
        assert not splitter.is_between_events
        assert splitter.last_id == "1"

    def test_lines_without_the_end_of_an_event_are_not_collected(self):
        splitter = event_splitter.EventSplitter()
        line = b"data: more\n"
        for _ in range(event_splitter.MAX_EVENT_BYTES // len(line)):
            assert splitter.feed(line) == b""
        with pytest.raises(event_splitter.EventTooLongError):
            splitter.feed(line)

    def test_bytes_that_come_one_by_one_are_searched_a_few_times_each(self, monkeypatch):
        searched_bytes = []
        search = event_splitter._last_end

        def counting_search(buffer, start):
            searched_bytes.append(len(buffer) - start)
            return search(buffer, start)

        monkeypatch.setattr(event_splitter, "_last_end", counting_search)
        splitter = event_splitter.EventSplitter()
        for _ in range(event_splitter.MAX_EVENT_BYTES):
            assert splitter.feed(b"m") == b""
        assert sum(searched_bytes) <= 3 * event_splitter.MAX_EVENT_BYTES

    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
    @given(st.lists(st.integers(1, 5), max_size=60))
    def test_an_end_that_comes_in_pieces_is_found(self, line_end, sizes):
        event = b"id: 7" + line_end + b"data: x" + line_end * 2
        splitter = event_splitter.EventSplitter()
        out, start = b"", 0
        for size in [*sizes, len(event)]:
            out += splitter.feed(event[start : start + size])
            start += size
        assert out == event
        assert splitter.last_id == "7"

    @given(st.lists(st.sampled_from([b"\n", b"\r\n", b"id: 1", b"id:2", b"x", b"\nid: 3"])))
    def test_the_last_id_is_that_of_the_last_complete_event(self, parts):
        splitter = event_splitter.EventSplitter()
        whole = b"".join(splitter.feed(each) for each in parts)
        ids = [line[3:].strip() for line in whole.splitlines() if line.startswith(b"id:")]
        assert splitter.last_id == (ids[-1].decode() if ids else "")
