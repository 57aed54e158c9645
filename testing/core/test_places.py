"""Where the parts of prompts lie."""

from __future__ import annotations

from croftpulley.core import (
    calls,
    places,
)


def test_all_parts_but_the_last_are_shared():
    facts = calls.CallFacts(request_id="r", prompt=calls.parse_prompt("a:1,b:2,c:3"))
    assert [part.part for part in facts.shared] == ["a", "b"]
    assert facts.prompt_tokens == 6


class TestPlaces:
    """Where the parts of prompts lie."""

    def test_notes_of_others_are_learned_in_order_and_once(self):
        bulletin = places.Bulletin(100)
        bulletin.post([places.Note("p", "a"), places.Note("q", "b")])
        first = bulletin.since(0).notes
        bulletin.post([places.Note("r", "c")])
        assert first == (places.Note("p", "a"), places.Note("q", "b"))
        assert bulletin.since(102).notes == (places.Note("r", "c"),)
        assert bulletin.since(103) == places.Page((), 103)

    def test_numbers_of_another_leader_get_everything(self):
        bulletin = places.Bulletin(1 << 33)
        bulletin.post([places.Note("p", "a")])
        assert bulletin.since(1 << 32).notes == (places.Note("p", "a"),)

    def test_late_readers_get_what_is_kept(self):
        bulletin = places.Bulletin()
        bulletin.post(places.Note(f"p{n}", "a") for n in range(places.MOST_NOTES + 5))
        assert len(bulletin.since(0, places.MOST_NOTES + 5).notes) == places.MOST_NOTES

    def test_a_box_that_comes_late_gets_all_notes_page_by_page(self):
        # On the grown site one answer held all: 250 KB for each of 69 boxes at once.
        bulletin = places.Bulletin(1 << 33)
        posted = [places.Note(f"p{n}", "a") for n in range(2 * places.NOTES_AN_ANSWER + 5)]
        bulletin.post(posted)
        got: list[places.Note] = []
        number = 0
        while number != bulletin.next_number:
            page = bulletin.since(number)
            assert len(page.notes) <= places.NOTES_AN_ANSWER
            got += page.notes
            number = page.next_number
        assert got == posted

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(places, "MOST_PARTS", 3)
        known = places.Places()
        for number in range(10):
            known.note(places.Note(f"p{number}", "a"), float(number))
        assert [known.holders(f"p{n}", 10.0) for n in (6, 7, 9)] == [[], ["a"], ["a"]]
