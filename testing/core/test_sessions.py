"""What a leader knows of entry boxes: leases, applied versions and loads."""

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
    """One leader's sessions with entry boxes."""

    BOX = membership.Box("box", "hall", "127.0.0.1:1", "127.0.0.1:2")

    @pytest.fixture
    def tracked(self):
        return sessions.Sessions(lease_s=2.0, margin_s=0.1)

    def test_a_box_is_waited_for_until_it_applies_the_version_or_its_lease_ends(self, tracked):
        tracked.renew(self.BOX, sessions.AppliedVersions(3), listed_counts.EndpointLoads(), 0.0)
        assert tracked.waiting_for(sessions.AppliedVersions(4), 1.0) == ("box",)
        assert tracked.waiting_for(sessions.AppliedVersions(3), 1.0) == ()
        assert tracked.waiting_for(sessions.AppliedVersions(4), 2.2) == ()

    def test_a_new_leader_waits_for_boxes_that_have_not_renewed_yet(self, tracked):
        tracked.begin(("box", "other"), 0.0)
        tracked.renew(self.BOX, sessions.AppliedVersions(4), listed_counts.EndpointLoads(), 0.5)
        assert tracked.waiting_for(sessions.AppliedVersions(4), 1.0) == ("other",)
        assert tracked.waiting_for(sessions.AppliedVersions(4), 2.2) == ()

    def test_a_silent_box_is_left_out_of_the_boxes_before_its_lease_ends(self, tracked):
        tracked.renew(self.BOX, sessions.AppliedVersions(3), listed_counts.EndpointLoads(), 0.0)
        assert tracked.boxes(0.5) == (self.BOX,)
        assert tracked.boxes(1.5) == ()
        assert tracked.waiting_for(sessions.AppliedVersions(4), 1.5) == ("box",)

    def test_loads_are_summed_over_boxes(self, tracked):
        tracked.renew(
            self.BOX,
            sessions.AppliedVersions(3),
            listed_counts.EndpointLoads({"e": 2, "f": 1}, {"e": 70}),
            0.0,
        )
        tracked.renew(
            membership.Box("b2", "h", "", ""),
            sessions.AppliedVersions(3),
            listed_counts.EndpointLoads({"e": 3}),
            0.0,
        )
        assert tracked.loads() == listed_counts.EndpointLoads({"e": 5, "f": 1}, {"e": 70})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"), st.dictionaries(st.sampled_from("efg"), st.integers(1, 9))
            ),
            max_size=20,
        )
    )
    def test_loads_are_the_sums_of_the_last_reports_of_boxes_with_a_lease(self, reports):
        tracked = sessions.Sessions(lease_s=2.0, margin_s=0.1)
        last = {}
        for number, (name, load) in enumerate(reports):
            now_s = number * 0.5
            for ended in tracked.remove_expired(now_s):
                del last[ended]
            box = membership.Box(name, "h", "", "")
            tracked.renew(
                box, sessions.AppliedVersions(1), listed_counts.EndpointLoads(load, load), now_s
            )
            last[name] = load
        sums = dict(
            sum((collections.Counter(each) for each in last.values()), collections.Counter())
        )
        assert tracked.loads() == listed_counts.EndpointLoads(sums, sums)
        tracked.begin((), 100.0)
        assert tracked.loads() == listed_counts.EndpointLoads()

    def test_renew_returns_whether_the_box_is_new_or_applies_another_version(self, tracked):
        assert tracked.renew(
            self.BOX, sessions.AppliedVersions(3), listed_counts.EndpointLoads(), 0.0
        )
        assert not tracked.renew(
            self.BOX, sessions.AppliedVersions(3), listed_counts.EndpointLoads(), 0.1
        )
        assert tracked.renew(
            self.BOX, sessions.AppliedVersions(4), listed_counts.EndpointLoads(), 0.2
        )
