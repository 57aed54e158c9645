from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import assembly

TEXT = "приём at the clinic, кезек 12"


@st.composite
def deliveries(draw):
    """Split a text into chunks, duplicate some, make some overlap, and shuffle them."""
    cuts = sorted(draw(st.sets(st.integers(1, len(TEXT) - 1))))
    bounds = [0, *cuts, len(TEXT)]
    chunks = [assembly.Chunk(a, TEXT[a:b]) for a, b in itertools.pairwise(bounds)]
    duplicates = draw(st.lists(st.sampled_from(chunks), max_size=5))
    longer = [assembly.Chunk(c.offset_chars, TEXT[c.offset_chars :]) for c in duplicates[:1]]
    return draw(st.permutations([*chunks, *duplicates, *longer]))


@given(deliveries())
def test_chunks_in_any_order_with_duplicates_and_overlaps_give_the_text_once(chunks):
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


def test_buffered_chunks_of_an_earlier_attempt_are_dropped():
    answer = assembly.Assembler()
    answer.add(1, assembly.Chunk(3, "OLD"))
    answer.begin_attempt(2)
    assert answer.add(2, assembly.Chunk(0, "abc")) == "abc"


def test_different_text_for_the_same_offset_is_a_contradiction():
    answer = assembly.Assembler()
    answer.add(1, assembly.Chunk(0, "abc"))
    with pytest.raises(assembly.ContradictionError):
        answer.add(1, assembly.Chunk(1, "XX"))


def test_the_number_of_buffered_chunks_is_limited():
    answer = assembly.Assembler()
    for number in range(assembly.MAX_BUFFERED_CHUNKS):
        answer.add(1, assembly.Chunk(1 + number, "x"))
    with pytest.raises(assembly.ContradictionError):
        answer.add(1, assembly.Chunk(9999, "x"))


def test_the_end_is_checked_against_the_total_length():
    answer = assembly.Assembler()
    answer.add(1, assembly.Chunk(0, "abc"))
    assert not answer.check_end(4)
    with pytest.raises(assembly.ContradictionError):
        answer.check_end(2)
