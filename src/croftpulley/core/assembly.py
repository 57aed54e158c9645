"""Assembles a response text from chunks that may arrive late, twice, overlapping or out of order.

Offsets count characters (Unicode code points) from the start of the text.
"""

from __future__ import annotations

import attrs

MAX_BUFFERED_CHUNKS = 256
"""Most chunks buffered while an earlier one is missing; beyond it the stream counts as broken."""


class ContradictionError(ValueError):
    """Chunks that cannot belong to one text.

    They give different text for the same offset, exceed the stated total length, or too many of
    them wait for a missing one.
    """


@attrs.frozen
class Chunk:
    """A piece of the response text and its offset."""

    offset_chars: int
    text: str

    @property
    def end_chars(self) -> int:
        """The offset just after the last character."""
        return self.offset_chars + len(self.text)


def merge_adjacent(chunks: list[Chunk]) -> list[Chunk]:
    """Join adjacent chunks, so that fewer messages carry them.

    >>> merge_adjacent([Chunk(0, "he"), Chunk(2, "llo"), Chunk(9, "x")])
    [Chunk(offset_chars=0, text='hello'), Chunk(offset_chars=9, text='x')]
    """
    merged: list[Chunk] = []
    for chunk in chunks:
        if merged and merged[-1].end_chars == chunk.offset_chars:
            merged[-1] = Chunk(merged[-1].offset_chars, merged[-1].text + chunk.text)
        else:
            merged.append(chunk)
    return merged


class Assembler:
    """Assembles one response text across all attempts.

    >>> answer = Assembler()
    >>> answer.add(1, Chunk(3, "lo")), answer.add(1, Chunk(0, "hel")), answer.add(1, Chunk(0, "he"))
    ('', 'hello', '')
    """

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._length_chars = 0
        self._attempt = 1
        self._buffered: dict[int, str] = {}

    @property
    def offset_chars(self) -> int:
        """Length of the text received so far without gaps."""
        return self._length_chars

    @property
    def text(self) -> str:
        """The text received so far without gaps."""
        if len(self._parts) > 1:
            self._parts[:] = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""

    def begin_attempt(self, number: int) -> None:
        """Accept only chunks of attempt ``number``; drop those buffered from earlier ones."""
        self._attempt = number
        self._buffered.clear()

    def add(self, attempt: int, chunk: Chunk) -> str:
        """Add a chunk; return the text that can be delivered next, which may be empty.

        Chunks of other attempts are ignored. Raises `ContradictionError` if the chunk differs from
        text already received, or if too many chunks wait for a missing one.
        """
        if attempt != self._attempt or not chunk.text:
            return ""
        if chunk.offset_chars == self._length_chars and not self._buffered:
            return self._append(chunk.text)
        if chunk.offset_chars > self._length_chars:
            self._buffer(chunk)
            return ""
        return self._append_new(chunk) + self._append_buffered()

    def check_end(self, total_chars: int) -> bool:
        """Tell whether the text is complete at ``total_chars``.

        Raises `ContradictionError` if more text has arrived than that.
        """
        if self._length_chars > total_chars:
            raise ContradictionError(f"got {self._length_chars} characters of {total_chars}")
        return self._length_chars == total_chars

    def _append(self, text: str) -> str:
        self._parts.append(text)
        self._length_chars += len(text)
        return text

    def _buffer(self, chunk: Chunk) -> None:
        if len(self._buffered) >= MAX_BUFFERED_CHUNKS:
            raise ContradictionError(
                f"more than {MAX_BUFFERED_CHUNKS} chunks wait for a missing one"
            )
        longest = max(chunk.text, self._buffered.get(chunk.offset_chars, ""), key=len)
        self._buffered[chunk.offset_chars] = longest

    def _append_new(self, chunk: Chunk) -> str:
        """Append the new part of ``chunk``, after checking that the overlap matches."""
        known = min(self._length_chars, chunk.end_chars)
        overlap = known - chunk.offset_chars
        if overlap and self.text[chunk.offset_chars : known] != chunk.text[:overlap]:
            raise ContradictionError(f"other text came for offset {chunk.offset_chars}")
        rest = chunk.text[overlap:]
        return self._append(rest) if rest else ""

    def _append_buffered(self) -> str:
        """Append buffered chunks that now join the text; return what they added."""
        released = []
        for offset_chars in sorted(self._buffered):
            if offset_chars > self._length_chars:
                break
            text = self._buffered.pop(offset_chars)
            released.append(self._append_new(Chunk(offset_chars, text)))
        return "".join(released)
