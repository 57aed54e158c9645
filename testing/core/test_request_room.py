"""Which requests give way when all of them take more memory than they may."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from croftpulley.core import request_room

SHORT = request_room.SHORT_REQUEST_BYTES
ROOM = 100 * SHORT


class Requests:
    """Requests by their names, and those that had to give way, in order."""

    def __init__(self, room_bytes=ROOM):
        self.room = request_room.RequestRoom(room_bytes)
        self.given_up = []
        self._made = {}

    def grow(self, name, size_bytes, now_s, *, is_complete=False):
        if name not in self._made:
            self._made[name] = request_room.HeldRequest(now_s, lambda: self.given_up.append(name))
        self.room.grow(self._made[name], size_bytes, now_s, is_complete=is_complete)

    def release(self, name):
        self.room.release(self._made[name])


@pytest.fixture
def requests():
    return Requests()


def test_nothing_gives_way_while_there_is_room(requests):
    requests.grow("long", 75 * SHORT, 0.0)
    for number in range(25):
        requests.grow(f"short-{number}", SHORT, 1.0)
    assert requests.given_up == []
    assert requests.room.held_bytes == ROOM


def test_what_has_taken_most_for_the_longest_time_gives_way_first(requests):
    requests.grow("old and short", SHORT, 0.0)
    requests.grow("old and long", 30 * SHORT, 0.0)
    requests.grow("young and longer", 40 * SHORT, 9.0)
    requests.grow("new", 10 * SHORT, 10.0)
    assert requests.given_up == ["old and long"]
    assert requests.room.held_bytes == 51 * SHORT


def test_a_complete_request_never_gives_way(requests):
    requests.grow("complete", 75 * SHORT, 0.0, is_complete=True)
    requests.grow("new", 2 * SHORT, 1000.0)
    assert requests.given_up == ["new"]


def test_short_requests_have_room_beside_long_ones_that_are_complete(requests):
    requests.grow("complete", 75 * SHORT, 0.0, is_complete=True)
    for number in range(25):
        requests.grow(f"short-{number}", SHORT, 1.0)
    assert requests.given_up == []


def test_short_requests_give_way_only_when_all_room_is_taken(requests):
    requests.grow("short", SHORT, 0.0)
    requests.grow("long", 70 * SHORT, 1.0)
    requests.grow("other", 6 * SHORT, 2.0)
    assert requests.given_up == ["long"]


def test_a_request_that_would_not_fit_may_give_way_as_it_is_completed(requests):
    requests.grow("complete", 75 * SHORT, 0.0, is_complete=True)
    requests.grow("new", 2 * SHORT, 1.0, is_complete=True)
    assert requests.given_up == ["new"]
    assert requests.room.held_bytes == 75 * SHORT


def test_what_is_released_or_given_up_is_counted_no_more(requests):
    requests.grow("long", 70 * SHORT, 0.0)
    requests.release("long")
    requests.grow("long", 71 * SHORT, 1.0)
    requests.release("long")
    assert requests.room.held_bytes == 0
    requests.grow("given up", 76 * SHORT, 2.0)
    requests.grow("given up", 77 * SHORT, 3.0)
    assert requests.given_up == ["given up"]
    assert requests.room.held_bytes == 0


def test_the_largest_request_that_is_allowed_fits_into_any_room():
    requests = Requests(room_bytes=SHORT)
    requests.room.fit("callers", 30 * SHORT)
    requests.room.fit("boxes", 2 * SHORT)
    requests.grow("largest", 30 * SHORT, 0.0)
    requests.grow("short", SHORT, 1.0)
    assert requests.given_up == []


@hypothesis.given(st.integers(SHORT, 2**40))
def test_a_request_of_exactly_the_largest_size_fits(size_bytes):
    requests = Requests(room_bytes=SHORT)
    requests.room.fit("callers", size_bytes)
    requests.grow("largest", size_bytes, 0.0)
    assert requests.given_up == []


def test_the_room_follows_the_limit_on_one_request_both_ways():
    requests = Requests(room_bytes=SHORT)
    for limit_bytes, expected in ((30 * SHORT, []), (3 * SHORT, ["largest"])):
        requests.room.fit("callers", limit_bytes)
        requests.grow("largest", 30 * SHORT, 0.0)
        assert requests.given_up == expected


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from("abcdefgh"),
            st.integers(0, 120 * SHORT),
            st.booleans(),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_all_that_is_held_stays_within_the_room(steps):
    requests = Requests()
    held = {}
    for now_s, (name, size_bytes, is_complete, leaves) in enumerate(steps):
        if leaves and name in held:
            requests.release(name)
            del held[name]
            requests._made.pop(name)
        if held.get(name, (0, False))[1]:
            continue
        requests.grow(name, size_bytes, float(now_s), is_complete=is_complete)
        held[name] = (size_bytes, is_complete)
        for gone in requests.given_up:
            held.pop(gone, None)
            requests._made.pop(gone, None)
        requests.given_up.clear()
        assert requests.room.held_bytes == sum(size for size, _ in held.values())
        assert requests.room.held_bytes <= ROOM
        assert sum(size for size, _ in held.values() if size > SHORT) <= 0.75 * ROOM
