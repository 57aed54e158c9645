"""Prompt parts: parsing, the index of engines that cache them, and its notes."""

from __future__ import annotations

from croftpulley.core import (
    calls,
    prompt_part_index,
)


def test_all_parts_but_the_last_are_the_shared_prefix():
    facts = calls.CallFacts(request_id="r", prompt=calls.parse_prompt("a:1,b:2,c:3"))
    assert [part.part_id for part in facts.shared_prefix] == ["a", "b"]
    assert facts.prompt_tokens == 6


class TestPlaces:
    """The index of prompt parts, and the log of notes."""

    def test_notes_are_read_in_order_and_once(self):
        log = prompt_part_index.NoteLog(100)
        log.append([prompt_part_index.Note("p", "a"), prompt_part_index.Note("q", "b")])
        first = log.read_from(0).notes
        log.append([prompt_part_index.Note("r", "c")])
        assert first == (prompt_part_index.Note("p", "a"), prompt_part_index.Note("q", "b"))
        assert log.read_from(102).notes == (prompt_part_index.Note("r", "c"),)
        assert log.read_from(103) == prompt_part_index.Page((), 103)

    def test_number_of_another_leader_gets_all_notes(self):
        log = prompt_part_index.NoteLog(1 << 33)
        log.append([prompt_part_index.Note("p", "a")])
        assert log.read_from(1 << 32).notes == (prompt_part_index.Note("p", "a"),)

    def test_reader_that_is_behind_gets_the_notes_that_are_kept(self):
        log = prompt_part_index.NoteLog()
        log.append(
            prompt_part_index.Note(f"p{n}", "a") for n in range(prompt_part_index.MAX_NOTES + 5)
        )
        assert (
            len(log.read_from(0, prompt_part_index.MAX_NOTES + 5).notes)
            == prompt_part_index.MAX_NOTES
        )

    def test_new_box_gets_all_notes_page_by_page(self):
        # In the enlarged fleet one response held all notes: 250 KB for each of 69 boxes at once.
        log = prompt_part_index.NoteLog(1 << 33)
        posted = [
            prompt_part_index.Note(f"p{n}", "a")
            for n in range(2 * prompt_part_index.MAX_NOTES_PER_RESPONSE + 5)
        ]
        log.append(posted)
        got: list[prompt_part_index.Note] = []
        number = 0
        while number != log.next_number:
            page = log.read_from(number)
            assert len(page.notes) <= prompt_part_index.MAX_NOTES_PER_RESPONSE
            got += page.notes
            number = page.next_number
        assert got == posted

    def test_number_of_parts_is_limited(self, monkeypatch):
        monkeypatch.setattr(prompt_part_index, "MAX_PARTS", 3)
        known = prompt_part_index.PromptPartIndex()
        for number in range(10):
            known.record(prompt_part_index.Note(f"p{number}", "a"), float(number))
        assert [known.holders(f"p{n}", 10.0) for n in (6, 7, 9)] == [[], ["a"], ["a"]]
