from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import assembly

TEXT = "приём at the clinic, кезек 12"


@st.composite
def deliveries(draw):
    """Cut a text into chunks, repeat some, let some overlap, and shuffle them a little."""
    cuts = sorted(draw(st.sets(st.integers(1, len(TEXT) - 1))))
    bounds = [0, *cuts, len(TEXT)]
    chunks = [assembly.Chunk(a, TEXT[a:b]) for a, b in itertools.pairwise(bounds)]
    again = draw(st.lists(st.sampled_from(chunks), max_size=5))
    longer = [assembly.Chunk(c.offset_chars, TEXT[c.offset_chars :]) for c in again[:1]]
    return draw(st.permutations([*chunks, *again, *longer]))


@given(deliveries())
def test_any_order_with_repeats_and_overlaps_gives_the_text_once(chunks):
    answer = assembly.Assembler()
    sent = "".join(answer.add(1, chunk) for chunk in chunks)
    assert sent == answer.text == TEXT
    assert answer.check_end(len(TEXT))


def test_a_late_chunk_of_an_earlier_attempt_is_dropped():
    answer = assembly.Assembler()
    answer.add(1, assembly.Chunk(0, "abc"))
    answer.begin_attempt(2)
    assert answer.add(1, assembly.Chunk(3, "LATE")) == ""
    assert answer.add(2, assembly.Chunk(3, "def")) == "def"


def test_held_chunks_of_an_earlier_attempt_are_dropped():
    answer = assembly.Assembler()
    answer.add(1, assembly.Chunk(3, "OLD"))
    answer.begin_attempt(2)
    assert answer.add(2, assembly.Chunk(0, "abc")) == "abc"


def test_other_text_for_the_same_place_is_a_contradiction():
    answer = assembly.Assembler()
    answer.add(1, assembly.Chunk(0, "abc"))
    with pytest.raises(assembly.ContradictionError):
        answer.add(1, assembly.Chunk(1, "XX"))


def test_a_missing_chunk_is_not_waited_for_without_bound():
    answer = assembly.Assembler()
    for number in range(assembly.HELD_CHUNKS_LIMIT):
        answer.add(1, assembly.Chunk(1 + number, "x"))
    with pytest.raises(assembly.ContradictionError):
        answer.add(1, assembly.Chunk(9999, "x"))


def test_an_end_before_the_text_is_whole_is_not_whole():
    answer = assembly.Assembler()
    answer.add(1, assembly.Chunk(0, "abc"))
    assert not answer.check_end(4)
    with pytest.raises(assembly.ContradictionError):
        answer.check_end(2)
