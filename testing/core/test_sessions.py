"""What a leader knows of entry boxes."""

from __future__ import annotations

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import (
    listed_counts,
    membership,
    sessions,
)


class TestSessions:
    """Leases as their leader knows them."""

    BOX = membership.Box("box", "hall", "127.0.0.1:1", "127.0.0.1:2")

    @pytest.fixture
    def made(self):
        return sessions.Sessions(lease_s=2.0, margin_s=0.1)

    def test_a_box_is_waited_for_until_it_uses_the_version_or_its_lease_has_ended(self, made):
        made.renew(self.BOX, sessions.Known(3), listed_counts.Load(), 0.0)
        assert made.waiting_for(sessions.Known(4), 1.0) == ("box",)
        assert made.waiting_for(sessions.Known(3), 1.0) == ()
        assert made.waiting_for(sessions.Known(4), 2.2) == ()

    def test_a_new_leader_waits_for_boxes_that_it_has_not_heard(self, made):
        made.begin(("box", "other"), 0.0)
        made.renew(self.BOX, sessions.Known(4), listed_counts.Load(), 0.5)
        assert made.waiting_for(sessions.Known(4), 1.0) == ("other",)
        assert made.waiting_for(sessions.Known(4), 2.2) == ()

    def test_a_silent_box_is_named_no_more_before_its_lease_ends(self, made):
        made.renew(self.BOX, sessions.Known(3), listed_counts.Load(), 0.0)
        assert made.boxes(0.5) == (self.BOX,)
        assert made.boxes(1.5) == ()
        assert made.waiting_for(sessions.Known(4), 1.5) == ("box",)

    def test_loads_are_summed_over_boxes(self, made):
        made.renew(
            self.BOX, sessions.Known(3), listed_counts.Load({"e": 2, "f": 1}, {"e": 70}), 0.0
        )
        made.renew(
            membership.Box("b2", "h", "", ""), sessions.Known(3), listed_counts.Load({"e": 3}), 0.0
        )
        assert made.loads() == listed_counts.Load({"e": 5, "f": 1}, {"e": 70})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"), st.dictionaries(st.sampled_from("efg"), st.integers(1, 9))
            ),
            max_size=20,
        )
    )
    def test_sums_stay_those_of_the_last_reports_whatever_comes_and_ends(self, reports):
        made = sessions.Sessions(lease_s=2.0, margin_s=0.1)
        last = {}
        for number, (name, load) in enumerate(reports):
            now_s = number * 0.5
            for ended in made.expire(now_s):
                del last[ended]
            box = membership.Box(name, "h", "", "")
            made.renew(box, sessions.Known(1), listed_counts.Load(load, load), now_s)
            last[name] = load
        sums = dict(
            sum((collections.Counter(each) for each in last.values()), collections.Counter())
        )
        assert made.loads() == listed_counts.Load(sums, sums)
        made.begin((), 100.0)
        assert made.loads() == listed_counts.Load()

    def test_it_is_told_when_a_box_comes_to_use_another_version(self, made):
        assert made.renew(self.BOX, sessions.Known(3), listed_counts.Load(), 0.0)
        assert not made.renew(self.BOX, sessions.Known(3), listed_counts.Load(), 0.1)
        assert made.renew(self.BOX, sessions.Known(4), listed_counts.Load(), 0.2)
