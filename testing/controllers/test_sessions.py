"""What the leading control box tells a router with its lease."""

from __future__ import annotations

import pytest

from croftpulley import clock as clocks
from croftpulley.controllers import actors, agreement, listing, replica, sessions
from croftpulley.core import agreed, membership, submissions, versions
from croftpulley.core.replication import replica as replicas
from croftpulley.transport import box_messages

BOX = membership.Box("router", "hall-a", "127.0.0.1:1", "127.0.0.1:2")
ENDPOINT = membership.Endpoint(
    "e", membership.EndpointKind.ENGINE, "llm", "127.0.0.1:3", "hall-a", "e"
)
FAR_S = 1e9


class Applied(agreement.Agreement):
    """A state that knows the router."""

    def __init__(self):
        self._state = agreed.AgreedState(submissions=submissions.HighestNumber())
        self._state.apply(agreed.RegisterBox(BOX))

    def propose(self, command):
        raise NotImplementedError

    def read(self):
        return self._state


def report(known_version=0):
    return box_messages.BoxReport(
        box=BOX,
        configuration_version=0,
        boxes_version=0,
        endpoints_version=known_version,
        in_flight={},
    )


@pytest.fixture
def make_leader():
    """Return a controller of a box that has just come to lead, and its clock."""

    def make():
        clock = clocks.ManualClock()
        standing = replica.Standing(replicas.Role.LEADER, 1, "127.0.0.1:9", FAR_S)
        listed = listing.Listing(versions.Versioned((ENDPOINT,)), clock.monotonic_s())
        controller = sessions.SessionController(
            Applied(), actors.View(standing), actors.View(listed), 3.0, 0.1, clock
        )
        return controller, clock

    return make


@pytest.fixture
def told_after(make_leader):
    """Return what a router is told of endpoints, some time after the list was read."""

    def tell(age_s, known_version):
        controller, clock = make_leader()
        clock.advance(age_s)
        return controller.handle(report(known_version)).endpoints

    return tell


@pytest.mark.parametrize(
    ("age_s", "known_version", "told"),
    [
        (0.1, 0, (ENDPOINT,)),
        (0.1, 7, (ENDPOINT,)),
        (60.0, 7, None),
        (60.0, 0, (ENDPOINT,)),
    ],
)
def test_a_list_read_long_ago_is_told_only_to_a_router_that_has_none(
    told_after, age_s, known_version, told
):
    assert told_after(age_s, known_version) == told


def test_notes_that_come_before_the_first_renewal_of_a_leadership_are_told(make_leader):
    controller, _ = make_leader()
    controller.handle(sessions.PostNotes({"e": ("part",)}))
    assert controller.handle(report()).notes == {"e": ("part",)}


def test_a_note_of_a_life_that_is_not_listed_is_told_to_nobody(make_leader):
    controller, _ = make_leader()
    controller.handle(sessions.PostNotes({"e": ("part",), "e@1": ("old",), "x": ("other",)}))
    assert controller.handle(report()).notes == {"e": ("part",)}
