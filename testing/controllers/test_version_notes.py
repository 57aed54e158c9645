"""What the leading control box says of the versions of a pool."""

from __future__ import annotations

import pytest

from croftpulley import clock as clocks
from croftpulley.controllers import agreement, listing, version_notes
from croftpulley.core import membership, pool_versions, replicated_state, submissions, versions


class SteppedClock(clocks.ManualClock):
    """A clock whose wall time is set while the other one counts on."""

    stepped_s = 0.0

    def wall_s(self):
        return super().wall_s() + self.stepped_s


class Log(agreement.CommandLog):
    """Commits proposals unless they are held."""

    def __init__(self):
        self.is_held = False
        self._state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())

    def propose(self, command):
        if not self.is_held:
            self._state.apply(command)

    def read(self):
        return self._state


@pytest.fixture
def clock():
    return SteppedClock()


@pytest.fixture
def log():
    return Log()


@pytest.fixture
def notes(log, clock):
    return version_notes.VersionNotes(log, clock)


def listed(read_at_s, *names):
    found = tuple(
        membership.Endpoint(
            name, membership.EndpointKind.ENGINE, "llm", "127.0.0.1:1", "hall-a", name, version=name
        )
        for name in names
    )
    return listing.Listing(versions.Versioned(found), read_at_s)


def note(notes, clock, *names):
    clock.advance(version_notes.PROPOSAL_RETRY_S)
    notes.note(listed(clock.monotonic_s(), *names))


def test_a_pool_is_not_settled_while_the_log_lacks_a_listed_version(notes, clock, log):
    note(notes, clock, "v1")
    assert notes.settled() == {"llm": "v1"}
    log.is_held = True
    note(notes, clock, "v1", "v2")
    assert notes.settled() == {}


def test_a_step_of_the_wall_clock_settles_no_pool(notes, clock):
    note(notes, clock, "v1", "v2")
    note(notes, clock, "v2")
    clock.stepped_s = 3600.0
    assert notes.settled() == {}
    note(notes, clock, "v2", "v3")
    note(notes, clock, "v2")
    assert notes.settled() == {}


def test_a_pool_is_settled_once_streams_of_another_version_are_over(notes, clock):
    note(notes, clock, "v1", "v2")
    note(notes, clock, "v2")
    clock.advance(pool_versions.RESUMABLE_AFTER_UNLISTED_S)
    note(notes, clock, "v2")
    assert notes.settled() == {"llm": "v2"}
